"""Loads a settings file: TOML into the dataclasses of ``cfg``.

This is the first thing that a process does.  All faults of the file are reported
together, so that an operator can correct them in one pass.  Relative paths are
relative to the folder of the settings file.
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

    Without a role the file may have the table of any role.  The error contains an
    ``invalid_setting`` problem for each fault of the file.
    """
    match _read_toml(path):
        case Err(fault):
            return Err((_to_problem(path, fault),))
        case Ok(table):
            return _structure(path, table, role)


def read_token(path: Path | None) -> str:
    """Return the secret in the file at ``path``, without surrounding white space.

    Without a file it is the empty string, which protects nothing.  Raises ProblemError
    if the file can't be read or is empty; ``load`` reports the same fault earlier.
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
    converted = structure(table, Cfg)
    faults = [Fault(f.key, f.reason, f.remedy) for f in converted.err() or ()]
    faulty_keys = {fault.key for fault in faults}
    value_faults = cfg_checks.find_faults(table, role)
    faults.extend(fault for fault in value_faults if fault.key not in faulty_keys)
    if faults:
        return Err(tuple(_to_problem(path, fault) for fault in faults))
    return Ok(converted.unwrap())


def _to_problem(path: Path, fault: Fault) -> Problem:
    return problem(
        INVALID_SETTING,
        file=path,
        key=fault.key,
        reason=fault.reason,
        remedy=fault.remedy,
    )
