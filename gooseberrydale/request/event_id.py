"""The id of one event of a streamed answer.

It names sidecar, incarnation, request and offset, so that any entry can attach to
the running stream after the event without having seen the stream before.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_FIELD, Problem, problem

PARTS = 4


@dataclass(frozen=True, slots=True)
class EventId:
    """Where an event came from; ``offset`` counts the answer's events from 0."""

    upstream: str
    incarnation: str
    request_id: str
    offset: int

    def __str__(self) -> str:
        return f"{self.upstream}/{self.incarnation}/{self.request_id}/{self.offset}"


def parse_event_id(text: str) -> Result[EventId, Problem]:
    """Read a Last-Event-ID header."""
    parts = text.strip().rsplit("/", PARTS - 1)
    if len(parts) != PARTS or not all(parts) or not _is_count(parts[-1]):
        return Err(problem(INVALID_FIELD, reason="Last-Event-ID is no event's id"))
    upstream, incarnation, request_id, offset = parts
    return Ok(EventId(upstream, incarnation, request_id, int(offset)))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 16
