"""The rest of a stream that was started by way of another entry.

Lives for one request.  It can't be resumed on another upstream, since the text that
the caller has got is not known here; it ends with an error if its sidecar is lost.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import CancelReq, Frame, Heartbeat
from gooseberrydale.errors import STREAM_INCOMPLETE, ProblemError, problem
from gooseberrydale.request.cancel import cancel
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.event_id import EventId
from gooseberrydale.request.exchange import Exchange, ExchangeLost
from gooseberrydale.request.job import Events, Head, Part
from gooseberrydale.request.reassembly import (
    DONE_EVENT,
    Broken,
    Deliver,
    Finished,
    NeedAttach,
    Reassembly,
    Start,
)
from gooseberrydale.request.rewrite import Rewriter


class AttachedAnswer:
    """Goes on after the event ``last``; use ``answer`` once, within ``aclosing``."""

    def __init__(
        self,
        deps: Deps,
        record: UpstreamRecord,
        last: EventId,
        workspace: str,
        profile: str,
    ) -> None:
        self._deps = deps
        self._record = record
        self._workspace = workspace
        self._request_id = last.request_id
        self._rewriter = Rewriter(last.request_id, profile)
        self._reassembly = Reassembly(last.request_id, last.offset + 1)
        self._attempt: int | None = None
        self._head: Head | None = None
        self._whole = False
        self._handed_over = False
        self._exchange = Exchange(
            deps.pool, record, last.request_id, workspace, deps.cfg.silence_s
        )

    def hand_over(self) -> None:
        """Leave the answer running at its sidecar when ``answer`` is closed."""
        self._handed_over = True

    async def answer(self) -> AsyncGenerator[Part, None]:
        """The rest of the stream; raises :class:`ProblemError` if it breaks off."""
        self._attach()
        try:
            while not self._whole:
                for part in await self._step():
                    yield part
        finally:
            self._release()

    async def _step(self) -> list[Part]:
        try:
            frame = await self._exchange.next(None)
        except ExchangeLost:
            self._attach()
            return []
        self._learn_attempt(frame)
        parts: list[Part] = []
        for action in self._reassembly.feed(frame):
            match action:
                case Start():
                    self._head = Head(action.status, action.headers, True)
                case Deliver():
                    parts += self._deliver(action)
                case Finished():
                    parts += self._first_parts()
                    self._whole = True
                case NeedAttach():
                    self._attach()
                case Broken():
                    raise ProblemError(action.problem)
        return parts

    def _attach(self) -> None:
        if self._exchange.attach_tried:
            raise ProblemError(problem(STREAM_INCOMPLETE, not_run=False))
        self._exchange.attach(self._reassembly.next_offset)
        self._reassembly.attached()

    def _learn_attempt(self, frame: Frame) -> None:
        """The first frame names the attempt; the event id does not."""
        if self._attempt is not None or isinstance(frame, Heartbeat):
            return
        if self._exchange.is_current(frame):
            self._attempt = frame.attempt
            self._reassembly.begin(frame.attempt, self._record.incarnation)

    def _deliver(self, action: Deliver) -> list[Part]:
        events = [e for e in action.events if e.strip() != DONE_EVENT]
        texts = tuple(self._rewriter.event(event) for event in events)
        record = self._record
        part = Events(record.name, record.incarnation, action.offset, texts)
        return [*self._first_parts(), part]

    def _first_parts(self) -> list[Part]:
        head, self._head = self._head, None
        return [] if head is None else [head]

    def _release(self) -> None:
        self._exchange.stop()
        if self._whole or self._handed_over or self._attempt is None:
            return
        req = CancelReq(
            self._request_id, self._attempt, self._record.incarnation, self._workspace
        )
        self._deps.background.spawn(
            cancel(self._deps.pool, self._record, req, self._deps.cfg.silence_s)
        )
