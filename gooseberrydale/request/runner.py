"""Carries one request from the first choice of an upstream to its whole answer.

Lives for one request.  The decisions are made by the pure modules beside this one;
the runner reads frames, carries the decisions out, and makes sure that the sidecar
hears of it when the request is given up.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import replace

from loguru import logger
from result import Err

from gooseberrydale.connection.messages import (
    Accepted,
    CancelReq,
    DispatchReq,
    Frame,
    Heartbeat,
    Refused,
)
from gooseberrydale.errors import (
    DEADLINE_PASSED,
    OUTCOME_UNKNOWN,
    InvariantError,
    Problem,
    ProblemError,
    problem,
)
from gooseberrydale.request.cancel import cancel, confirm_not_run
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.exchange import DeadlinePassed, Exchange, ExchangeLost
from gooseberrydale.request.job import Events, Head, Job, Part
from gooseberrydale.request.reassembly import (
    DONE_EVENT,
    Broken,
    Deliver,
    Finished,
    NeedAttach,
    Reassembly,
    Start,
)
from gooseberrydale.request.retry import (
    Attach,
    Cause,
    Confirm,
    Fail,
    Outcome,
    Resume,
    Retry,
    next_step,
)
from gooseberrydale.request.rewrite import Rewriter
from gooseberrydale.request.routing import Choice, RouteReq

STATUS_OK = 200
COME_BACK_S = 1.0
CONFIRM_AT_DEADLINE_S = 0.25
RESUME_WAIT_S = 3.0
RESUME_POLL_S = 0.05
UNSTREAMED_ANSWER_S = 300.0
"""Time for the rest of a completion that is not streamed, after its deadline."""


class Runner:
    """Runs one :class:`Job`; use ``answer`` once, within ``aclosing``."""

    def __init__(self, deps: Deps, job: Job) -> None:
        self._deps = deps
        self._job = job
        self._rewriter = Rewriter(job.request_id, job.profile.name)
        self._reassembly = Reassembly(job.request_id)
        self._choice: Choice | None = None
        self._exchange: Exchange | None = None
        self._attempt = 0
        self._accepted = False
        self._may_have_run = False
        self._tried: dict[str, str] = {}
        self._last_problem: Problem | None = None
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
        self._deps.budget.deposit(self._now())
        try:
            while not self._whole:
                for part in await self._step():
                    yield part
        except DeadlinePassed:
            raise ProblemError(await self._deadline_problem()) from None
        finally:
            self._release()

    async def _step(self) -> list[Part]:
        """Go on by one frame, or deal with one failure."""
        try:
            if self._exchange is None:
                await self._start()
            assert self._exchange is not None
            frame = await self._exchange.next(self._until())
        except ExchangeLost as exc:
            logger.info("attempt of {} lost: {}", self._job.request_id, exc)
            await self._decide(self._outcome(exc.cause))
            return []
        self._learn(frame)
        return await self._act(frame)

    async def _act(self, frame: Frame) -> list[Part]:
        parts: list[Part] = []
        for action in self._reassembly.feed(frame):
            match action:
                case Start():
                    streamed = self._job.stream and action.status == STATUS_OK
                    self._head = Head(action.status, action.headers, streamed)
                case Deliver():
                    parts += self._deliver(action)
                case Finished():
                    parts += self._finish()
                case NeedAttach():
                    await self._decide(self._outcome(Cause.GAP))
                case Broken():
                    cause = Cause.REFUSED if action.refused else Cause.FAILED
                    await self._decide(self._outcome(cause, action.problem))
        return parts

    def _deliver(self, action: Deliver) -> list[Part]:
        if not self._is_streamed:
            self._held.extend(action.events)
            return []
        parts = self._first_parts()
        events = [e for e in action.events if e.strip() != DONE_EVENT]
        texts = tuple(self._rewriter.event(event) for event in events)
        parts.append(self._events(action.offset, texts))
        return parts

    def _finish(self) -> list[Part]:
        self._whole = True
        parts = self._first_parts()
        if not self._is_streamed:
            body = b"".join(self._held)
            if self._job.is_completion:
                body = self._rewriter.body(body)
            parts.append(self._events(0, (body,)))
        return parts

    def _first_parts(self) -> list[Part]:
        if self._given:
            return []
        if self._head is None:
            raise InvariantError(f"{self._job.request_id} has an answer but no head")
        self._given = True
        return [self._head]

    def _events(self, offset: int, events: tuple[bytes, ...]) -> Events:
        assert self._exchange is not None
        record = self._exchange.upstream
        return Events(record.name, record.incarnation, offset, events)

    @property
    def _is_streamed(self) -> bool:
        return self._head is not None and self._head.streamed

    def _learn(self, frame: Frame) -> None:
        assert self._exchange is not None and self._choice is not None
        if not self._exchange.is_current(frame):
            return
        if not isinstance(frame, Heartbeat) and frame.attempt != self._attempt:
            return
        self._deps.policy.observe(self._choice, frame, self._now())
        if isinstance(frame, Accepted):
            self._accepted = True
        if isinstance(frame, Accepted | Refused):
            self._deps.config_sync.notice(self._choice.record, frame.cfg_revision)

    async def _start(self) -> None:
        """Begin another attempt on an upstream that was not tried yet."""
        self._choice = await self._choose()
        record = self._choice.record
        self._tried[record.name] = record.incarnation
        self._attempt += 1
        self._accepted = False
        if not self._given:
            self._head = None
            self._held.clear()
            self._reassembly = Reassembly(self._job.request_id)
        first_offset = self._reassembly.begin(self._attempt, record.incarnation)
        self._exchange = Exchange(
            self._deps.pool,
            record,
            self._job.request_id,
            self._job.workspace,
            self._deps.cfg.silence_s,
        )
        req = self._dispatch_req(record.incarnation, first_offset)
        await self._exchange.dispatch(req, self._until())
        self._deps.policy.dispatched(self._choice, self._now())

    def _dispatch_req(self, incarnation: str, first_offset: int) -> DispatchReq:
        emitted = self._reassembly.emitted_text() if first_offset else ""
        return DispatchReq(
            request_id=self._job.request_id,
            attempt=self._attempt,
            incarnation=incarnation,
            workspace=self._job.workspace,
            profile=self._job.profile.name,
            method=self._job.method,
            path=self._job.path,
            body=self._job.body,
            headers=self._job.headers,
            stream=self._job.stream,
            repeatable=self._job.profile.repeatable,
            deadline_s=max(self._left_s(), 0.0),
            pieces=self._job.pieces,
            cfg_revision=self._deps.store.revision,
            emitted=emitted or "",
            first_offset=first_offset,
        )

    async def _choose(self) -> Choice:
        """Choose an upstream; a stream that broke off waits a moment for one."""
        until = self._now() + RESUME_WAIT_S
        while True:
            now = self._now()
            upstreams = self._deps.directory.ready(self._job.profile.pool, now)
            found = self._deps.policy.choose(self._route_req(), upstreams, now)
            if not isinstance(found, Err):
                return found.ok_value
            if not self._given or now >= until:
                raise ProblemError(self._last_problem or found.err_value)
            self._tried.clear()
            await asyncio.sleep(RESUME_POLL_S)

    def _route_req(self) -> RouteReq:
        now = self._now()
        leaving = self._deps.store.config.leaving
        tried = set()
        for name, incarnation in self._tried.items():
            record = self._deps.directory.get(name, now)
            if record is None or record.incarnation == incarnation:
                tried.add(name)
        return RouteReq(
            workspace=self._job.workspace,
            profile=self._job.profile,
            pieces=self._job.pieces,
            deadline_s=self._left_s(),
            zone=self._deps.node.zone,
            region=self._deps.node.region,
            excluded=leaving | tried,
        )

    def _outcome(self, cause: Cause, why: Problem | None = None) -> Outcome:
        assert self._exchange is not None
        text = self._reassembly.emitted_text() if self._given else ""
        return Outcome(
            cause=cause,
            attempt=self._attempt,
            accepted=self._accepted,
            delivered=self._reassembly.next_offset if self._given else 0,
            problem=why,
            attach_tried=self._exchange.attach_tried,
            resumable=text is not None and self._rewriter.resumable,
            earlier_may_have_run=self._may_have_run,
        )

    async def _decide(self, outcome: Outcome) -> None:
        """Carry out what the end of an attempt calls for."""
        assert self._exchange is not None and self._choice is not None
        if outcome.cause in (Cause.LOST, Cause.NOT_SENT, Cause.SILENT):
            self._deps.policy.lost(self._choice, self._now())
        step = next_step(
            outcome,
            repeatable=self._job.profile.repeatable,
            budget=self._deps.budget,
            left_s=self._left_s(),
            now=self._now(),
        )
        match step:
            case Attach():
                self._exchange.attach(self._reassembly.next_offset)
                self._reassembly.attached()
                self._deps.counters.attached += 1
            case Confirm():
                await self._decide(await self._confirm(outcome))
            case Retry() | Resume():
                self._may_have_run = step.may_have_run
                self._last_problem = outcome.problem
                self._leave(outcome.cause)
                self._deps.counters.retried += 1
            case Fail():
                self._leave(outcome.cause)
                self._fail(step.problem)

    def _fail(self, why: Problem) -> None:
        """End the request, unless all that is missing is the end marker."""
        if self._given and self._rewriter.finished and not self._job.wants_usage:
            self._whole = True
            return
        if why.not_run is not True and not self._job.profile.repeatable:
            why = replace(why, retry_after_s=None)
        raise ProblemError(why)

    def _leave(self, cause: Cause) -> None:
        """Give up the attempt; its sidecar hears of it if it may still run."""
        if cause not in (Cause.NOT_SENT, Cause.REFUSED, Cause.TOMBSTONED):
            self._release()
        self._exchange = None

    async def _confirm(self, outcome: Outcome) -> Outcome:
        assert self._exchange is not None
        timeout_s = self._deps.cfg.silence_s
        if await self._confirm_not_run(self._exchange, timeout_s):
            return replace(outcome, cause=Cause.TOMBSTONED, problem=None)
        return replace(outcome, cancel_tried=True)

    async def _confirm_not_run(self, exchange: Exchange, timeout_s: float) -> bool:
        exchange.stop()
        req = self._cancel_req(exchange)
        return await confirm_not_run(self._deps.pool, exchange.upstream, req, timeout_s)

    def _release(self) -> None:
        """Drop the call, and cancel at the sidecar what nobody waits for."""
        exchange = self._exchange
        if exchange is None or self._whole:
            return
        exchange.stop()
        self._exchange = None
        if self._handed_over or not exchange.sent:
            return
        work = cancel(
            self._deps.pool,
            exchange.upstream,
            self._cancel_req(exchange),
            self._deps.cfg.silence_s,
        )
        self._deps.background.spawn(work)

    def _cancel_req(self, exchange: Exchange) -> CancelReq:
        return CancelReq(
            request_id=self._job.request_id,
            attempt=self._attempt,
            incarnation=exchange.upstream.incarnation,
            workspace=self._job.workspace,
        )

    async def _deadline_problem(self) -> Problem:
        exchange = self._exchange
        if exchange is None or not exchange.sent:
            not_run = None if self._may_have_run else True
            return problem(DEADLINE_PASSED, not_run=not_run, retry_after_s=COME_BACK_S)
        if self._job.profile.repeatable:
            return problem(DEADLINE_PASSED, not_run=None, retry_after_s=COME_BACK_S)
        if await self._confirm_not_run(exchange, CONFIRM_AT_DEADLINE_S):
            return problem(DEADLINE_PASSED, retry_after_s=COME_BACK_S)
        return problem(OUTCOME_UNKNOWN, not_run=None)

    def _until(self) -> float | None:
        """Loop time until which the next frame is waited for."""
        if self._given:
            return None
        if self._job.stream or not self._job.is_completion:
            return self._deadline
        return self._deadline + UNSTREAMED_ANSWER_S

    def _left_s(self) -> float:
        return self._deadline - self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
