"""Builders for tests of what a process writes to its log."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import fields
from typing import Any

from loguru import logger

from gooseberrydale.log_events import all_events


@contextmanager
def logged(event: str) -> Iterator[list[dict[str, Any]]]:
    """The fields of the events of one kind that are written meanwhile."""
    found: list[dict[str, Any]] = []
    names = [one.name for one in fields(all_events()[event])]

    def sink(message: Any) -> None:
        extra = message.record["extra"]
        if extra.get("event") == event:
            found.append({name: extra[name] for name in names})

    handler = logger.add(sink, level="INFO")
    try:
        yield found
    finally:
        logger.remove(handler)
