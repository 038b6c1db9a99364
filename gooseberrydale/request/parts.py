"""Makes the parts that go to the caller out of the ordered events of an answer.

Lives for one request, over all its attempts.  A stream's events pass on at once; any
other answer is held until it is whole, so that until then it can start anew.
"""

from __future__ import annotations

from gooseberrydale.errors import InvariantError
from gooseberrydale.request.job import Events, Head, Part
from gooseberrydale.request.reassembly import DONE_EVENT, Deliver, Start
from gooseberrydale.request.rewrite import Rewriter

STATUS_OK = 200


class PartMaker:
    """Parts of one answer.

    ``profile`` is the name that the answer carries; empty leaves the answer as it
    is.  ``wants_stream`` says that the caller asked for a stream.
    """

    def __init__(self, request_id: str, profile: str, wants_stream: bool) -> None:
        self._request_id = request_id
        self._profile = profile
        self._wants_stream = wants_stream
        self._rewriter = Rewriter(request_id, profile)
        self._head: Head | None = None
        self._held: list[bytes] = []
        self._source = ("", "")
        self._given = False

    @property
    def given(self) -> bool:
        """Whether the caller has a part of the answer."""
        return self._given

    @property
    def resumable(self) -> bool:
        """Whether another upstream can go on from the text given out alone."""
        return self._rewriter.resumable

    @property
    def text_finished(self) -> bool:
        """Whether the engine said that its text is complete."""
        return self._rewriter.finished

    def begin(self, upstream: str, incarnation: str) -> None:
        """Take events from another sidecar; what was only held is dropped."""
        self._source = (upstream, incarnation)
        if not self._given:
            self._head = None
            self._held.clear()

    def start(self, action: Start) -> None:
        """Take the status and headers of the answer."""
        streamed = self._wants_stream and action.status == STATUS_OK
        self._head = Head(action.status, action.headers, streamed)

    def deliver(self, action: Deliver) -> list[Part]:
        """Take events in order; return what goes to the caller now."""
        if not self._is_streamed:
            self._held.extend(action.events)
            return []
        events = [e for e in action.events if e.strip() != DONE_EVENT]
        texts = tuple(self._rewriter.event(event) for event in events)
        return [*self._first(), self._events(action.offset, texts)]

    def finish(self) -> list[Part]:
        """Take the end of a whole answer; return what goes to the caller now."""
        parts = self._first()
        if not self._is_streamed:
            body = b"".join(self._held)
            body = self._rewriter.body(body) if self._profile else body
            parts.append(self._events(0, (body,)))
        return parts

    @property
    def _is_streamed(self) -> bool:
        return self._head is not None and self._head.streamed

    def _first(self) -> list[Part]:
        if self._given:
            return []
        if self._head is None:
            raise InvariantError(f"{self._request_id} has an answer but no head")
        self._given = True
        return [self._head]

    def _events(self, offset: int, events: tuple[bytes, ...]) -> Events:
        return Events(*self._source, offset, events)
