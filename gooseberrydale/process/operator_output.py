"""Shows operators tables: in columns for people, as JSON for programs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

GAP = "  "


def as_json(value: Any) -> str:
    """Return ``value`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def as_columns(rows: Sequence[dict[str, Any]], names: Sequence[str]) -> str:
    """Return ``rows`` under the headings ``names``, padded into columns."""
    lines = [[name.upper() for name in names]]
    lines += [[as_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        GAP.join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in lines
    )


def as_fields(table: dict[str, Any]) -> str:
    """Return one thing as a line for each of its fields."""
    width = max((len(name) for name in table), default=0)
    return "\n".join(f"{name.ljust(width)}  {as_cell(v)}" for name, v in table.items())


def as_cell(value: Any) -> str:
    """Return ``value`` as it stands in a column."""
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
