"""Carries one request from the first choice of an upstream to its whole answer.

Lives for one request.  The decisions are made by the pure modules beside this one;
the runner reads frames, carries the decisions out, and makes sure that the sidecar
hears of it when the request is given up.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

from loguru import logger

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    Accepted,
    CancelReq,
    Chunk,
    DispatchReq,
    End,
    Failed,
    Frame,
    Refused,
)
from gooseberrydale.errors import (
    DEADLINE_PASSED,
    NO_UPSTREAM,
    OUTCOME_UNKNOWN,
    RETRY_BUDGET_SPENT,
    STREAM_INCOMPLETE,
    UPSTREAM_UNREACHABLE,
    Problem,
    ProblemError,
    problem,
)
from gooseberrydale.request.cancel import cancel, confirm_not_run
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.exchange import AttemptLost, DeadlinePassed, Exchange
from gooseberrydale.request.job import Events, Head, Job, Part
from gooseberrydale.request.rewrite import DONE, Rewriter
from gooseberrydale.request.stand_in import Reassembly, RouteReq

STATUS_OK = 200
COME_BACK_S = 1.0
UNSTREAMED_ANSWER_S = 300.0
"""Time for the rest of a completion that is not streamed, after its deadline."""


class Runner:
    """Runs one :class:`Job`; use ``answer`` once, within ``aclosing``."""

    def __init__(self, deps: Deps, job: Job) -> None:
        self._deps = deps
        self._job = job
        self._rewriter = Rewriter(job.request_id, job.profile.name)
        self._reassembly = Reassembly()
        self._exchange: Exchange | None = None
        self._attempt = 0
        self._tried: set[str] = set()
        self._head: Head | None = None
        self._held: list[bytes] = []
        self._given = False
        self._whole = False
        self._handed_over = False
        self._deadline = self._now() + job.profile.deadline_s

    def hand_over(self) -> None:
        """Leave the answer running at its sidecar when ``answer`` is closed."""
        self._handed_over = True

    async def answer(self) -> AsyncGenerator[Part, None]:
        """Head and events of the answer; raises :class:`ProblemError`.

        It ends without an error only if the answer is whole.
        """
        self._deps.budget.earn()
        try:
            while not self._whole:
                frame = await self._next_frame()
                if frame is not None:
                    for part in self._take(frame):
                        yield part
        finally:
            self._release()

    async def _next_frame(self) -> Frame | None:
        """The next frame, or None after a failure that was dealt with."""
        if self._exchange is None:
            self._exchange = await self._start()
        try:
            frame = await self._exchange.next(self._until())
            if isinstance(frame, Chunk) and frame.offset > self._reassembly.offset:
                self._exchange.attach(f"events before {frame.offset} are missing")
                return None
            if isinstance(frame, End) and frame.offset != self._reassembly.offset:
                self._exchange.attach(f"events before the end {frame.offset} miss")
                return None
        except DeadlinePassed:
            raise ProblemError(self._deadline_problem()) from None
        except AttemptLost as exc:
            await self._after_loss(self._exchange, exc)
            return None
        if isinstance(frame, Refused | Failed):
            await self._after_failure(frame)
            return None
        return frame

    def _take(self, frame: Frame) -> list[Part]:
        match frame:
            case Accepted():
                streamed = self._job.stream and frame.status == STATUS_OK
                self._head = Head(frame.status, frame.headers, streamed)
            case Chunk():
                return self._take_chunk(frame)
            case End():
                self._whole = True
                return self._take_end()
        return []

    def _take_chunk(self, chunk: Chunk) -> list[Part]:
        offset = self._reassembly.offset
        events = self._reassembly.take(chunk)
        if not events:
            return []
        if self._is_held():
            self._held.extend(events)
            return []
        parts = self._first_parts()
        texts = tuple(self._rewriter.event(e) for e in events if e != DONE)
        parts.append(self._events(offset, texts))
        return parts

    def _take_end(self) -> list[Part]:
        parts = self._first_parts()
        if self._is_held():
            body = b"".join(self._held)
            if self._job.is_completion:
                body = self._rewriter.body(body)
            parts.append(self._events(0, (body,)))
        return parts

    def _first_parts(self) -> list[Part]:
        if self._given or self._head is None:
            return []
        self._given = True
        return [self._head]

    def _events(self, offset: int, events: tuple[bytes, ...]) -> Events:
        assert self._exchange is not None
        record = self._exchange.upstream
        return Events(record.name, record.incarnation, offset, events)

    def _is_held(self) -> bool:
        """Whether the answer goes out as one body once it is whole."""
        if self._head is None:
            return not self._job.stream
        return not self._head.streamed

    async def _start(self) -> Exchange:
        upstream = self._choose()
        self._tried.add(upstream.name)
        self._attempt += 1
        self._head = self._head if self._given else None
        self._held.clear()
        if self._is_held():
            self._reassembly = Reassembly()
        left_s = self._deadline - self._now()
        req = DispatchReq(
            request_id=self._job.request_id,
            attempt=self._attempt,
            incarnation=upstream.incarnation,
            workspace=self._job.workspace,
            profile=self._job.profile.name,
            method=self._job.method,
            path=self._job.path,
            body=self._job.body,
            headers=self._job.headers,
            stream=self._job.stream,
            repeatable=self._job.profile.repeatable,
            deadline_s=max(left_s, 0.0),
            pieces=self._job.pieces,
            cfg_revision=self._deps.store.revision,
            emitted=self._rewriter.emitted,
            first_offset=self._reassembly.offset,
        )
        return Exchange(
            self._deps.pool,
            upstream,
            req,
            lambda: self._reassembly.offset,
            self._deps.cfg.silence_s,
        )

    def _choose(self) -> UpstreamRecord:
        pool = self._job.profile.pool
        now = self._now()
        req = RouteReq(pool, self._job.pieces, frozenset(self._tried))
        upstreams = self._deps.directory.ready(pool, now)
        found = self._deps.router.choose(req, upstreams, now)
        if found is None:
            raise ProblemError(
                problem(NO_UPSTREAM, retry_after_s=COME_BACK_S, pool=pool)
            )
        return found

    async def _after_loss(self, exchange: Exchange, lost: AttemptLost) -> None:
        """Go on elsewhere after the sidecar was lost, or raise the final problem."""
        logger.info("attempt of {} lost: {}", self._job.request_id, lost)
        exchange.stop()
        if not self._job.profile.repeatable:
            if not await self._confirm_not_run(exchange):
                raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))
        else:
            self._cancel_soon(exchange)
        not_run = not self._job.profile.repeatable or (None if lost.started else True)
        self._go_elsewhere(
            problem(UPSTREAM_UNREACHABLE, not_run=not_run, retry_after_s=COME_BACK_S)
        )

    async def _after_failure(self, frame: Refused | Failed) -> None:
        """Go on elsewhere after the sidecar gave up, or raise the final problem."""
        not_run = frame.problem.not_run is True
        if not not_run and not self._job.profile.repeatable:
            raise ProblemError(frame.problem)
        if frame.problem.status < 429:
            raise ProblemError(frame.problem)
        self._go_elsewhere(frame.problem)

    def _go_elsewhere(self, why: Problem) -> None:
        self._exchange = None
        if self._given and not self._rewriter.resumable:
            raise ProblemError(problem(STREAM_INCOMPLETE, not_run=False))
        if not self._deps.budget.spend():
            raise ProblemError(
                problem(
                    RETRY_BUDGET_SPENT,
                    not_run=why.not_run,
                    retry_after_s=COME_BACK_S,
                )
            )
        self._deps.counters.retried += 1

    async def _confirm_not_run(self, exchange: Exchange) -> bool:
        return await confirm_not_run(
            self._deps.pool,
            exchange.upstream,
            self._cancel_req(exchange),
            self._deps.cfg.silence_s,
        )

    def _cancel_soon(self, exchange: Exchange) -> None:
        self._deps.background.spawn(
            cancel(
                self._deps.pool,
                exchange.upstream,
                self._cancel_req(exchange),
                self._deps.cfg.silence_s,
            )
        )

    def _cancel_req(self, exchange: Exchange) -> CancelReq:
        return CancelReq(
            request_id=self._job.request_id,
            attempt=exchange.attempt,
            incarnation=exchange.upstream.incarnation,
            workspace=self._job.workspace,
        )

    def _release(self) -> None:
        exchange = self._exchange
        if exchange is None or self._whole:
            return
        exchange.stop()
        if not self._handed_over:
            self._cancel_soon(exchange)

    def _until(self) -> float | None:
        """Loop time until which the next frame is waited for."""
        if self._given:
            return None
        if self._job.stream or not self._job.is_completion:
            return self._deadline
        return self._deadline + UNSTREAMED_ANSWER_S

    def _deadline_problem(self) -> Problem:
        return problem(DEADLINE_PASSED, not_run=None, retry_after_s=COME_BACK_S)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
