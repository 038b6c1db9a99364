"""The command line: ``gooseberrydale COMMAND --cfg FILE``.

A command that runs a role ends when the process is asked to stop.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import IO, TYPE_CHECKING

import fire
import fire.core
import fire.decorators
from result import Err, Ok

import gooseberrydale
from gooseberrydale.process import cfg_checks
from gooseberrydale.process.cfg_file import load
from gooseberrydale.process.control_cli import ControlCommands
from gooseberrydale.process.runner import ExitCode, print_faults, run_local, run_process

if TYPE_CHECKING:
    from gooseberrydale.process.log_lines import Line

ROLE_COMMANDS = ("entry", "sidecar", "control", "local")


class Commands:
    """Router for language-model traffic with long shared prompts."""

    control = ControlCommands()

    def entry(self, cfg: str, ready_file: str = "") -> None:
        """Serve callers with the settings in the file CFG."""
        _run("entry", cfg, ready_file)

    def sidecar(self, cfg: str, ready_file: str = "") -> None:
        """Run the sidecar of one upstream with the settings in the file CFG."""
        _run("sidecar", cfg, ready_file)

    def local(
        self, port: int = 8080, operator_port: int = 8071, ready_file: str = ""
    ) -> None:
        """Serve on loopback with all roles and an example engine in one process."""
        sys.exit(run_local(port, operator_port, _path(ready_file)))

    def check(self, cfg: str, role: str = "") -> None:
        """Print all faults of the settings file CFG; exit with 2 if there are any."""
        match load(Path(str(cfg)), role or None):
            case Err(faults):
                print_faults(faults)
                sys.exit(ExitCode.INVALID_SETTINGS)
            case Ok(loaded):
                for warning in cfg_checks.warnings(loaded):
                    print(f"warning: {warning}", file=sys.stderr)
                print(f"{cfg}: no faults")

    @fire.decorators.SetParseFn(str)  # type: ignore[untyped-decorator]
    def explain(self, request_id: str, *files: str) -> None:
        """Show from the log FILES what happened to the request REQUEST_ID."""
        from gooseberrydale.process.explain import render, trace_request

        trace = trace_request(_read_all(files), request_id)
        print("\n".join(render(trace)))
        sys.exit(ExitCode.OK if trace.lines else ExitCode.FAILED)

    @fire.decorators.SetParseFn(str)  # type: ignore[untyped-decorator]
    def losses(self, *files: str) -> None:
        """Count late, refused and failed requests in FILES by time, route and cause."""
        from gooseberrydale.process.losses import find_lost, render

        print("\n".join(render(find_lost(_read_all(files)))))

    def version(self) -> None:
        """Print the version of this package."""
        print(gooseberrydale.__version__)


def _read_all(files: Iterable[str]) -> list[Line]:
    """Return the parsed lines of all log files."""
    from gooseberrydale.process.log_lines import read_lines

    lines: list[Line] = []
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            lines += read_lines(file)
    return lines


def main() -> None:
    """Run the command in ``sys.argv`` and exit with its code."""
    # Fire would start a pager, but this program must not start other processes.
    fire.core.Display = _print_lines
    if sys.argv[1:2] and sys.argv[1] in ROLE_COMMANDS:
        fire.Fire(Commands(), name="gooseberrydale")
    else:
        _run_with_operator_commands()


def _run_with_operator_commands() -> None:
    # Imported here, so that a process that runs a role does not load this code.
    from gooseberrydale.process.operator_cli import OperatorCommands
    from gooseberrydale.process.operator_session import run_command

    class AllCommands(Commands, OperatorCommands):
        __doc__ = Commands.__doc__

    fire.Fire(AllCommands(), name="gooseberrydale", serialize=run_command)


def _run(role: str, cfg: str, ready_file: str) -> None:
    sys.exit(run_process(role, Path(str(cfg)), _path(ready_file)))


def _path(text: str) -> Path | None:
    """Return ``text`` as a path; Fire converts text like ``12`` to a number."""
    return Path(str(text)) if text else None


def _print_lines(lines: list[str], out: IO[str]) -> None:
    print("\n".join(lines), file=out)
