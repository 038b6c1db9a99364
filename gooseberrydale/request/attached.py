"""Reads the rest of an answer that an earlier request started.

There is one reader per request.  The text that the caller already has is not known
here, so the answer can't be resumed on another upstream: it ends with an error if its
sidecar is lost.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass

from gooseberrydale.connection.channels import Endpoint
from gooseberrydale.connection.messages import CancelReq, Frame, Heartbeat
from gooseberrydale.errors import STREAM_INCOMPLETE, ProblemError, problem
from gooseberrydale.request.cancel import cancel
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.exchange import LATEST_ATTEMPT, Exchange, ExchangeLost
from gooseberrydale.request.job import Part, ReaderReplaced
from gooseberrydale.request.parts import PartBuilder
from gooseberrydale.request.reassembly import (
    AttemptFailed,
    Deliver,
    Finished,
    NeedAttach,
    Reassembly,
    Start,
)


@dataclass(frozen=True, slots=True)
class AttachTarget:
    """The attempt to attach to, and the ``offset`` of the first event to read.

    ``upstream`` is the sidecar's name.  ``profile`` is the name to write into the
    answer; if empty, an unstreamed answer is not rewritten.  ``streamed`` says whether
    the caller asked for a stream.  ``attempt`` is None if its number is not known.
    """

    endpoint: Endpoint
    upstream: str
    request_id: str
    offset: int
    workspace: str
    profile: str
    streamed: bool = True
    attempt: int | None = None


class AttachedAnswer:
    """Reads a running answer.  Call ``answer`` once and wrap it in ``aclosing``."""

    def __init__(self, deps: Deps, target: AttachTarget) -> None:
        self._deps = deps
        self._target = target
        self._parts = PartBuilder(
            target.request_id, target.profile, target.streamed, deps.answers.begin()
        )
        self._parts.begin(target.upstream, target.endpoint.incarnation)
        self._reassembly = Reassembly(target.request_id, target.offset)
        self._attempt: int | None = None
        self._handed_over = False
        self._exchange = Exchange(
            deps.pool,
            target.endpoint,
            target.request_id,
            LATEST_ATTEMPT if target.attempt is None else target.attempt,
            target.workspace,
            deps.cfg.silence_s,
        )

    def hand_over(self) -> None:
        """Let the sidecar keep running the attempt after ``answer`` is closed."""
        self._handed_over = True

    async def answer(self) -> AsyncGenerator[Part, None]:
        """Yield the rest of the answer; raises :class:`ProblemError` if it fails.

        Raises :class:`ReaderReplaced` if a newer reader takes over.
        """
        self._attach()
        try:
            while not self._reassembly.finished:
                for part in await self._step():
                    yield part
        finally:
            self._parts.close()
            self._close_exchange()

    async def _step(self) -> list[Part]:
        try:
            frame = await self._exchange.next(None)
        except ExchangeLost as exc:
            if exc.replaced:
                raise ReaderReplaced from None
            self._attach()
            return []
        self._set_attempt(frame)
        parts: list[Part] = []
        for action in self._reassembly.feed(frame):
            match action:
                case Start():
                    self._parts.start(action)
                case Deliver():
                    parts += self._parts.deliver(action)
                case Finished():
                    parts += self._parts.finish()
                case NeedAttach():
                    self._attach()
                case AttemptFailed():
                    raise ProblemError(action.problem)
        return parts

    def _attach(self) -> None:
        if self._exchange.attach_exhausted:
            raise ProblemError(problem(STREAM_INCOMPLETE, not_run=False))
        self._exchange.attach(self._reassembly.next_offset)
        self._reassembly.attached()
        self._deps.instruments.attaches.add(1)

    def _set_attempt(self, frame: Frame) -> None:
        """Take the attempt number from the first frame; it may be unknown before."""
        if self._attempt is not None or isinstance(frame, Heartbeat):
            return
        if self._exchange.is_current(frame):
            self._attempt = frame.attempt
            self._reassembly.begin(frame.attempt, self._target.endpoint.incarnation)

    def _close_exchange(self) -> None:
        self._exchange.stop()
        if self._reassembly.finished or self._handed_over or self._attempt is None:
            return
        req = CancelReq(
            self._target.request_id,
            self._attempt,
            self._target.endpoint.incarnation,
            self._target.workspace,
        )
        work = cancel(
            self._deps.pool, self._target.endpoint, req, self._deps.cfg.silence_s
        )
        self._deps.background.spawn(work)
