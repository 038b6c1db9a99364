"""Commands of a control replica: run it, start a cluster, recover one.

``init`` and ``recover`` work on the data folder of a stopped replica, for the
length of one command.  Nothing does either of them by itself: a guess could put
two clusters, or an old state, in the place of one.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

from result import Err, Ok

from gooseberrydale.errors import ProblemError
from gooseberrydale.process.cfg import Cfg, ControlCfg
from gooseberrydale.process.cfg_file import load
from gooseberrydale.process.runner import ExitCode, print_faults, run_process

ROLE = "control"


class ControlCommands:
    """Run one control replica, or prepare the folder of a stopped one."""

    def __call__(self, cfg: str, ready_file: str = "") -> None:
        """Run one control replica with the settings in the file CFG."""
        ready_path = Path(str(ready_file)) if ready_file else None
        sys.exit(run_process(ROLE, Path(str(cfg)), ready_path))

    def init(self, cfg: str) -> None:
        """Start a new cluster in the folder of CFG: once, at one replica alone.

        The other replicas start with empty folders and join by themselves.
        """
        # Imported here, so that the other commands do without the role's code.
        from gooseberrydale.process.control.first_start import init_folder

        name, own = _settings(cfg)
        try:
            cluster = init_folder(own.data_dir, name)
        except ProblemError as exc:
            _fail(exc)
        print(f"started cluster {cluster} with {name} as its first member")

    def recover(self, cfg: str, force: bool = False) -> None:
        """After the loss of most disks, go on with the folder of CFG alone.

        Without FORCE it only says what would be kept and what may be lost.
        """
        from gooseberrydale.process.control.first_start import recover_folder

        name, own = _settings(cfg)
        try:
            report = recover_folder(own.data_dir, name, force=force)
        except ProblemError as exc:
            _fail(exc)
        print(f"last entry: {report.last_index} of term {report.last_term}")
        print(f"snapshot of entry: {report.snapshot_index}")
        print(f"former members: {', '.join(report.former_members)}")
        print(report.warning)
        if force:
            print(f"{name} is the only member now")
        else:
            print("nothing was changed; pass --force to go on with this folder")


def _settings(cfg: str) -> tuple[str, ControlCfg]:
    match load(Path(str(cfg)), ROLE):
        case Ok(Cfg(node=node, control=ControlCfg() as own)):
            return node.name, own
        case Err(faults):
            print_faults(faults)
        case _:
            print(f"{cfg}: add the table [control]", file=sys.stderr)
    sys.exit(ExitCode.INVALID_SETTINGS)


def _fail(exc: ProblemError) -> NoReturn:
    print(exc.problem.message, file=sys.stderr)
    sys.exit(ExitCode.FAILED)
