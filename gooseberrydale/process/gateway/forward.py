"""Takes one request to an upstream and its answer back.

Lives for one request.  It chooses an upstream, sends the request, and decides after
each end without a whole answer whether another upstream gets it.  A stream that may be
resumed goes on at another upstream within the same answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from gooseberrydale.connection.http_conn import HttpConn, ResponseHead
from gooseberrydale.connection.http_pool import HttpPool
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.sse import EventCutter, SseError
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.errors import NO_UPSTREAM, problem
from gooseberrydale.process.gateway.answer import HOP_HEADERS, CallerAnswer
from gooseberrydale.process.gateway.save_memory import SaveMemory
from gooseberrydale.process.gateway.upstreams import (
    Sought,
    Upstreams,
    cache_salt,
    demand_of,
    weights_version,
)
from gooseberrydale.request.attempt_end import (
    End,
    GiveUp,
    PassOn,
    SendAgain,
    Sends,
    after_end,
)
from gooseberrydale.request.comeback import without_upstream_s
from gooseberrydale.request.gateway_call import (
    AnswerHead,
    CallerCall,
    RawHeaders,
    Terms,
    Wire,
)
from gooseberrydale.request.placement import (
    Candidate,
    Demand,
    choose,
    own_s,
    queue_s,
)
from gooseberrydale.request.retry import RetryBudget
from gooseberrydale.request.timeliness import Goal, gives_way
from gooseberrydale.version.declared import KeyHolder, Pool, Route
from gooseberrydale.version.upstream_load import UpstreamLoad, Work

LAST_WORD_S = 0.05
"""How much longer than the request's time an answer is waited for: the upstream ends
by itself then, and can say that it did not run what still waits there."""

MOVES_KEEP = 1.0
"""Retries that stay in the budget when a stream is moved to free its upstream: those
of requests that would fail without them go first."""

HOLD_S = 0.8
"""A request waits this long for an upstream that takes work: a change of weights ends
in that time.  Callers would come back no sooner, and only once."""

HOLD_PART = 0.25
"""Part of the time that a request has left which it may wait; the rest is for its work
or for another try."""

HOLD_POLL_S = 0.02

LAST_RANK = 9
"""The lowest rank that engines know."""

GIVES_WAY_RANKS = 6
"""What a request that gives way loses in rank: more than declarations give."""

MAX_WHOLE_BYTES = 16 * 1024 * 1024
"""An answer that is collected before it goes out; services answer some kilobytes."""

UNSURE_STATUS = frozenset({408, 421, 429, 503})
"""Callers take these as "has not run"; without the upstream's word nobody knows."""

FIRST_SERVER_STATUS = 500


class _MoveStreamError(Exception):
    """The stream goes on at another upstream, as this one has to become free."""


class BrokenAnswerError(Exception):
    """The answer has begun and can't be made whole; the connection is closed."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """What is known of a request before it is sent anywhere.

    ``began_at`` and ``until`` are the times of the loop between which it lives.
    """

    call: CallerCall
    route: Route
    pool: Pool
    body: bytes
    began_at: float
    until: float
    workspace: KeyHolder | None


class Forward:
    """One request on its way; ``run`` returns once the caller has its answer."""

    def __init__(
        self,
        job: Assignment,
        answer: CallerAnswer,
        wire: Wire,
        upstreams: Upstreams,
        conns: HttpPool,
        budget: RetryBudget,
        saves: SaveMemory,
        work_changed: Callable[[], None],
    ) -> None:
        self._job = job
        self._answer = answer
        self._wire = wire
        self._upstreams = upstreams
        self._conns = conns
        self._budget = budget
        self._saves = saves
        self._work_changed = work_changed
        self._tried: list[str] = []
        self._runs = 0
        self._failure: tuple[AnswerHead, bytes] | None = None
        self._last_event_id: str | None = job.call.last_event_id
        self._prefilled = False
        self._gives_way = False
        self._demand: Demand = demand_of(job.call.prompt)
        self.choices: list[Candidate] = []
        self.outcome = "unanswered"

    @property
    def tried(self) -> list[str]:
        """The upstreams that the request was sent to, in order."""
        return self._tried

    def describe(self) -> list[str]:
        """The choices made, each with what decided it, for the log."""
        return [
            f"{one.name} rank={one.home_rank} requests={one.load.requests:.1f}"
            f" prefill={one.load.prefill_tokens:.0f} kv={one.load.kv_tokens:.0f}"
            f" errors={one.error_share:.2f} usable={one.usable}"
            f" stored={one.stored} old={one.old_for_s:.1f}"
            for one in self.choices
        ]

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again."""
        route = self._job.route
        return route.resumable if route.streamed else route.repeatable

    async def run(self) -> None:
        """Serve the request; raises :class:`BrokenAnswerError` if its answer breaks."""
        self._budget.deposit(_now())
        while True:
            candidates = await self._usable_candidates()
            chosen = choose([one for _, one in candidates], self._demand)
            if chosen is None:
                await self._without_upstream()
                return
            self._gives_way = self._must_give_way(chosen)
            record = next(r for r, one in candidates if one.name == chosen.name)
            self.choices.append(chosen)
            end = await self._send(record, chosen)
            if end is None:
                self.outcome = "answered"
                return
            if not await self._again(end, others=len(candidates) > 1):
                return

    async def _usable_candidates(self) -> list[tuple[UpstreamRecord, Candidate]]:
        """The candidates, waited for a little if none of them takes work."""
        until = _now() + min(HOLD_S, self._left_s() * HOLD_PART)
        candidates = self._candidates()
        while not any(one.usable for _, one in candidates) and _now() < until:
            await asyncio.sleep(HOLD_POLL_S)
            candidates = self._candidates()
        return candidates

    def _candidates(self) -> list[tuple[UpstreamRecord, Candidate]]:
        job = self._job
        sought = Sought(job.pool, job.call.prompt, self._scope(), self._tried)
        return self._upstreams.candidates(sought, _now())

    def _must_give_way(self, chosen: Candidate) -> bool:
        """Whether the request will be late there; one sent before goes on as it is."""
        if self._tried:
            return self._gives_way
        job = self._job
        goal = Goal(job.route.objective_s, self._priority())
        queued = queue_s(chosen, self._demand)
        waited_s = _now() - job.began_at
        return gives_way(queued, own_s(chosen, self._demand), waited_s, goal)

    def _engine_priority(self) -> int:
        """The rank among the requests at an engine, 0 first."""
        rank = self._priority()
        if self._gives_way:
            rank += GIVES_WAY_RANKS
        return min(rank, LAST_RANK)

    def _priority(self) -> int:
        holder = self._job.workspace
        if holder is not None and holder.priority is not None:
            return holder.priority
        return self._job.route.priority

    def _scope(self) -> str:
        holder = self._job.workspace
        return holder.name if holder is not None and holder.isolated else ""

    async def _without_upstream(self) -> None:
        self.outcome = "no_upstream"
        if self._answer.started:
            raise BrokenAnswerError
        why = problem(
            NO_UPSTREAM,
            not_run=None if self._runs else True,
            pool=self._job.pool.name,
            retry_after_s=without_upstream_s(self._left_s()),
        )
        await self._answer.refuse(why)

    async def _again(self, end: End, *, others: bool) -> bool:
        """Carry out what an end calls for; say whether to send again."""
        if end is End.MOVED:
            return True
        step = after_end(
            Sends(len(self._tried), self._runs, end),
            repeatable=self.repeatable,
            max_runs=self._job.route.max_runs,
            left_s=self._left_s(),
            others=others,
            pool=self._job.pool.name,
            budget=self._budget,
            now=_now(),
        )
        logger.bind(
            event="send_ended",
            request_id=self._job.call.request_id,
            upstream=self._tried[-1],
            end=end.name.lower(),
            next=type(step).__name__,
        ).info("send ended")
        if isinstance(step, SendAgain):
            return True
        self.outcome = end.name.lower()
        if self._answer.started:
            raise BrokenAnswerError
        match step:
            case PassOn() if self._failure is not None:
                head, body = self._failure
                await self._answer.whole(head.status, head.headers, body)
            case GiveUp(why):
                await self._answer.refuse(why)
        return False

    async def _send(self, record: UpstreamRecord, chosen: Candidate) -> End | None:
        """Send the request once; None if the caller has the whole answer."""
        load = self._upstreams.load_of(record.name)
        work = self._demand.work_at(chosen)
        if self._gives_way:
            # Nobody waits for its prompt, as others go first.
            work = replace(work, prefill_tokens=0)
        self._tried.append(record.name)
        self._prefilled = False
        load.began(work)
        self._work_changed()
        try:
            async with asyncio.timeout_at(self._job.until + LAST_WORD_S):
                return await self._exchange(record, load, work)
        except TimeoutError:
            return End.TIMED_OUT
        except _MoveStreamError:
            return End.MOVED
        finally:
            load.ended(work, prefilled=self._prefilled)
            self._work_changed()

    async def _exchange(
        self, record: UpstreamRecord, load: UpstreamLoad, work: Work
    ) -> End | None:
        sure = not self.repeatable
        try:
            conn = await self._conns.take(record.address, record.name, sure=sure)
        except UpstreamError:
            load.unreachable(_now())
            return End.NOT_SENT
        whole = False
        try:
            end = await self._use(conn, record, load, work)
            whole = True
            return end
        except UpstreamError as exc:
            if not exc.sent:
                return End.NOT_SENT
            load.unreachable(_now())
            return End.LOST
        finally:
            if whole:
                self._conns.give_back(record.address, record.name, conn)
            else:
                self._leave(conn)

    def _leave(self, conn: HttpConn) -> None:
        """Give up an answer; what must not run twice may still end by itself."""
        if self.repeatable or self._job.route.streamed or not conn.sent:
            conn.abort()
            return
        delay_s = max(0.0, self._left_s())
        asyncio.get_running_loop().call_later(delay_s, conn.abort)

    async def _use(
        self, conn: HttpConn, record: UpstreamRecord, load: UpstreamLoad, work: Work
    ) -> End | None:
        """Send on ``conn`` and read the answer; raises :class:`UpstreamError`."""
        call = self._job.call
        headers = self._wire.request_headers(call, self._terms(record))
        conn.send(_request_head(call, headers, len(self._job.body)), self._job.body)
        self._runs += 1
        raw = await conn.head(self._is_mine)
        head = self._wire.read_answer(raw.status, raw.headers)
        if head.load is not None:
            load.reported(head.load, _now())
        if head.not_run:
            self._runs -= 1
            await _read_whole(conn)
            gone = head.instance not in (None, record.name)
            self._upstreams.refused(record.name, _now(), gone=gone)
            return End.REFUSED
        if not head.ok:
            return await self._take_failure(conn, head, load)
        if not head.signed or head.encoded:
            raise UpstreamError("the answer is not the upstream's own", sent=True)
        if self._job.route.streamed:
            await self._pass_stream(conn, head, record, load, work)
        else:
            body = await _read_whole(conn)
            await self._answer.whole(head.status, head.headers, body)
        load.answered(failed=False)
        return None

    def _is_mine(self, raw: ResponseHead) -> bool:
        head = self._wire.read_answer(raw.status, raw.headers)
        if head.request_id is None:
            # An upstream that could not read the request does not know its id.
            return not head.ok
        return head.request_id == self._job.call.request_id

    async def _take_failure(
        self, conn: HttpConn, head: AnswerHead, load: UpstreamLoad
    ) -> End | None:
        body = await _read_whole(conn)
        failed = head.status >= FIRST_SERVER_STATUS
        load.answered(failed=failed)
        if head.status in UNSURE_STATUS and not self.repeatable:
            return End.INVALID
        if failed or self._answer.started:
            self._failure = head, body
            return End.FAILED
        await self._answer.whole(head.status, head.headers, body)
        return None

    async def _pass_stream(
        self,
        conn: HttpConn,
        head: AnswerHead,
        record: UpstreamRecord,
        load: UpstreamLoad,
        work: Work,
    ) -> None:
        cutter = EventCutter() if self._job.route.resumable else None
        headers = head.headers
        if cutter is not None:
            # A resumed answer has another length than its first upstream says.
            headers = tuple(h for h in headers if h[0] != b"content-length")
        async for data in conn.body():
            if not self._prefilled:
                self._prefilled = True
                load.first_part(work)
                self._work_changed()
            if not self._answer.started:
                await self._answer.start(head.status, headers)
            if cutter is None:
                await self._answer.write(data)
            else:
                await self._write_events(cutter, data)
                self._move_if_due(record)
        if not self._answer.started:
            await self._answer.start(head.status, headers)
        if cutter is not None and cutter.rest:
            await self._answer.write(cutter.rest)
        await self._answer.end()

    def _move_if_due(self, record: UpstreamRecord) -> None:
        """Leave an upstream that carries an order out once its runs have ended."""
        if self._last_event_id is None or self._runs >= self._job.route.max_runs:
            return
        if not self._upstreams.is_changing(record, _now()):
            return
        if not any(one.usable for _, one in self._candidates()):
            return
        if self._budget.spend(_now(), keep=MOVES_KEEP):
            raise _MoveStreamError

    async def _write_events(self, cutter: EventCutter, data: bytes) -> None:
        try:
            events = cutter.feed(data)
        except SseError as exc:
            raise UpstreamError(str(exc), sent=True) from exc
        if events:
            await self._answer.write(b"".join(event.data for event in events))
        for event in events:
            self._last_event_id = event.event_id or self._last_event_id

    def _terms(self, record: UpstreamRecord) -> Terms:
        job = self._job
        holder = job.workspace
        salt = cache_salt(record, self._scope()) if record.model else None
        fetch_from, save_to = self._transfers(salt)
        return Terms(
            instance=record.name,
            left_s=max(0.0, self._left_s()),
            workspace=None if holder is None else holder.name,
            weights_version=weights_version(record) if record.model else None,
            cache_salt=salt,
            priority=self._engine_priority() if record.model else None,
            last_event_id=self._last_event_id,
            fetch_from=fetch_from,
            save_to=save_to,
        )

    def _transfers(self, salt: str | None) -> tuple[str | None, str | None]:
        """Where the engine gets what it lacks of the prompt, and where it puts it."""
        store, prompt = self._upstreams.store, self._job.call.prompt
        if salt is None or store is None or prompt is None or not store.up:
            return None, None
        if not store.lacks(salt, prompt.shared):
            return store.address if prompt.shared else None, None
        fetch_from = store.address if store.held_tokens(salt, prompt.shared) else None
        due = self._saves.due(salt, prompt.shared[-1].key, _now())
        return fetch_from, store.address if due else None

    def _left_s(self) -> float:
        return self._job.until - _now()


def _request_head(call: CallerCall, headers: RawHeaders, size: int) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1".encode("latin-1")]
    lines += [
        name + b": " + value for name, value in headers if name not in HOP_HEADERS
    ]
    if size or call.method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % size)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def _read_whole(conn: HttpConn) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for data in conn.body():
        size += len(data)
        if size > MAX_WHOLE_BYTES:
            raise UpstreamError(f"an answer is over {MAX_WHOLE_BYTES} bytes", sent=True)
        parts.append(data)
    return b"".join(parts)


def _now() -> float:
    return asyncio.get_running_loop().time()
