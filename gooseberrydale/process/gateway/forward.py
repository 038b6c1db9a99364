"""Takes one request through upstreams until its caller has an answer.

Lives for one request.  It chooses an upstream, has the request sent, and decides after
each end without a whole answer whether another upstream gets it.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import (
    ENDED_UPSTREAMS,
    ENDS_UPSTREAMS,
    NO_ROOM,
    NO_UPSTREAM,
    OUTCOME_UNKNOWN,
    problem,
)
from gooseberrydale.log_events import RequestQuarantined, SendEnded, StreamMoved, emit
from gooseberrydale.process.gateway.answer import CallerAnswer
from gooseberrydale.process.gateway.assignment import Assignment
from gooseberrydale.process.gateway.measures import Measures
from gooseberrydale.process.gateway.placing import (
    NoRoomError,
    Placing,
    QuarantinedError,
)
from gooseberrydale.process.gateway.send import Sender, SendParts
from gooseberrydale.process.gateway.terms import TermsMaker
from gooseberrydale.process.quota_charge import QuotaCharge
from gooseberrydale.request.attempt_end import (
    End,
    GiveUp,
    PassOn,
    SendAgain,
    Sends,
    after_end,
)
from gooseberrydale.request.comeback import no_room_s, without_upstream_s
from gooseberrydale.request.fingerprint import shown
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.retry_window import RetryWindow

MOVES_KEEP_PART = 0.5
"""Part of the retries that moving streams to free their upstream leaves to requests
that would fail without one: two dead engines of six end some hundred streams at once,
as many as a change of weights has moved in the seconds before."""

MS_PER_S = 1_000.0


class BrokenAnswerError(Exception):
    """The answer has begun and can't be made whole; the connection is closed."""


class Forward:
    """One request on its way; ``run`` returns once the caller has its answer.

    ``outcome`` and ``choices`` tell afterwards what became of it, and why;
    ``chosen_at`` is when the first upstream was chosen.
    """

    def __init__(
        self,
        job: Assignment,
        answer: CallerAnswer,
        parts: SendParts,
        terms: TermsMaker,
        budget: RetryWindow,
        measures: Measures,
        charge: QuotaCharge,
    ) -> None:
        self._job = job
        self._measures = measures
        self._answer = answer
        self._upstreams = parts.upstreams
        self._terms = terms
        self._budget = budget
        self._sender = Sender(job, answer, parts, self._may_move, charge)
        self._placing = Placing(job, parts.upstreams, parts.learned)
        self.choices: list[Candidate] = []
        self.chosen_at = 0.0
        self.outcome = "unanswered"

    async def run(self) -> None:
        """Serve the request; raises :class:`BrokenAnswerError` if its answer breaks."""
        self._budget.deposit(_now())
        while True:
            try:
                placed = await self._placing.place()
            except NoRoomError as exc:
                await self._refuse_for_now(exc.turn_s)
                return
            except QuarantinedError:
                await self._refuse_quarantined()
                return
            if placed is None:
                await self._without_upstream()
                return
            end = await self._send(placed.record, placed.chosen)
            if end is None:
                self.outcome = "answered"
                return
            if not await self._again(end, others=placed.others):
                return

    async def _refuse_quarantined(self) -> None:
        """Say at once, and for good, that the request is sent nowhere any more."""
        digest = shown(self._job.fingerprint)
        ended = self._upstreams.ended_incarnations.blamed_for(self._job.fingerprint)
        emit(RequestQuarantined(self._job.call.request_id, digest, list(ended)))
        ran = self._sender.runs > 0
        kind = ENDED_UPSTREAMS if ran else ENDS_UPSTREAMS
        self.outcome = kind.code
        if self._answer.started:
            raise BrokenAnswerError
        not_run = None if ran else True
        why = problem(kind, not_run=not_run, count=len(ended), digest=digest)
        await self._answer.refuse(why)

    async def _send(self, record: UpstreamRecord, chosen: Candidate) -> End | None:
        self.choices.append(chosen)
        if not self.chosen_at:
            self.chosen_at = _now()
            held_s = self.chosen_at - self._job.began_at
            self._measures.held(self._job.route.name, held_s)
        work = self._placing.demand.work_at(chosen)
        terms = self._terms.make(
            self._job,
            record,
            late=self._placing.demand.spare_only,
            last_event_id=self._sender.last_event_id,
        )
        return await self._sender.send(record, terms, work)

    def _may_move(self, record: UpstreamRecord) -> bool:
        """Whether a stream leaves an upstream that carries an order out.

        The order waits for the end of the runs there.  Takes a retry if so.
        """
        if self._sender.runs >= self._job.route.max_runs:
            return False
        if not self._upstreams.is_changing(record, _now()):
            return False
        if not self._placing.any_usable():
            return False
        return self._budget.spend(_now(), keep_part=MOVES_KEEP_PART)

    async def _without_upstream(self) -> None:
        self.outcome = "no_upstream"
        if await self._ends_as_sent():
            return
        after_s = without_upstream_s(self._job.left_s())
        pool = self._job.pool.name
        why = problem(NO_UPSTREAM, pool=pool, retry_after_s=after_s)
        await self._answer.refuse(why)

    async def _ends_as_sent(self) -> bool:
        """Whether the request may have run; its caller then gets what is known of it.

        Raises :class:`BrokenAnswerError` if the answer has begun.
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

    async def _refuse_for_now(self, turn_s: float | None) -> None:
        """The request is not kept until its caller gives up; ``turn_s`` is when an
        upstream takes the next one, if that is known."""
        self.outcome = NO_ROOM.code
        if await self._ends_as_sent():
            return
        after_s = no_room_s(self._job.left_s(), self._upstreams.rng, turn_s)
        pool = self._job.pool.name
        await self._answer.refuse(problem(NO_ROOM, pool=pool, retry_after_s=after_s))

    async def _again(self, end: End, *, others: bool) -> bool:
        """Carry out what an end calls for; say whether to send again."""
        if end is End.MOVED:
            last = self._sender.last_event_id or ""
            emit(StreamMoved(self._job.call.request_id, self._placing.tried[-1], last))
            return True
        step = after_end(
            Sends(len(self._placing.tried), self._sender.runs, end),
            repeatable=self._job.repeatable,
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
                upstream=self._placing.tried[-1],
                end=end.name.lower(),
                next=type(step).__name__,
                others=others,
                left_ms=round(self._job.left_s() * MS_PER_S, 1),
                runs=self._sender.runs,
                retries=round(self._budget.left, 1),
                digest=shown(self._job.fingerprint),
            )
        )
        if isinstance(step, SendAgain):
            self._measures.sent_again(end.name.lower())
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

    def describe(self) -> list[str]:
        """The choices made, each with what decided it, for the log."""
        return [
            f"{one.name} rank={one.home_rank} requests={one.load.requests:.1f}"
            f" prefill={one.load.prefill_tokens:.0f} kv={one.load.kv_tokens:.0f}"
            f" errors={one.error_share:.2f} usable={one.usable}"
            f" stored={one.stored} old={one.old_for_s:.1f}"
            for one in self.choices
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()
