"""The rest of a stream that was started by way of another entry.

Lives for one request.  It can't be resumed on another upstream, since the text that
the caller has got is not known here; it ends with an error if its sidecar is lost.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    AttachReq,
    CancelReq,
    Chunk,
    End,
    Failed,
    Frame,
    Refused,
)
from gooseberrydale.errors import STREAM_INCOMPLETE, ProblemError, problem
from gooseberrydale.request.cancel import cancel
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.event_id import EventId
from gooseberrydale.request.exchange import AttemptLost, Exchange
from gooseberrydale.request.job import Events, Head, Part
from gooseberrydale.request.rewrite import DONE, Rewriter
from gooseberrydale.request.stand_in import Reassembly

STATUS_OK = 200


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
        self._reassembly = Reassembly(last.offset + 1)
        self._whole = False
        self._handed_over = False
        req = AttachReq(last.request_id, record.incarnation, workspace, last.offset + 1)
        self._exchange = Exchange(
            deps.pool,
            record,
            req,
            lambda: self._reassembly.offset,
            deps.cfg.silence_s,
        )

    def hand_over(self) -> None:
        """Leave the answer running at its sidecar when ``answer`` is closed."""
        self._handed_over = True

    async def answer(self) -> AsyncGenerator[Part, None]:
        """The rest of the stream; raises :class:`ProblemError` if it breaks off."""
        given = False
        try:
            while not self._whole:
                frame = await self._next()
                if isinstance(frame, Refused | Failed):
                    raise ProblemError(frame.problem)
                events = self._take(frame)
                if not given and (events or self._whole):
                    given = True
                    yield Head(STATUS_OK, (), True)
                if events:
                    yield events
        finally:
            self._release()

    async def _next(self) -> Frame:
        try:
            return await self._exchange.next(None)
        except AttemptLost as exc:
            why = exc.problem or problem(STREAM_INCOMPLETE, not_run=False)
            raise ProblemError(why) from None

    def _take(self, frame: Frame) -> Events | None:
        offset = self._reassembly.offset
        if isinstance(frame, Chunk):
            new = self._reassembly.take(frame)
            if new is None:
                self._exchange.attach("events are missing")
                return None
            texts = tuple(self._rewriter.event(e) for e in new if e != DONE)
            record = self._record
            return Events(record.name, record.incarnation, offset, texts)
        if isinstance(frame, End):
            self._whole = frame.offset == offset
            if not self._whole:
                self._exchange.attach("events before the end are missing")
        return None

    def _release(self) -> None:
        self._exchange.stop()
        if self._whole or self._handed_over or self._exchange.attempt < 0:
            return
        req = CancelReq(
            self._request_id,
            self._exchange.attempt,
            self._record.incarnation,
            self._workspace,
        )
        self._deps.background.spawn(
            cancel(self._deps.pool, self._record, req, self._deps.cfg.silence_s)
        )
