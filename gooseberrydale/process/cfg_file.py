"""Loading a settings file: TOML into the dataclasses of ``cfg``.

It runs once, before a process does anything else.  Every fault of the file is
collected and reported in one go, so that an operator corrects it once and not
fault by fault.  Relative paths are taken from the folder of the settings file.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_SETTING, Problem, ProblemError, problem
from gooseberrydale.process import cfg_checks
from gooseberrydale.process.cfg import Cfg
from gooseberrydale.process.cfg_checks import Fault, Table
from gooseberrydale.version.structuring import structure

_WHOLE_FILE = "the file"


def load(path: Path, role: str | None = None) -> Result[Cfg, tuple[Problem, ...]]:
    """Read the settings of ``role`` from the TOML file at ``path``.

    Without a role any of the roles' tables will do.  The error holds every fault
    of the file as an ``invalid_setting`` problem.
    """
    match _read_toml(path):
        case Err(fault):
            return Err((_to_problem(path, fault),))
        case Ok(table):
            return _structure(path, table, role)


def read_token(path: Path | None) -> str:
    """Return the secret in the file at ``path``, without white space around it.

    Without a file that is the empty text, which everybody knows.  Raises ProblemError
    if the file can't be read or is empty; ``load`` reports the same beforehand.
    """
    if path is None:
        return ""
    fault = cfg_checks.token_fault("fleet.token_file", str(path))
    if fault is not None:
        raise ProblemError(_to_problem(path, fault))
    return path.read_text(encoding="utf-8").strip()


def _read_toml(path: Path) -> Result[Table, Fault]:
    try:
        return Ok(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as exc:
        reason = f"can't be read ({exc.strerror})"
        return Err(Fault(_WHOLE_FILE, reason, "pass --cfg with the path of a file"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return Err(Fault(_WHOLE_FILE, f"is not TOML ({exc})", "correct the syntax"))


def _structure(
    path: Path, table: Table, role: str | None
) -> Result[Cfg, tuple[Problem, ...]]:
    cfg_checks.resolve_paths(table, path.resolve().parent)
    structured = structure(table, Cfg)
    faults = [Fault(f.key, f.reason, f.remedy) for f in structured.err() or ()]
    wrong = {fault.key for fault in faults}
    found = cfg_checks.find_faults(table, role)
    faults.extend(fault for fault in found if fault.key not in wrong)
    if faults:
        return Err(tuple(_to_problem(path, fault) for fault in faults))
    return Ok(structured.unwrap())


def _to_problem(path: Path, fault: Fault) -> Problem:
    return problem(
        INVALID_SETTING,
        file=path,
        key=fault.key,
        reason=fault.reason,
        remedy=fault.remedy,
    )
