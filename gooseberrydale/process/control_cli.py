"""Commands of a control replica: run it, start a cluster, recover one.

``init`` and ``recover`` change the data folder of a stopped replica.  They are never
run automatically: a wrong guess could create a second cluster, or go back to an old
state.
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
    """Run one control replica, or prepare the data folder of a stopped one."""

    def __call__(self, cfg: str, ready_file: str = "") -> None:
        """Run one control replica with the settings in the file CFG."""
        ready_path = Path(str(ready_file)) if ready_file else None
        sys.exit(run_process(ROLE, Path(str(cfg)), ready_path))

    def init(self, cfg: str) -> None:
        """Create a new cluster in the data folder of CFG.

        Run it once, on only one replica.  The other replicas start with empty folders
        and join by themselves.
        """
        # Imported here, so that other commands do not load the code of the role.
        from gooseberrydale.process.control.first_start import init_folder

        name, control_cfg = _settings(cfg)
        try:
            cluster = init_folder(control_cfg.data_dir, name)
        except ProblemError as exc:
            _fail(exc)
        print(f"started cluster {cluster} with {name} as its first member")

    def recover(self, cfg: str, force: bool = False) -> None:
        """Continue with only the data folder of CFG, after most disks were lost.

        Without FORCE it only shows what would be preserved and what may be lost.
        """
        from gooseberrydale.process.control.first_start import recover_folder

        name, control_cfg = _settings(cfg)
        try:
            report = recover_folder(control_cfg.data_dir, name, force=force)
        except ProblemError as exc:
            _fail(exc)
        print(f"last entry: {report.last_index} of term {report.last_term}")
        print(f"snapshot of entry: {report.snapshot_index}")
        print(f"former members: {', '.join(report.former_members)}")
        print(report.warning)
        if force:
            print(f"{name} is the only member now")
        else:
            print("nothing was changed; pass --force to continue with this folder")


def _settings(cfg: str) -> tuple[str, ControlCfg]:
    match load(Path(str(cfg)), ROLE):
        case Ok(Cfg(node=node, control=ControlCfg() as control_cfg)):
            return node.name, control_cfg
        case Err(faults):
            print_faults(faults)
        case _:
            print(f"{cfg}: add the table [control]", file=sys.stderr)
    sys.exit(ExitCode.INVALID_SETTINGS)


def _fail(exc: ProblemError) -> NoReturn:
    print(exc.problem.message, file=sys.stderr)
    sys.exit(ExitCode.FAILED)
