"""Runs one request, from the choice of an upstream to the complete answer.

There is one runner per request.  The pure modules of this package make the decisions;
the runner reads frames, carries out the decisions, and sends a cancel to the sidecar
when the request is abandoned.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import replace

from loguru import logger

from gooseberrydale.connection.mesh import UpstreamRecord
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
    Problem,
    ProblemError,
    problem,
)
from gooseberrydale.log_events import RequestQuarantined, emit
from gooseberrydale.process.quota_charge import QuotaCharge, refuse_over_quota
from gooseberrydale.process.quota_client import QuotaDemand
from gooseberrydale.request.cancel import cancel, confirm_not_run
from gooseberrydale.request.chooser import CONNECTION_CAUSES, Chooser
from gooseberrydale.request.claim_gate import AttemptGate
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.exchange import DeadlinePassed, Exchange, ExchangeLost
from gooseberrydale.request.job import Job, Part, ReaderReplaced
from gooseberrydale.request.parts import PartBuilder
from gooseberrydale.request.quarantine import quarantine
from gooseberrydale.request.reassembly import (
    AttemptFailed,
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
from gooseberrydale.request.retry_after import REMAINING_TIME_FRACTION
from gooseberrydale.request.routing import Choice

NOT_RUN_CAUSES = frozenset({Cause.REFUSED, Cause.TOMBSTONED})
"""Causes after which the upstream is known not to run the request."""

RETRY_AFTER_S = 1.0
CONFIRM_TIMEOUT_S = 0.25
FIRST_SERVER_ERROR_STATUS = 500
UNSTREAMED_GRACE_S = 300.0
"""Time after the deadline in which an unstreamed completion may still finish."""


class Runner:
    """Runs one :class:`Job`.  Call ``answer`` once and wrap it in ``aclosing``."""

    def __init__(self, deps: Deps, job: Job, gate: AttemptGate) -> None:
        self._deps = deps
        self._job = job
        self._gate = gate
        profile = job.profile.name if job.is_completion else ""
        self._parts = PartBuilder(
            job.request_id, profile, job.stream, deps.answers.begin()
        )
        self._reassembly = self._make_reassembly()
        self._choice: Choice | None = None
        self._exchange: Exchange | None = None
        self._attempt = 0
        self._accepted = False
        self._upstream_answered = False
        self._has_begun = False
        self._record_seq = 0
        self._may_have_run = False
        self._complete = False
        self._handed_over = False
        self._deadline = self._now() + job.profile.deadline_s
        self._chooser = Chooser(deps, job, self._left_s)
        self._charge = QuotaCharge(deps.quotas, self._want())

    def hand_over(self) -> None:
        """Let the sidecar keep running the attempt after ``answer`` is closed."""
        self._handed_over = True

    async def answer(self) -> AsyncGenerator[Part, None]:
        """Yield the head and events of the answer; raises :class:`ProblemError`.

        The generator returns without an error only if the answer is complete.
        """
        self._deps.budget.deposit(self._now())
        try:
            await self._admit()
            while not self._complete:
                for part in await self._step():
                    yield part
        except DeadlinePassed:
            raise ProblemError(await self._deadline_problem()) from None
        finally:
            self._close_exchange()
            self._parts.close()
            self._reassembly.close()
            self._charge.close()
            self._count_dropped_frames()

    async def _admit(self) -> None:
        """Raise :class:`ProblemError` if the workspace is over its quota."""
        refusal = await self._charge.admit()
        if refusal is not None:
            raise ProblemError(
                refuse_over_quota(self._job.request_id, self._charge, refusal)
            )

    def _want(self) -> QuotaDemand | None:
        """Return what the request takes from its workspace's quota, if it has one."""
        job = self._job
        workspace = self._deps.store.config.workspaces.get(job.workspace)
        quota = None if workspace is None else workspace.limit
        if quota is None:
            return None
        tokens = None
        if job.is_completion:
            tokens = sum(piece.tokens for piece in job.pieces) + job.max_new_tokens
        return QuotaDemand(
            workspace=job.workspace,
            quota=quota,
            cost=quota.cost(tokens),
            request=job.fingerprint,
            wait_limit_s=max(0.0, self._left_s()) * REMAINING_TIME_FRACTION,
        )

    async def _step(self) -> list[Part]:
        """Handle the next frame, or the failure that came instead of it."""
        try:
            if self._exchange is None:
                self._exchange = await self._start()
                await self._send(self._exchange)
            frame = await self._exchange.next(self._frame_deadline())
        except ExchangeLost as exc:
            logger.info("attempt of request {} lost: {}", self._job.request_id, exc)
            if exc.replaced and self._may_have_other_reader:
                self._handed_over = True
                raise ReaderReplaced from None
            await self._decide(self._outcome(exc.cause))
            return []
        self._observe(frame)
        return await self._handle_frame(frame)

    @property
    def _may_have_other_reader(self) -> bool:
        """Whether another request may have taken over reading this answer."""
        return self._parts.delivered or bool(self._job.idempotency_key)

    async def _handle_frame(self, frame: Frame) -> list[Part]:
        parts: list[Part] = []
        for action in self._reassembly.feed(frame):
            match action:
                case Start():
                    self._parts.start(action)
                case Deliver():
                    parts += self._deliver(action)
                    self._record_origin()
                    self._record_begun()
                case Finished():
                    parts += self._parts.finish()
                    self._complete = True
                    self._record_answered()
                case NeedAttach():
                    await self._decide(self._outcome(Cause.GAP))
                case AttemptFailed():
                    cause = Cause.REFUSED if action.refused else Cause.FAILED
                    await self._decide(self._outcome(cause, action.problem))
        return parts

    def _make_reassembly(self) -> Reassembly:
        # Only a stream is continued from its text.
        held = self._deps.answers.begin() if self._job.stream else None
        return Reassembly(self._job.request_id, held=held)

    def _deliver(self, action: Deliver) -> list[Part]:
        try:
            return self._parts.deliver(action)
        except ProblemError as exc:
            # Nobody can read the rest.
            self._handed_over = False
            self._fail(exc.problem)
            raise

    def _record_origin(self) -> None:
        if self._parts.delivered and self._choice is not None:
            self._chooser.began_at(self._choice.record)

    def _record_begun(self) -> None:
        """Record once that an upstream began to answer and did not end by it."""
        if self._upstream_answered and not self._has_begun:
            self._has_begun = True
            self._deps.ended_incarnations.begun(self._job.parts, self._now())

    def _record_answered(self) -> None:
        if self._upstream_answered:
            self._deps.ended_incarnations.answered(self._job.fingerprint, self._now())

    def _observe(self, frame: Frame) -> None:
        assert self._exchange is not None and self._choice is not None
        if not self._exchange.is_current(frame):
            return
        if not isinstance(frame, Heartbeat) and frame.attempt != self._attempt:
            return
        self._deps.policy.observe(self._choice, frame, self._now())
        if isinstance(frame, Accepted):
            self._accepted = True
            self._upstream_answered = frame.status < FIRST_SERVER_ERROR_STATUS
            tally = self._deps.instruments.tally
            tally.prompt_tokens += sum(piece.tokens for piece in self._job.pieces)
            tally.cached_tokens += frame.cached_tokens
        if isinstance(frame, Accepted | Refused):
            self._deps.config_sync.notice(self._choice.record, frame.cfg_revision)

    async def _start(self) -> Exchange:
        """Choose an upstream and begin the next attempt on it."""
        self._check_quarantined()
        self._choice = await self._chooser.choose(
            given=self._parts.delivered, may_have_run=self._may_have_run
        )
        record = self._newest_record(self._choice.record)
        self._record_seq = record.seq
        await self._gate.admit(record, self._attempt + 1)
        self._attempt += 1
        self._accepted = False
        self._parts.begin(record.name, record.incarnation)
        if not self._parts.delivered:
            self._count_dropped_frames()
            self._reassembly.close()
            self._reassembly = self._make_reassembly()
        self._reassembly.begin(self._attempt, record.incarnation)
        return Exchange(
            self._deps.pool,
            record,
            self._job.request_id,
            self._attempt,
            self._job.workspace,
            self._deps.cfg.silence_s,
        )

    def _check_quarantined(self) -> None:
        """Raise :class:`ProblemError` if this request is quarantined.

        Requests are quarantined when upstreams crash while they run them.  This is
        checked before each attempt, since the same request may also have been sent
        under another request id and through another entry meanwhile.
        """
        not_run = None if self._may_have_run else True
        if self._parts.delivered:
            not_run = False
        why = quarantine(
            self._deps.ended_incarnations,
            self._job.fingerprint,
            self._job.parts,
        )
        if why is None:
            return
        emit(RequestQuarantined(self._job.request_id, why.digest, list(why.ended)))
        raise ProblemError(why.problem(not_run))

    def _newest_record(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return the newest announcement of the same incarnation.

        The chosen record may be older.
        """
        newest = self._deps.directory.get(record.name, self._now())
        if newest is None or newest.incarnation != record.incarnation:
            return record
        return newest

    async def _send(self, exchange: Exchange) -> None:
        assert self._choice is not None
        first_offset = self._reassembly.next_offset
        emitted = self._reassembly.emitted_text() if first_offset else ""
        req = DispatchReq(
            request_id=self._job.request_id,
            attempt=self._attempt,
            incarnation=exchange.sidecar.incarnation,
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
            claim_key=self._job.idempotency_key,
            record_seq=self._record_seq,
            parts=self._job.parts,
        )
        await exchange.dispatch(req, self._frame_deadline())
        self._charge.record_sent()
        self._deps.policy.dispatched(self._choice, self._now())

    def _outcome(self, cause: Cause, why: Problem | None = None) -> Outcome:
        assert self._exchange is not None
        delivered = self._parts.delivered
        return Outcome(
            cause=cause,
            attempt=self._attempt,
            accepted=self._accepted,
            delivered=self._reassembly.next_offset if delivered else 0,
            problem=why,
            attach_tried=self._exchange.attach_exhausted,
            resumable=self._can_resume(),
            earlier_may_have_run=self._may_have_run,
        )

    def _can_resume(self) -> bool:
        if not self._parts.delivered:
            return True
        if not self._job.single_text or not self._parts.resumable:
            return False
        return self._reassembly.emitted_text() is not None

    async def _decide(self, outcome: Outcome) -> None:
        """Decide what follows the end of an attempt, and do it."""
        assert self._exchange is not None and self._choice is not None
        if outcome.cause in (*CONNECTION_CAUSES, Cause.NOT_SENT):
            self._deps.policy.lost(self._choice, self._now())
        if outcome.cause in NOT_RUN_CAUSES and self._exchange.sent:
            self._charge.record_not_run()
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
                self._deps.instruments.attaches.add(1)
            case Confirm():
                await self._decide(await self._confirm(self._exchange, outcome))
            case Retry() | Resume():
                self._may_have_run = step.may_have_run
                self._chooser.failed(outcome.cause, outcome.problem)
                self._abandon(outcome.cause)
                self._deps.instruments.retries.add(1, {"cause": outcome.cause.value})
                if isinstance(step, Resume):
                    self._deps.instruments.resumes.add(1)
            case Fail():
                self._abandon(outcome.cause)
                self._fail(step.problem)

    def _fail(self, why: Problem) -> None:
        """End the request with ``why``.

        If only the end marker is missing, the answer counts as complete instead.
        """
        only_text_wanted = self._job.single_text and not self._job.wants_usage
        if self._parts.text_finished and only_text_wanted:
            self._complete = True
            return
        if why.not_run is not True and not self._job.profile.repeatable:
            why = replace(why, retry_after_s=None)
        raise ProblemError(why)

    def _abandon(self, cause: Cause) -> None:
        """Abandon the attempt, and cancel it at the sidecar if it may still run."""
        if cause in (Cause.REFUSED, Cause.FAILED, Cause.TOMBSTONED):
            assert self._exchange is not None
            self._exchange.stop()
            self._exchange = None
            return
        self._close_exchange()

    async def _confirm(self, exchange: Exchange, outcome: Outcome) -> Outcome:
        if await self._confirm_not_run(exchange, self._deps.cfg.silence_s):
            return replace(outcome, cause=Cause.TOMBSTONED, problem=None)
        return replace(outcome, cancel_tried=True)

    async def _confirm_not_run(self, exchange: Exchange, timeout_s: float) -> bool:
        req = self._cancel_req(exchange)
        return await confirm_not_run(self._deps.pool, exchange.sidecar, req, timeout_s)

    def _close_exchange(self) -> None:
        """Close the call and cancel the attempt, unless it has to continue."""
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        exchange.stop()
        if self._complete or self._handed_over or not exchange.sent:
            return
        work = cancel(
            self._deps.pool,
            exchange.sidecar,
            self._cancel_req(exchange),
            self._deps.cfg.silence_s,
        )
        self._deps.background.spawn(work)

    def _cancel_req(self, exchange: Exchange) -> CancelReq:
        return CancelReq(
            request_id=self._job.request_id,
            attempt=self._attempt,
            incarnation=exchange.sidecar.incarnation,
            workspace=self._job.workspace,
            record_seq=self._record_seq,
        )

    async def _deadline_problem(self) -> Problem:
        exchange = self._exchange
        if exchange is None or not exchange.sent:
            not_run = None if self._may_have_run else True
            return problem(
                DEADLINE_PASSED, not_run=not_run, retry_after_s=RETRY_AFTER_S
            )
        if self._job.profile.repeatable:
            return problem(DEADLINE_PASSED, not_run=None, retry_after_s=RETRY_AFTER_S)
        if await self._confirm_not_run(exchange, CONFIRM_TIMEOUT_S):
            return problem(DEADLINE_PASSED, retry_after_s=RETRY_AFTER_S)
        return problem(OUTCOME_UNKNOWN, not_run=None)

    def _count_dropped_frames(self) -> None:
        counts = self._reassembly.counts
        tally = self._deps.instruments.tally
        tally.dropped_late_frames += counts.mismatched + counts.late
        tally.dropped_duplicate_frames += counts.repeated_events

    def _frame_deadline(self) -> float | None:
        """Return the loop time at which to stop waiting for a frame, None if never."""
        if self._parts.delivered:
            return None
        if self._job.stream or not self._job.is_completion:
            return self._deadline
        return self._deadline + UNSTREAMED_GRACE_S

    def _left_s(self) -> float:
        return self._deadline - self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
