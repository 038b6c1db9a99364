"""HTTP interface of the example engine, specified in docs/design/upstream-interface.md.

The lifespan of the ASGI app starts and closes the engine.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import uuid
from collections.abc import AsyncIterator

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from result import Err
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from gooseberrydale.errors import INVALID_FIELD, WEIGHTS_NOT_LOADED, problem
from gooseberrydale.example.completions import CHAT_PATH, TEXT_PATH, complete
from gooseberrydale.example.engine_host import EngineHost, HostCfg
from gooseberrydale.example.http_json import json_response, problem_response
from gooseberrydale.example.kv_transfer import KvTransfer
from gooseberrydale.example.orders import Order, OrderGate, OrderKind

WEIGHTS_TIMEOUT_S = 60.0


class EngineApp:
    """HTTP handlers of one engine."""

    def __init__(self, cfg: HostCfg) -> None:
        self._host = EngineHost(cfg, uuid.uuid4().hex)
        self._kv = KvTransfer(self._host)
        self._gate = OrderGate(checks_fencing=cfg.checks_fencing)
        self._order_lock = asyncio.Lock()

    def build(self) -> Starlette:
        """Return the ASGI app."""
        routes = [
            Route(CHAT_PATH, self.complete, methods=["POST"]),
            Route(TEXT_PATH, self.complete, methods=["POST"]),
            Route("/health", self.health),
            Route("/load", self.load),
            Route("/cache/events", self.cache_events),
            Route("/cache/snapshot", self.cache_snapshot),
            Route("/kv/export", self._kv.export, methods=["POST"]),
            Route("/kv/import", self._kv.import_, methods=["POST"]),
            Route("/orders", self.orders, methods=["POST"]),
            Route("/record", self.record),
        ]
        return Starlette(routes=routes, lifespan=self._lifespan)

    @contextlib.asynccontextmanager
    async def _lifespan(self, _app: Starlette) -> AsyncIterator[None]:
        await self._host.start()
        try:
            yield
        finally:
            await self._host.close()
            await self._kv.close()

    async def complete(self, req: Request) -> Response:
        """Serve both completion calls."""
        return await complete(self._host, req)

    async def health(self, _req: Request) -> Response:
        """Return the incarnation, the weights and whether the engine accepts work."""
        host = self._host
        return json_response(
            {
                "incarnation": host.incarnation,
                "model": host.model,
                "weights_version": host.weights_version,
                "software": host.software,
                "ready": host.ready,
            }
        )

    async def load(self, _req: Request) -> Response:
        """Return the delayed load sample, and the requests that are open now."""
        host = self._host
        load = dataclasses.asdict(host.load)
        return json_response({**load, "requests": host.open_requests})

    async def cache_events(self, _req: Request) -> Response:
        """Stream the cache events that are published from now on."""
        return StreamingResponse(self._events(), media_type="text/event-stream")

    async def _events(self) -> AsyncIterator[bytes]:
        queue = self._host.subscribe()
        try:
            # This comment line sends the response head immediately.  Once it arrives,
            # the subscription exists and the snapshot can be read.
            yield b": subscribed\n\n"
            while True:
                event = await queue.get()
                yield b"data: " + msgspec.json.encode(event) + b"\n\n"
        finally:
            self._host.unsubscribe(queue)

    async def cache_snapshot(self, _req: Request) -> Response:
        """Return the cached keys and the sequence number of the last change."""
        host = self._host
        return json_response(
            {
                "incarnation": host.incarnation,
                "seq": host.feed.seq,
                "keys": host.engine.cache.keys(),
            }
        )

    async def orders(self, req: Request) -> Response:
        """Execute an order; answer once it has been executed."""
        try:
            order = msgspec.json.decode(await req.body(), type=Order)
        except msgspec.MsgspecError as exc:
            return problem_response(problem(INVALID_FIELD, reason=exc))
        # Executes orders one at a time, in the order in which the gate accepts them.
        async with self._order_lock:
            decision = self._gate.accept(order)
            if isinstance(decision, Err):
                return problem_response(decision.err_value)
            if decision.ok_value and order.kind is OrderKind.LOAD_WEIGHTS:
                return await self._load_weights(order)
            self._gate.mark_executed()
        return json_response({})

    async def _load_weights(self, order: Order) -> Response:
        host = self._host
        host.pause()
        try:
            await self._fetch_weights(order)
        except (AiosonicError, OSError) as exc:
            host.resume()
            return problem_response(problem(WEIGHTS_NOT_LOADED, reason=exc))
        host.replace_weights(order.model or host.model, order.version)
        self._gate.mark_executed()
        return json_response({})

    async def _fetch_weights(self, order: Order) -> None:
        cfg = self._host.cfg
        if not cfg.weight_store:
            await asyncio.sleep(cfg.load_s)
            return
        timeouts = aiosonic.Timeouts(
            sock_read=WEIGHTS_TIMEOUT_S, request_timeout=WEIGHTS_TIMEOUT_S
        )
        url = f"{cfg.weight_store}/weights/{order.model or 'same'}/{order.version}"
        async with aiosonic.HTTPClient() as client:
            await client.get(url, timeouts=timeouts)

    async def record(self, _req: Request) -> Response:
        """Return the requests that the engine received, with their states."""
        host = self._host
        return json_response(
            {
                "incarnation": host.incarnation,
                "requests": list(host.record),
                "orders": self._gate.accepted,
            }
        )


def engine_app(cfg: HostCfg) -> Starlette:
    """Return the app of one example engine."""
    return EngineApp(cfg).build()
