"""Helpers for tests of a process's log."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import fields
from typing import Any

from loguru import logger

from gooseberrydale.log_events import all_events


@contextmanager
def logged(event: str) -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of every ``event`` that is logged in the block."""
    events: list[dict[str, Any]] = []
    names = [item.name for item in fields(all_events()[event])]

    def sink(message: Any) -> None:
        extra = message.record["extra"]
        if extra.get("event") == event:
            events.append({name: extra[name] for name in names})

    handler = logger.add(sink, level="INFO")
    try:
        yield events
    finally:
        logger.remove(handler)
