"""Judges whether the event stream of an upstream's answer is complete at its end.

The end of a body does not prove that its stream is complete: an upstream that dies
closes its connections like one that has finished, and may do so within an event.
"""

from __future__ import annotations

from gooseberrydale.connection.http_conn import Framing
from gooseberrydale.connection.sse import EventTracker
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.request.gateway_call import RawHeaders

EVENT_STREAM = b"text/event-stream"


def is_event_stream(headers: RawHeaders) -> bool:
    """Whether a streamed body consists of events; without a type it is taken to."""
    content_type = dict(headers).get(b"content-type", EVENT_STREAM)
    return content_type.partition(b";")[0].strip().lower() == EVENT_STREAM


class AnswerStream:
    """The streamed body of one answer; ``continued`` if the caller has events already.

    A body that is not an event stream is complete wherever it ends.
    """

    def __init__(
        self, headers: RawHeaders, framing: Framing, *, continued: bool
    ) -> None:
        self._tracker = EventTracker() if is_event_stream(headers) else None
        self._framing = framing
        self._continued = continued
        self._has_data = False

    @property
    def has_events(self) -> bool:
        """Whether the body consists of events."""
        return self._tracker is not None

    @property
    def inside_event(self) -> bool:
        """Whether the bytes received so far end in the middle of an event."""
        return self._tracker is not None and self._tracker.inside

    @property
    def has_begun(self) -> bool:
        """Whether the first event is complete, or anything of another body is there."""
        return self._has_data and (self._tracker is None or self._tracker.completed)

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        self._has_data = self._has_data or bool(data)
        if self._tracker is not None:
            self._tracker.feed(data)

    def check_end(self) -> None:
        """Raise :class:`UpstreamError` if the body has ended but not the stream."""
        if self._tracker is None:
            return
        ended_by = f"the stream ended by its {self._framing.value}"
        if self._tracker.inside:
            raise UpstreamError(f"{ended_by} inside an event", sent=True)
        is_unmarked = self._framing is Framing.CONNECTION
        if is_unmarked and not self._tracker.started and not self._continued:
            raise UpstreamError(f"{ended_by} before its first event", sent=True)
