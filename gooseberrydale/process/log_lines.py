"""Reads log lines of processes for the commands that analyse them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

import msgspec

_NOT_SHOWN = frozenset({"time", "level", "message", "module", "role", "name", "event"})


@dataclass(frozen=True, slots=True)
class Line:
    """One log line; ``node`` is the name of the process that wrote it."""

    at: datetime
    node: str
    event: str
    message: str
    fields: dict[str, Any]

    def since_s(self, other: Line) -> float:
        """Return the seconds from ``other`` to this line."""
        return (self.at - other.at).total_seconds()


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parse log lines, skipping those that are not JSON objects with a time.

    Text before the first brace is ignored, such as a prefix added by a log collector.
    """
    for text in texts:
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            content = msgspec.json.decode(brace + rest)
            at = datetime.fromisoformat(content["time"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        yield Line(
            at=at,
            node=str(content.get("name", "")),
            event=str(content.get("event", "")),
            message=str(content.get("message", "")),
            fields={k: v for k, v in content.items() if k not in _NOT_SHOWN},
        )
