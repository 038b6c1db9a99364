"""The ASGI application that serves a gateway's callers.

There is one per process.  For each request it finds the route and the workspace, reads
the body, and forwards the request until it is answered or its caller disconnects.
"""

from __future__ import annotations

import asyncio
import io
import math
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass

from result import Err, Ok, Result
from starlette.types import Message, Receive, Scope, Send

from gooseberrydale.errors import (
    BODY_TIMEOUT,
    BODY_TOO_LARGE,
    CONFIG_UNCONFIRMED,
    GATEWAY_OVERLOADED,
    NO_DECLARED_ROUTE,
    NO_ROOM,
    NOT_READY,
    OUTCOME_UNKNOWN,
    OVER_QUOTA,
    SHUTTING_DOWN,
    UNKNOWN_CALLER_KEY,
    Problem,
    problem,
)
from gooseberrydale.log_events import RequestEnded, emit
from gooseberrydale.log_events.request import NOT_CONFIRMED_MS
from gooseberrydale.process.gateway.answer import CallerAnswer
from gooseberrydale.process.gateway.declared_store import DeclaredStore
from gooseberrydale.process.gateway.forward import BrokenAnswerError, Forwarder
from gooseberrydale.process.gateway.own_capacity import OwnCapacity
from gooseberrydale.process.gateway.request_metrics import RequestMetrics
from gooseberrydale.process.gateway.resumption import Resumption
from gooseberrydale.process.gateway.retry_budgets import RetryBudgets
from gooseberrydale.process.gateway.routed_request import RoutedRequest, want_of
from gooseberrydale.process.gateway.send import SendDeps
from gooseberrydale.process.gateway.terms import TermsMaker
from gooseberrydale.process.http.message_ends import CONTENT_LENGTH
from gooseberrydale.process.quota_charge import QuotaCharge, refuse_over_quota
from gooseberrydale.process.quota_client import OverQuota, QuotaClient
from gooseberrydale.request.capacity_decision import (
    CapacityDecision,
    refusal_cause,
)
from gooseberrydale.request.draining import (
    RETRY_MARGIN_S,
    Drain,
    retry_after_drain_s,
)
from gooseberrydale.request.fingerprint import fingerprint, fingerprint_text
from gooseberrydale.request.gateway_call import CallerRequest
from gooseberrydale.request.retry_after import (
    NOT_READY_AFTER_S,
    REMAINING_TIME_FRACTION,
)
from gooseberrydale.version.declared import KeyHolder, Pool, Route
from gooseberrydale.version.origins.origin import StreamOrigin
from gooseberrydale.version.origins.store import stream_key
from gooseberrydale.version.route_table import RouteTable

TARGET = "gooseberrydale.target"
"""The ASGI extension that holds the request target as the caller wrote it."""

MS_PER_S = 1_000.0

CAPACITY_OUTCOMES = frozenset({NO_ROOM.code, GATEWAY_OVERLOADED.code})
"""The outcomes of requests that are refused for lack of capacity."""

STARTUP_WAIT_S = 0.5
"""How long a request waits for the first configuration after a start.  If any control
replica is up, the configuration arrives within this time; a refused caller would lose
more."""

CONFIRMATION_WAIT_S = 0.5
"""How long a request waits until the document in force is known to be the newest.  Each
session with control brings a confirmation every second."""


class CallerDisconnectedError(Exception):
    """The caller has closed its connection before the answer was complete."""


@dataclass(frozen=True, slots=True)
class GatewayDeps:
    """Objects that all requests of the process share."""

    declared: DeclaredStore
    sends: SendDeps
    terms: TermsMaker
    resumption: Resumption
    budgets: RetryBudgets
    quotas: QuotaClient
    capacity: OwnCapacity
    metrics: RequestMetrics
    control_connected: Callable[[], bool]
    rng: random.Random


class GatewayApp:
    """Serves requests; ``drain`` is set once the process begins to stop."""

    def __init__(self, deps: GatewayDeps) -> None:
        self._deps = deps
        self.drain: Drain | None = None
        self.open_requests = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.open_requests += 1
        try:
            await _Request(self._deps, scope, receive, send, self.drain).serve()
        finally:
            self.open_requests -= 1


class _Request:
    """Serves one request until it is answered or its caller disconnects."""

    def __init__(
        self,
        deps: GatewayDeps,
        scope: Scope,
        receive: Receive,
        send: Send,
        drain: Drain | None,
    ) -> None:
        self._deps = deps
        self._scope = scope
        self._receive = receive
        self._send = deps.capacity.counted(send)
        self._drain = drain
        self._forwarder: Forwarder | None = None
        self._route = ""
        self._fingerprint = b""
        self._origin = ""
        self._undecided = CapacityDecision()
        self._objective_s = 0.0
        self._arrived_at = asyncio.get_running_loop().time()

    async def serve(self) -> None:
        scope = self._scope
        extension = scope.get("extensions", {}).get(TARGET, {})
        target = extension.get(TARGET, scope["raw_path"])
        result = self._deps.sends.wire.read_call(
            scope["method"], target, tuple(scope["headers"])
        )
        if isinstance(result, Err):
            answer = CallerAnswer(self._send, "", closing=self._drain is not None)
            await answer.refuse(result.err_value, close=True)
            return
        call = result.ok_value
        answer = CallerAnswer(
            self._send, call.request_id, closing=self._drain is not None
        )
        outcome = "caller_gone"
        try:
            outcome = await self._serve(call, answer)
        except CallerDisconnectedError:
            pass
        except BrokenAnswerError:
            outcome = "broken"
        except asyncio.CancelledError:
            # The process ends; what was begun can't be completed.
            if answer.started:
                raise
            why = self._interrupted()
            outcome = why.code
            await answer.refuse(why, close=True)
        finally:
            self._log(call, answer, outcome)

    def _interrupted(self) -> Problem:
        """Return the final answer of a request that the end of the process ends."""
        if self._forwarder is not None and self._forwarder.may_have_run:
            return problem(OUTCOME_UNKNOWN, not_run=None)
        return problem(SHUTTING_DOWN, retry_after_s=RETRY_MARGIN_S)

    async def _serve(self, call: CallerRequest, answer: CallerAnswer) -> str:
        table = await self._table(call)
        if table is None:
            why = problem(NOT_READY, retry_after_s=NOT_READY_AFTER_S)
            await answer.refuse(why)
            return why.code
        admitted = await self._admit(call, table)
        if isinstance(admitted, Err):
            await answer.refuse(admitted.err_value)
            return admitted.err_value.code
        table, route, holder = admitted.ok_value
        read = await self._read_body(table.declared.limits.body_bytes, call, route)
        if isinstance(read, Err):
            await answer.refuse(read.err_value, close=True)
            return read.err_value.code
        body = read.ok_value
        workspace = "" if route.public or holder is None else holder.name
        resumption = self._deps.resumption
        origin = await resumption.origin(call, route, table, workspace)
        if isinstance(origin, Err):
            await answer.refuse(origin.err_value)
            return origin.err_value.code
        job = self._route_request(call, route, table, holder, body, origin.ok_value)
        self._undecided = job.undecided
        retry_after_s = self._retry_after_s(job)
        if retry_after_s is not None:
            stopping = problem(SHUTTING_DOWN, retry_after_s=retry_after_s)
            await answer.refuse(stopping, close=True)
            return stopping.code
        self._route, self._objective_s = route.name, route.objective_s
        after_s = self._deps.capacity.decline_after_s(job)
        if after_s is not None:
            busy = problem(GATEWAY_OVERLOADED, retry_after_s=after_s)
            await answer.refuse(busy, close=True)
            return busy.code
        charge = QuotaCharge(self._deps.quotas, want_of(job))
        try:
            over = await charge.admit()
            if over is not None:
                await self._refuse_over_quota(job, charge, over, answer)
                return OVER_QUOTA.code
            return await self._forward_job(job, answer, charge)
        finally:
            charge.close()

    async def _forward_job(
        self, job: RoutedRequest, answer: CallerAnswer, charge: QuotaCharge
    ) -> str:
        deps = self._deps
        budget = deps.budgets.of(job.pool.name)
        forwarder = Forwarder(
            job, answer, deps.sends, deps.terms, budget, deps.metrics, charge
        )
        self._forwarder = forwarder
        await self._run(forwarder)
        return forwarder.outcome

    async def _refuse_over_quota(
        self,
        job: RoutedRequest,
        charge: QuotaCharge,
        over: OverQuota,
        answer: CallerAnswer,
    ) -> None:
        """Refuse a request over its workspace's quota; no upstream has received it."""
        why = refuse_over_quota(job.call.request_id, charge, over)
        self._deps.metrics.over_quota(charge.workspace, charge.cost)
        await answer.refuse(why)

    async def _table(self, call: CallerRequest) -> RouteTable | None:
        """Return the declarations, after a limited wait if none have arrived yet."""
        table = self._deps.declared.table
        if table is not None:
            return table
        return await self._deps.declared.wait(min(STARTUP_WAIT_S, _max_wait_s(call)))

    async def _admit(
        self, call: CallerRequest, table: RouteTable
    ) -> Result[tuple[RouteTable, Route, KeyHolder | None], Problem]:
        """Return the table that allows the request, with its route and workspace.

        A request that the document in force doesn't allow waits briefly until that is
        known to be the newest, or until a newer one allows it.
        """
        declared = self._deps.declared
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + min(CONFIRMATION_WAIT_S, _max_wait_s(call))
        while True:
            route = table.route(call.host, call.path)
            holder = table.workspace(call.key)
            refused = _refusal(table, call, route, holder)
            if refused is None:
                assert route is not None
                return Ok((table, route, holder))
            left_s = wait_until - loop.time()
            if (
                declared.is_current
                or left_s <= 0.0
                or not self._deps.control_connected()
                or not await declared.wait_change(left_s)
            ):
                return Err(self._denial(refused))
            assert declared.table is not None
            table = declared.table

    def _denial(self, refused: Problem) -> Problem:
        """Return ``refused`` if the document that decided it is known to be current."""
        if self._deps.declared.is_current:
            return refused
        return problem(CONFIG_UNCONFIRMED, retry_after_s=NOT_READY_AFTER_S)

    def _route_request(
        self,
        call: CallerRequest,
        route: Route,
        table: RouteTable,
        holder: KeyHolder | None,
        body: bytes,
        origin: StreamOrigin | None,
    ) -> RoutedRequest:
        workspace = None if route.public else holder
        name = "" if workspace is None else workspace.name
        self._fingerprint = fingerprint(name, call.method, call.host, call.target, body)
        if origin is None:
            pool, first = self._pool(route, table), call.request_id
        else:
            self._origin = str(origin)
            pool = table.declared.pools[origin.pool]
            first = call.resumes or call.request_id
        sharing = self._deps.sends.upstreams.sharing.applies(pool.name)
        return RoutedRequest(
            call=call,
            route=route,
            pool=pool,
            body=body,
            arrived_at=self._arrived_at,
            deadline_at=self._arrived_at + _answer_wait_s(call, route),
            workspace=workspace,
            cache_scopes=self._deps.declared.cache_scope,
            fingerprint=self._fingerprint,
            origin=origin,
            stream_key=stream_key(name, first),
            shared_rank=table.rank(route, workspace) if sharing else None,
        )

    def _retry_after_s(self, job: RoutedRequest) -> float | None:
        """Seconds after which the caller shall retry at another gateway.

        None if this process can answer before it ends.
        """
        if self._drain is None:
            return None
        now = asyncio.get_running_loop().time()
        return retry_after_drain_s(self._drain, now, job.left_s(), job.call.prompt)

    def _pool(self, route: Route, table: RouteTable) -> Pool:
        """Pick a pool at random by the weights of the route's shares."""
        weights = [share.weight for share in route.shares]
        [share] = self._deps.rng.choices(route.shares, weights)
        return table.declared.pools[share.pool]

    async def _run(self, forwarder: Forwarder) -> None:
        """Forward the request until it is answered or the caller disconnects."""
        work = asyncio.create_task(forwarder.run())
        disconnected = asyncio.create_task(self._disconnected())
        try:
            await asyncio.wait(
                {work, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise CallerDisconnectedError
            await work
        finally:
            for task in (work, disconnected):
                task.cancel()
            await asyncio.gather(work, disconnected, return_exceptions=True)

    async def _disconnected(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            continue

    async def _read_body(
        self, limit: int, call: CallerRequest, route: Route
    ) -> Result[bytes, Problem]:
        """Read the complete body, of at most ``limit`` bytes.

        A body that is announced to be larger is refused unread, and one that takes as
        long as the request may take can't be served any more.
        """
        too_large = problem(BODY_TOO_LARGE, limit=limit)
        if self._announced_bytes() > limit:
            return Err(self._denial(too_large))
        wait_s = _answer_wait_s(call, route)
        try:
            async with asyncio.timeout_at(self._arrived_at + wait_s):
                body = await self._read_at_most(limit)
        except TimeoutError:
            return Err(problem(BODY_TIMEOUT, limit_s=wait_s))
        return Err(self._denial(too_large)) if body is None else Ok(body)

    async def _read_at_most(self, limit: int) -> bytes | None:
        """Read the complete body; return None if it is larger than ``limit`` bytes."""
        message = await self._receive_body()
        if not message["more_body"]:
            return message["body"] if len(message["body"]) <= limit else None
        # A buffer takes a body in small pieces without an object for each, and returns
        # it without a copy.
        body = io.BytesIO()
        while True:
            if body.tell() + len(message["body"]) > limit:
                return None
            body.write(message["body"])
            if not message["more_body"]:
                return body.getvalue()
            message = await self._receive_body()

    async def _receive_body(self) -> Message:
        message = await self._receive()
        if message["type"] != "http.request":
            raise CallerDisconnectedError
        return message

    def _announced_bytes(self) -> int:
        """Return the announced length of the body; 0 if there is none."""
        for name, value in self._scope["headers"]:
            if name == CONTENT_LENGTH and value.isdigit():
                return int(value)
        return 0

    def _log(self, call: CallerRequest, answer: CallerAnswer, outcome: str) -> None:
        forwarder, table = self._forwarder, self._deps.declared.table
        now = asyncio.get_running_loop().time()
        decision = self._undecided if forwarder is None else forwarder.decision
        first_s = max(0.0, answer.started_at - self._arrived_at)
        metrics = self._deps.metrics
        metrics.request_ended(self._route, outcome, first_s, now - self._arrived_at)
        if outcome in CAPACITY_OUTCOMES:
            metrics.no_capacity(refusal_cause(outcome, decision), decision.rank)
        emit(
            RequestEnded(
                request_id=call.request_id,
                host=call.host,
                path=call.path,
                route=self._route,
                objective_ms=self._objective_s * MS_PER_S,
                outcome=outcome,
                sends=[] if forwarder is None else forwarder.describe(),
                status=answer.status,
                whole=answer.complete,
                held_ms=(
                    0.0 if forwarder is None else self._since_ms(forwarder.chosen_at)
                ),
                first_ms=self._since_ms(answer.started_at),
                took_ms=self._since_ms(now),
                table=0 if table is None else table.declared.number,
                confirmed_ms=self._confirmed_ms(),
                digest=fingerprint_text(self._fingerprint),
                framing="" if forwarder is None else forwarder.framing,
                inside_event=forwarder is not None and forwarder.inside_event,
                resumes=call.resumes or "",
                last_event_id=call.last_event_id or "",
                origin=self._origin,
                **asdict(decision),
            )
        )

    def _confirmed_ms(self) -> float:
        age_s = self._deps.declared.confirmed_age_s
        return round(age_s * MS_PER_S, 1) if math.isfinite(age_s) else NOT_CONFIRMED_MS

    def _since_ms(self, moment: float) -> float:
        """Milliseconds from the arrival to ``moment``; 0 if that was not reached."""
        return max(0.0, round((moment - self._arrived_at) * MS_PER_S, 1))


def _answer_wait_s(call: CallerRequest, route: Route) -> float:
    """How long the caller and the route allow a request to wait for its answer."""
    return route.timeout_s if call.wait_s is None else min(route.timeout_s, call.wait_s)


def _max_wait_s(call: CallerRequest) -> float:
    """How long a request may wait for the configuration; 0 if it has no deadline."""
    return (call.wait_s or 0.0) * REMAINING_TIME_FRACTION


def _refusal(
    table: RouteTable,
    call: CallerRequest,
    route: Route | None,
    holder: KeyHolder | None,
) -> Problem | None:
    """Return why the declarations refuse a request; None if they allow it."""
    if route is None:
        return problem(NO_DECLARED_ROUTE, host=call.host)
    if table.needs_keys and not route.public and holder is None:
        return problem(UNKNOWN_CALLER_KEY)
    return None
