"""The callers' interface of a gateway, as an ASGI application.

Lives as long as the process.  It finds the route and the workspace of a request, reads
its body, and has it forwarded while it watches whether the caller is still there.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from result import Err
from starlette.types import Receive, Scope, Send

from gooseberrydale.errors import (
    BODY_TOO_LARGE,
    NO_DECLARED_ROUTE,
    NOT_READY,
    OVER_QUOTA,
    SHUTTING_DOWN,
    UNKNOWN_CALLER_KEY,
    Problem,
    problem,
)
from gooseberrydale.log_events import RequestEnded, emit
from gooseberrydale.process.gateway.answer import CallerAnswer
from gooseberrydale.process.gateway.assignment import Assignment, want_of
from gooseberrydale.process.gateway.declared_store import DeclaredStore
from gooseberrydale.process.gateway.forward import BrokenAnswerError, Forward
from gooseberrydale.process.gateway.measures import Measures
from gooseberrydale.process.gateway.retry_budgets import RetryBudgets
from gooseberrydale.process.gateway.send import SendParts
from gooseberrydale.process.gateway.terms import TermsMaker
from gooseberrydale.process.quota_charge import QuotaCharge, refusal_of
from gooseberrydale.process.quota_client import OverQuota, QuotaClient
from gooseberrydale.request.comeback import NOT_READY_AFTER_S, PART_OF_LEFT
from gooseberrydale.request.draining import Drain, come_back_s
from gooseberrydale.request.fingerprint import fingerprint, shown
from gooseberrydale.request.gateway_call import CallerCall
from gooseberrydale.version.declared import KeyHolder, Pool, Route
from gooseberrydale.version.route_table import RouteTable

TARGET = "gooseberrydale.target"
"""The extension in which the server leaves the target as the caller wrote it."""

MS_PER_S = 1_000.0

START_HOLD_S = 0.5
"""A process that has just started knows the configuration within this time if any
replica of control is there; sending its callers away would take longer."""


class CallerGoneError(Exception):
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class GatewayParts:
    """What all requests of the process share."""

    declared: DeclaredStore
    sends: SendParts
    terms: TermsMaker
    budgets: RetryBudgets
    quotas: QuotaClient
    measures: Measures
    rng: random.Random


class GatewayApp:
    """Serves requests; ``drain`` is set once the process was told to stop."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self.drain: Drain | None = None
        self.open_requests = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.open_requests += 1
        try:
            await _Request(self._parts, scope, receive, send, self.drain).serve()
        finally:
            self.open_requests -= 1


class _Request:
    """One request; lives until its answer is out or its caller is gone."""

    def __init__(
        self,
        parts: GatewayParts,
        scope: Scope,
        receive: Receive,
        send: Send,
        drain: Drain | None,
    ) -> None:
        self._parts = parts
        self._scope = scope
        self._receive = receive
        self._send = send
        self._drain = drain
        self._forward: Forward | None = None
        self._route = ""
        self._fingerprint = b""
        self._objective_s = 0.0
        self._began = asyncio.get_running_loop().time()

    async def serve(self) -> None:
        scope = self._scope
        extension = scope.get("extensions", {}).get(TARGET, {})
        target = extension.get(TARGET, scope["raw_path"])
        found = self._parts.sends.wire.read_call(
            scope["method"], target, tuple(scope["headers"])
        )
        if isinstance(found, Err):
            answer = CallerAnswer(self._send, "", closing=self._drain is not None)
            await answer.refuse(found.err_value, close=True)
            return
        call = found.ok_value
        answer = CallerAnswer(
            self._send, call.request_id, closing=self._drain is not None
        )
        outcome = "caller_gone"
        try:
            outcome = await self._serve(call, answer)
        except CallerGoneError:
            pass
        except BrokenAnswerError:
            outcome = "broken"
        finally:
            self._log(call, answer, outcome)

    async def _serve(self, call: CallerCall, answer: CallerAnswer) -> str:
        table = await self._table(call)
        if table is None:
            why = problem(NOT_READY, retry_after_s=NOT_READY_AFTER_S)
            await answer.refuse(why)
            return why.code
        route = table.route(call.host, call.path)
        holder = table.workspace(call.key)
        refused = _refusal(table, call, route, holder)
        if refused is not None:
            await answer.refuse(refused)
            return refused.code
        assert route is not None
        limit = table.declared.limits.body_bytes
        body = await self._read_body(limit)
        if body is None:
            too_large = problem(BODY_TOO_LARGE, limit=limit)
            await answer.refuse(too_large, close=True)
            return too_large.code
        job = self._assign(call, route, table, holder, body)
        back_s = self._come_back_s(job)
        if back_s is not None:
            stopping = problem(SHUTTING_DOWN, retry_after_s=back_s)
            await answer.refuse(stopping, close=True)
            return stopping.code
        self._route, self._objective_s = route.name, route.objective_s
        charge = QuotaCharge(self._parts.quotas, want_of(job))
        try:
            over = await charge.admit()
            if over is not None:
                await self._refuse_over_quota(job, charge, over, answer)
                return OVER_QUOTA.code
            return await self._forward_job(job, answer, charge)
        finally:
            charge.close()

    async def _forward_job(
        self, job: Assignment, answer: CallerAnswer, charge: QuotaCharge
    ) -> str:
        parts = self._parts
        budget = parts.budgets.of(job.pool.name)
        forward = Forward(
            job, answer, parts.sends, parts.terms, budget, parts.measures, charge
        )
        self._forward = forward
        await self._run(forward)
        return forward.outcome

    async def _refuse_over_quota(
        self,
        job: Assignment,
        charge: QuotaCharge,
        over: OverQuota,
        answer: CallerAnswer,
    ) -> None:
        """Refuse what is beyond the quota before any upstream has heard of it."""
        why = refusal_of(job.call.request_id, charge, over)
        self._parts.measures.over_quota(charge.workspace, charge.cost)
        await answer.refuse(why)

    async def _table(self, call: CallerCall) -> RouteTable | None:
        """The declarations; a process that has just started gets them in a moment."""
        table = self._parts.declared.table
        if table is not None:
            return table
        part_s = (call.wait_s or 0.0) * PART_OF_LEFT
        return await self._parts.declared.wait(min(START_HOLD_S, part_s))

    def _assign(
        self,
        call: CallerCall,
        route: Route,
        table: RouteTable,
        holder: KeyHolder | None,
        body: bytes,
    ) -> Assignment:
        wait_s = route.timeout_s
        if call.wait_s is not None:
            wait_s = min(wait_s, call.wait_s)
        workspace = None if route.public else holder
        name = "" if workspace is None else workspace.name
        self._fingerprint = fingerprint(name, call.method, call.host, call.target, body)
        return Assignment(
            call=call,
            route=route,
            pool=self._pool(route, table),
            body=body,
            began_at=self._began,
            until=self._began + wait_s,
            workspace=workspace,
            fingerprint=self._fingerprint,
        )

    def _come_back_s(self, job: Assignment) -> float | None:
        """When to come back elsewhere, as this process may end before the answer."""
        if self._drain is None:
            return None
        now = asyncio.get_running_loop().time()
        return come_back_s(self._drain, now, job.left_s(), job.call.prompt)

    def _pool(self, route: Route, table: RouteTable) -> Pool:
        """Draw a pool by the weights of the route's shares."""
        weights = [share.weight for share in route.shares]
        [share] = self._parts.rng.choices(route.shares, weights)
        return table.declared.pools[share.pool]

    async def _run(self, forward: Forward) -> None:
        """Forward the request until it is answered or the caller is gone."""
        work = asyncio.create_task(forward.run())
        gone = asyncio.create_task(self._disconnected())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise CallerGoneError
            await work
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    async def _disconnected(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            continue

    async def _read_body(self, limit: int) -> bytes | None:
        """The whole body; None if it is over ``limit`` bytes."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                raise CallerGoneError
            parts.append(message["body"])
            size += len(message["body"])
            if size > limit:
                return None
            if not message["more_body"]:
                return b"".join(parts)

    def _log(self, call: CallerCall, answer: CallerAnswer, outcome: str) -> None:
        forward, table = self._forward, self._parts.declared.table
        now = asyncio.get_running_loop().time()
        first_s = max(0.0, answer.started_at - self._began)
        measures = self._parts.measures
        measures.request_ended(self._route, outcome, first_s, now - self._began)
        emit(
            RequestEnded(
                request_id=call.request_id,
                host=call.host,
                path=call.path,
                route=self._route,
                objective_ms=self._objective_s * MS_PER_S,
                outcome=outcome,
                sends=[] if forward is None else forward.describe(),
                status=answer.status,
                whole=answer.complete,
                held_ms=0.0 if forward is None else self._since_ms(forward.chosen_at),
                first_ms=self._since_ms(answer.started_at),
                took_ms=self._since_ms(now),
                table=0 if table is None else table.declared.number,
                digest=shown(self._fingerprint),
            )
        )

    def _since_ms(self, moment: float) -> float:
        """Milliseconds from the arrival to ``moment``; 0 if that never came."""
        return max(0.0, round((moment - self._began) * MS_PER_S, 1))


def _refusal(
    table: RouteTable, call: CallerCall, route: Route | None, holder: KeyHolder | None
) -> Problem | None:
    """Why the declarations don't let a request through."""
    if route is None:
        return problem(NO_DECLARED_ROUTE, host=call.host)
    if table.needs_keys and not route.public and holder is None:
        return problem(UNKNOWN_CALLER_KEY)
    return None
