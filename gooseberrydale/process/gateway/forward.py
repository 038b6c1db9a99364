"""Forwards one request to upstreams until its caller has an answer.

There is one forwarder per request.  It chooses an upstream, has the request sent, and
decides after each send without a complete answer whether to try another upstream.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import (
    NO_ROOM,
    NO_UPSTREAM,
    OUTCOME_UNKNOWN,
    SOFTWARE_GONE,
    problem,
)
from gooseberrydale.log_events import RequestQuarantined, SendEnded, emit
from gooseberrydale.process.gateway.answer import CallerAnswer
from gooseberrydale.process.gateway.placer import (
    NoCapacityError,
    Placer,
    QuarantinedError,
)
from gooseberrydale.process.gateway.request_metrics import RequestMetrics
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.send import SendDeps, Sender
from gooseberrydale.process.gateway.terms import TermsMaker
from gooseberrydale.process.quota_charge import QuotaCharge
from gooseberrydale.request.attempt_end import (
    End,
    GiveUp,
    PassOn,
    SendAgain,
    SendHistory,
    decide_next_step,
)
from gooseberrydale.request.capacity_decision import CapacityDecision
from gooseberrydale.request.fingerprint import fingerprint_text
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.quarantine import Quarantine
from gooseberrydale.request.retry_after import after_no_capacity_s, without_upstream_s
from gooseberrydale.request.retry_window import RetryWindow
from gooseberrydale.version.origins.origin import software_gone

MS_PER_S = 1_000.0


class BrokenAnswerError(Exception):
    """The answer was started but can't be completed, so its connection is closed."""


class Forwarder:
    """Forwards one request; ``run`` returns once the caller has its answer.

    Afterwards ``outcome`` names the result, ``choices`` holds the upstreams that were
    chosen, and ``chosen_at`` is the time at which the first one was.
    """

    def __init__(
        self,
        job: RoutedRequest,
        answer: CallerAnswer,
        deps: SendDeps,
        terms: TermsMaker,
        budget: RetryWindow,
        metrics: RequestMetrics,
        charge: QuotaCharge,
    ) -> None:
        self._job = job
        self._metrics = metrics
        self._answer = answer
        self._upstreams = deps.upstreams
        self._terms = terms
        self._budget = budget
        self._sender = Sender(job, answer, deps, charge)
        self._placer = Placer(job, deps.upstreams, deps.stats)
        self._placer.origin = job.origin
        self.choices: list[Candidate] = []
        self.chosen_at = 0.0
        self.outcome = "unanswered"

    async def run(self) -> None:
        """Serve the request; raise :class:`BrokenAnswerError` if the answer breaks."""
        self._budget.deposit(_now())
        while True:
            try:
                placement = await self._placer.place()
            except NoCapacityError as exc:
                await self._refuse_no_capacity(exc)
                return
            except QuarantinedError as exc:
                await self._refuse_quarantined(exc.why)
                return
            if placement is None:
                await self._refuse_no_upstream()
                return
            end = await self._send(placement.record, placement.chosen)
            if end is None:
                self.outcome = "answered"
                return
            if not await self._handle_end(end):
                return

    async def _refuse_quarantined(self, why: Quarantine) -> None:
        """Refuse a quarantined request, which is not sent to any upstream again."""
        emit(RequestQuarantined(self._job.call.request_id, why.digest, list(why.ended)))
        refusal = why.problem(None if self._sender.runs > 0 else True)
        self.outcome = refusal.code
        if self._answer.started:
            raise BrokenAnswerError
        await self._answer.refuse(refusal)

    async def _send(self, record: UpstreamRecord, chosen: Candidate) -> End | None:
        self.choices.append(chosen)
        if not self.chosen_at:
            self.chosen_at = _now()
            held_s = self.chosen_at - self._job.arrived_at
            self._metrics.held(self._job.route.name, held_s)
        work = self._placer.demand.work_at(chosen)
        terms = self._terms.make(
            self._job,
            record,
            late=self._placer.demand.spare_only,
            last_event_id=self._sender.last_event_id,
        )
        prefill = self._placer.demand.prefill_at(chosen)
        return await self._sender.send(record, terms, work, prefill)

    async def _refuse_no_upstream(self) -> None:
        self.outcome = "no_upstream"
        if await self._answer_if_sent():
            return
        pool = self._job.pool.name
        origin = self._placer.origin
        if origin is not None and not self._placer.has_eligible():
            self.outcome = SOFTWARE_GONE.code
            await self._answer.refuse(software_gone(origin))
            return
        after_s = without_upstream_s(self._job.left_s())
        why = problem(NO_UPSTREAM, pool=pool, retry_after_s=after_s)
        await self._answer.refuse(why)

    async def _answer_if_sent(self) -> bool:
        """Answer the caller and return True if the request may have run.

        The answer is the upstream's failure, or that the outcome is unknown.  Raises
        :class:`BrokenAnswerError` if an answer was already started.
        """
        if self._answer.started:
            raise BrokenAnswerError
        if not self._sender.runs:
            return False
        if self._sender.failure is not None:
            head, body = self._sender.failure
            await self._answer.whole(head.status, head.headers, body)
        else:
            await self._answer.refuse(problem(OUTCOME_UNKNOWN, not_run=None))
        return True

    async def _refuse_no_capacity(self, exc: NoCapacityError) -> None:
        """Refuse the request with a time to retry instead of holding it for long."""
        self.outcome = NO_ROOM.code
        if await self._answer_if_sent():
            return
        after_s = exc.after_s
        if after_s is None:
            after_s = after_no_capacity_s(
                self._job.left_s(), self._upstreams.rng, exc.permit_s
            )
        pool = self._job.pool.name
        await self._answer.refuse(problem(NO_ROOM, pool=pool, retry_after_s=after_s))

    async def _handle_end(self, end: End) -> bool:
        """Handle a send that ended without an answer; return whether to send again."""
        self._placer.origin = self._sender.origin
        others = self._placer.has_others()
        step = decide_next_step(
            SendHistory(len(self._placer.tried), self._sender.runs, end),
            repeatable=self._job.repeatable and self._sender.can_resume,
            max_runs=self._job.route.max_runs,
            left_s=self._job.left_s(),
            others=others,
            pool=self._job.pool.name,
            budget=self._budget,
            now=_now(),
        )
        emit(
            SendEnded(
                request_id=self._job.call.request_id,
                upstream=self._placer.tried[-1],
                end=end.name.lower(),
                next=type(step).__name__,
                others=others,
                left_ms=round(self._job.left_s() * MS_PER_S, 1),
                runs=self._sender.runs,
                retries=round(self._budget.left, 1),
                digest=fingerprint_text(self._job.fingerprint),
                reason=self._sender.lost_reason if end is End.LOST else "",
                retries_spent=self._budget.spent,
                retries_allowed=round(self._budget.allowed, 1),
            )
        )
        if isinstance(step, SendAgain):
            self._metrics.retried(end.name.lower())
            return True
        self.outcome = end.name.lower()
        if self._answer.started:
            raise BrokenAnswerError
        match step:
            case PassOn() if self._sender.failure is not None:
                head, body = self._sender.failure
                await self._answer.whole(head.status, head.headers, body)
            case GiveUp(why):
                await self._answer.refuse(why)
        return False

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self._sender.runs > 0

    @property
    def decision(self) -> CapacityDecision:
        """The values that decided while requests competed for capacity."""
        return self._placer.decision

    @property
    def framing(self) -> str:
        """What marks the end of the upstream's last answer; empty if there was none."""
        return self._sender.framing

    @property
    def inside_event(self) -> bool:
        """Whether the upstream's last answer ended in the middle of an event."""
        return self._sender.inside_event

    def describe(self) -> list[str]:
        """Describe each choice and the values it was based on, for the log."""
        return [
            f"{choice.name} rank={choice.preference_rank}"
            f" requests={choice.load.requests:.1f}"
            f" prefill={choice.load.prefill_tokens:.0f} kv={choice.load.kv_tokens:.0f}"
            f" errors={choice.error_rate:.2f} usable={choice.usable}"
            f" stored={choice.stored} weights={choice.weights or '-'}"
            f" old={choice.outdated_for_s:.1f}"
            f" software={choice.software or '-'}"
            for choice in self.choices
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()
