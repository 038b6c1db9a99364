"""Builders for tests of what a process writes to its log."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from loguru import logger


@contextmanager
def logged(event: str) -> Iterator[list[dict[str, Any]]]:
    """The fields of the lines of one kind that are written meanwhile."""
    found: list[dict[str, Any]] = []

    def sink(message: Any) -> None:
        extra = dict(message.record["extra"])
        if extra.pop("event", None) == event:
            found.append(extra)

    handler = logger.add(sink, level="INFO")
    try:
        yield found
    finally:
        logger.remove(handler)
