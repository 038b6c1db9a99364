"""Formats what operators' commands print: columns for people, JSON for programs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

COLUMN_SEPARATOR = "  "


def as_json(value: Any) -> str:
    """Return ``value`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def as_columns(rows: Sequence[dict[str, Any]], names: Sequence[str]) -> str:
    """Return the fields ``names`` of ``rows`` as padded columns with headings."""
    lines = [[name.upper() for name in names]]
    lines += [[as_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def as_fields(table: dict[str, Any]) -> str:
    """Return the fields of one object, a line each."""
    width = max((len(name) for name in table), default=0)
    return "\n".join(f"{name.ljust(width)}  {as_cell(v)}" for name, v in table.items())


def as_cell(value: Any) -> str:
    """Return ``value`` as text for one cell of a column."""
    match value:
        case None | "" | []:
            return "-"
        case bool():
            return "yes" if value else "no"
        case list():
            return ",".join(as_cell(item) for item in value)
        case dict():
            return msgspec.json.encode(value).decode()
        case _:
            return str(value)
