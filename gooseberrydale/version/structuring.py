"""Converts tables parsed from TOML or JSON to dataclasses.

It is used for declarations, operators' requests and settings.  Values of a wrong type
are not converted silently, and unknown keys are refused.  All faults are reported at
once, each with its dotted key and a remedy.
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

_TYPE_DESCRIPTIONS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Path: "a path in quotes",
}
_ACCEPTED: dict[type, tuple[type, ...]] = {float: (int, float), Path: (str,)}


@dataclass(frozen=True, slots=True)
class FieldFault:
    """A fault in one field: its dotted key, the reason and the remedy."""

    key: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.key or 'the body'}: {self.reason}; {self.remedy}"


class _WrongValueError(ValueError):
    """A value has the wrong type or content; the message is the remedy."""


def structure(value: Any, cls: type[T]) -> Result[T, tuple[FieldFault, ...]]:
    """Convert ``value`` to the dataclass ``cls``, or return all its faults."""
    if not isinstance(value, dict):
        return Err((FieldFault("", "is not a table", "write a table"),))
    try:
        return Ok(_converter.structure(value, cls))
    except (ClassValidationError, IterableValidationError) as exc:
        return Err(tuple(_collect_faults(exc, "")))


def _collect_faults(exc: BaseException, key: str) -> Iterator[FieldFault]:
    match exc:
        case ClassValidationError() | IterableValidationError():
            for inner in exc.exceptions:
                yield from _collect_faults(inner, _child_key(key, inner))
        case ForbiddenExtraKeysError():
            known_keys = ", ".join(sorted(field.name for field in fields(exc.cl)))
            for name in sorted(exc.extra_fields):
                remedy = f"remove it or use one of {known_keys}"
                yield FieldFault(_dotted(key, name), "is not a known key", remedy)
        case KeyError():
            yield FieldFault(_dotted(key, str(exc.args[0])), "is missing", "set it")
        case _WrongValueError():
            yield FieldFault(key, "has the wrong value", str(exc))
        case _:
            yield FieldFault(key, "has the wrong type", "write a table or a list")


def _child_key(key: str, exc: BaseException) -> str:
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


def _strict_hook(wanted: type) -> Callable[[Any, Any], Any]:
    accepted = _ACCEPTED.get(wanted, (wanted,))

    def structure_value(value: Any, cls: Any) -> Any:
        # cattrs calls the hook of str for its subclasses, too, such as StrEnum.
        if issubclass(cls, StrEnum):
            return _structure_enum(value, cls)
        if isinstance(value, bool) and wanted is not bool:
            raise _WrongValueError(f"write {_TYPE_DESCRIPTIONS[wanted]}")
        if not isinstance(value, accepted):
            raise _WrongValueError(f"write {_TYPE_DESCRIPTIONS[wanted]}")
        return wanted(value)

    return structure_value


def _structure_enum(value: Any, cls: Any) -> Any:
    try:
        return cls(value)
    except ValueError:
        choices = ", ".join(cls)
        raise _WrongValueError(f"write one of {choices}") from None


def _structure_strings(value: Any, _: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise _WrongValueError("write a list of strings")
    return tuple(value)


def _is_type(wanted: Any) -> Callable[[Any], bool]:
    return lambda cls: bool(cls == wanted)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for wanted in _TYPE_DESCRIPTIONS:
        converter.register_structure_hook(wanted, _strict_hook(wanted))
    converter.register_structure_hook_func(
        _is_type(tuple[str, ...]), _structure_strings
    )
    return converter


_converter = _make_converter()
