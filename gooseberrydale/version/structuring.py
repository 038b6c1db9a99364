"""Turns plain tables, from TOML or JSON, into dataclasses.

Declarations, the operators' requests and the settings go through it.

Nothing is converted silently and unknown keys are refused.  All faults are found
in one go, each with its dotted key and a remedy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from enum import StrEnum
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
from result import Err, Ok, Result

T = TypeVar("T")

_WANTED = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Path: "a path in quotes",
}
_ACCEPTED: dict[type, tuple[type, ...]] = {float: (int, float), Path: (str,)}


@dataclass(frozen=True, slots=True)
class FieldFault:
    """One fault: the dotted key, what is wrong, and what to do."""

    key: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.key or 'the body'}: {self.reason}; {self.remedy}"


class _WrongValueError(ValueError):
    """A value is not what its key needs; the text is the remedy."""


def structure(value: Any, cls: type[T]) -> Result[T, tuple[FieldFault, ...]]:
    """Return ``value`` as an instance of the dataclass ``cls``, or all its faults."""
    if not isinstance(value, dict):
        return Err((FieldFault("", "is no table", "write a table"),))
    try:
        return Ok(_converter.structure(value, cls))
    except (ClassValidationError, IterableValidationError) as exc:
        return Err(tuple(_walk(exc, "")))


def _walk(exc: BaseException, key: str) -> Iterator[FieldFault]:
    match exc:
        case ClassValidationError() | IterableValidationError():
            for inner in exc.exceptions:
                yield from _walk(inner, _joined(key, inner))
        case ForbiddenExtraKeysError():
            known = ", ".join(sorted(field.name for field in fields(exc.cl)))
            for name in sorted(exc.extra_fields):
                remedy = f"remove it or use one of {known}"
                yield FieldFault(_dotted(key, name), "is not a known key", remedy)
        case KeyError():
            yield FieldFault(_dotted(key, str(exc.args[0])), "is missing", "set it")
        case _WrongValueError():
            yield FieldFault(key, "has the wrong value", str(exc))
        case _:
            yield FieldFault(key, "has the wrong type", "write a table or a list")


def _joined(key: str, exc: BaseException) -> str:
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


def _strict(wanted: type) -> Callable[[Any, Any], Any]:
    accepted = _ACCEPTED.get(wanted, (wanted,))

    def take(value: Any, cls: Any) -> Any:
        # The hook of str is also asked for each StrEnum, as for any subclass.
        if issubclass(cls, StrEnum):
            return _one_of(value, cls)
        if isinstance(value, bool) and wanted is not bool:
            raise _WrongValueError(f"write {_WANTED[wanted]}")
        if not isinstance(value, accepted):
            raise _WrongValueError(f"write {_WANTED[wanted]}")
        return wanted(value)

    return take


def _one_of(value: Any, cls: Any) -> Any:
    try:
        return cls(value)
    except ValueError:
        listed = ", ".join(cls)
        raise _WrongValueError(f"write one of {listed}") from None


def _strings(value: Any, _: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise _WrongValueError("write a list of strings")
    return tuple(value)


def _is(wanted: Any) -> Callable[[Any], bool]:
    return lambda cls: bool(cls == wanted)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for wanted in _WANTED:
        converter.register_structure_hook(wanted, _strict(wanted))
    converter.register_structure_hook_func(_is(tuple[str, ...]), _strings)
    return converter


_converter = _make_converter()
