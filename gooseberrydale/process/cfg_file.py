"""Loading a settings file: TOML into the dataclasses of ``cfg``.

It runs once, before a process does anything else.  Every fault of the file is
collected and reported in one go, so that an operator corrects it once and not
fault by fault.  Relative paths are taken from the folder of the settings file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import cattrs
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn
from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_SETTING, Problem, ProblemError, problem
from gooseberrydale.process import cfg_checks
from gooseberrydale.process.cfg import (
    Cfg,
    ControlCfg,
    EntryCfg,
    FleetCfg,
    LogCfg,
    NodeCfg,
    SidecarCfg,
    TlsCfg,
)
from gooseberrydale.process.cfg_checks import Fault, Table

T = TypeVar("T")

# Inner tables first: a hook binds the hooks of its fields when it is made.
_TABLES = (TlsCfg, NodeCfg, FleetCfg, LogCfg, EntryCfg, SidecarCfg, ControlCfg, Cfg)
_TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Path: "a path in quotes",
}
_WHOLE_FILE = "the file"


class WrongTypeError(TypeError):
    """A value in the file is not of the type that its key needs."""

    def __init__(self, wanted: str) -> None:
        super().__init__(f"write {wanted}")
        self.wanted = wanted


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


def read_token(path: Path) -> str:
    """Return the secret in the file at ``path``, without white space around it.

    Raises ProblemError if the file can't be read or is empty; ``load`` reports
    the same beforehand.
    """
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
    cfg: Cfg | None = None
    faults: list[Fault] = []
    try:
        cfg = _converter.structure(table, Cfg)
    except ClassValidationError as exc:
        faults.extend(_walk(exc, ""))
    wrong = {fault.key for fault in faults}
    found = cfg_checks.find_faults(table, role)
    faults.extend(fault for fault in found if fault.key not in wrong)
    if cfg is None or faults:
        return Err(tuple(_to_problem(path, fault) for fault in faults))
    return Ok(cfg)


def _to_problem(path: Path, fault: Fault) -> Problem:
    return problem(
        INVALID_SETTING,
        file=path,
        key=fault.key,
        reason=fault.reason,
        remedy=fault.remedy,
    )


def _walk(exc: BaseException, key: str) -> Iterator[Fault]:
    """Turn cattrs' tree of exceptions into faults with dotted keys."""
    if isinstance(exc, ClassValidationError | IterableValidationError):
        for inner in exc.exceptions:
            yield from _walk(inner, _join(key, inner))
    elif isinstance(exc, ForbiddenExtraKeysError):
        for name in sorted(exc.extra_fields):
            remedy = f"remove it or use one of {', '.join(_field_names(exc.cl))}"
            yield Fault(_dotted(key, name), "is not a known key", remedy)
    elif isinstance(exc, KeyError):
        yield Fault(_dotted(key, str(exc.args[0])), "is missing", "set it")
    elif isinstance(exc, WrongTypeError):
        yield Fault(key, "has the wrong type", str(exc))
    else:
        yield Fault(key, "has the wrong type", "write a table or list as documented")


def _join(key: str, exc: BaseException) -> str:
    """Append the name that cattrs noted on ``exc``, if it noted one."""
    if isinstance(exc, KeyError):
        return key
    for note in getattr(exc, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return _dotted(key, note.name)
        if isinstance(note, IterableValidationNote):
            return _dotted(key, str(note.index))
    return key


def _dotted(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _field_names(cls: Any) -> list[str]:
    return sorted(cls.__dataclass_fields__)


@dataclass(frozen=True, slots=True)
class _Strict:
    """Structures values of one type and converts nothing silently."""

    wanted: type
    accepted: tuple[type, ...]

    def __call__(self, value: Any, _: Any) -> Any:
        is_bool = isinstance(value, bool) and self.wanted is not bool
        if is_bool or not isinstance(value, self.accepted):
            raise WrongTypeError(_TYPE_NAMES[self.wanted])
        return self.wanted(value)


def _list_of_strings(value: Any, _: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise WrongTypeError("a list of strings")
    return tuple(value)


def _map_of_strings(value: Any, _: Any) -> dict[str, str]:
    if not isinstance(value, dict):
        raise WrongTypeError("a table of strings")
    if not all(isinstance(v, str) for v in value.values()):
        raise WrongTypeError("a table of strings")
    return dict(value)


def _is(wanted: Any) -> Callable[[Any], bool]:
    return lambda type_: bool(type_ == wanted)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(str, _Strict(str, (str,)))
    converter.register_structure_hook(int, _Strict(int, (int,)))
    converter.register_structure_hook(float, _Strict(float, (int, float)))
    converter.register_structure_hook(bool, _Strict(bool, (bool,)))
    converter.register_structure_hook(Path, _Strict(Path, (str,)))
    converter.register_structure_hook_func(_is(tuple[str, ...]), _list_of_strings)
    converter.register_structure_hook_func(_is(dict[str, str]), _map_of_strings)
    for cls in _TABLES:
        converter.register_structure_hook(cls, _table_hook(converter, cls))
    return converter


def _table_hook(converter: cattrs.Converter, cls: type[T]) -> Any:
    """Structure a table as ``cls``, saying so if the value is no table."""
    inner = make_dict_structure_fn(cls, converter)

    def structure(value: Any, type_: Any) -> T:
        if not isinstance(value, dict):
            raise WrongTypeError("a table")
        return inner(value, type_)

    return structure


_converter = _make_converter()
