"""The id of one event of a streamed answer.

It names the sidecar, its incarnation, the request and the offset, so any entry can
attach to the stream after that event, even if it did not serve the stream before.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_FIELD, Problem, problem

FIELD_COUNT = 4


@dataclass(frozen=True, slots=True)
class EventId:
    """The origin of an event; ``offset`` counts the answer's events from 0."""

    upstream: str
    incarnation: str
    request_id: str
    offset: int

    def __str__(self) -> str:
        return f"{self.upstream}/{self.incarnation}/{self.request_id}/{self.offset}"


def parse_event_id(text: str) -> Result[EventId, Problem]:
    """Parse the value of a Last-Event-ID header."""
    fields = text.strip().rsplit("/", FIELD_COUNT - 1)
    if len(fields) != FIELD_COUNT or not all(fields) or not _is_count(fields[-1]):
        return Err(
            problem(INVALID_FIELD, reason="Last-Event-ID is not the id of an event")
        )
    upstream, incarnation, request_id, offset = fields
    return Ok(EventId(upstream, incarnation, request_id, int(offset)))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 16
