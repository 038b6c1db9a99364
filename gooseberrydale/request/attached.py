"""The rest of an answer that runs already, started by way of another request.

Lives for one request.  It can't be resumed on another upstream, since the text that
the caller has got is not known here; it ends with an error if its sidecar is lost.
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
from gooseberrydale.request.parts import PartMaker
from gooseberrydale.request.reassembly import (
    Broken,
    Deliver,
    Finished,
    NeedAttach,
    Reassembly,
    Start,
)


@dataclass(frozen=True, slots=True)
class AttachTarget:
    """What to attach to, and the offset of the first event wanted.

    ``upstream`` is the sidecar's name, ``profile`` the name that the answer carries
    (empty leaves the answer as it is), ``streamed`` whether the caller wants events,
    ``attempt`` the number of the attempt if it is known.
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
    """Goes on with a running answer; use ``answer`` once, within ``aclosing``."""

    def __init__(self, deps: Deps, target: AttachTarget) -> None:
        self._deps = deps
        self._target = target
        self._parts = PartMaker(target.request_id, target.profile, target.streamed)
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
        """Leave the answer running at its sidecar when ``answer`` is closed."""
        self._handed_over = True

    async def answer(self) -> AsyncGenerator[Part, None]:
        """The rest of the answer; raises :class:`ProblemError` if it breaks off.

        Raises :class:`ReaderReplaced` if a newer reader takes over.
        """
        self._attach()
        try:
            while not self._reassembly.finished:
                for part in await self._step():
                    yield part
        finally:
            self._release()

    async def _step(self) -> list[Part]:
        try:
            frame = await self._exchange.next(None)
        except ExchangeLost as exc:
            if exc.replaced:
                raise ReaderReplaced from None
            self._attach()
            return []
        self._learn_attempt(frame)
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
                case Broken():
                    raise ProblemError(action.problem)
        return parts

    def _attach(self) -> None:
        if self._exchange.attach_tried:
            raise ProblemError(problem(STREAM_INCOMPLETE, not_run=False))
        self._exchange.attach(self._reassembly.next_offset)
        self._reassembly.attached()
        self._deps.instruments.attaches.add(1)

    def _learn_attempt(self, frame: Frame) -> None:
        """The first frame names the attempt; nothing before it does."""
        if self._attempt is not None or isinstance(frame, Heartbeat):
            return
        if self._exchange.is_current(frame):
            self._attempt = frame.attempt
            self._reassembly.begin(frame.attempt, self._target.endpoint.incarnation)

    def _release(self) -> None:
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
