"""Upstreams that a harmful request ends, and gateways that send to them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.version.declared import Declared
from tests.builders_gateway import (
    MODEL,
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    chunk,
    event,
    record,
    route,
    running_gateway,
    stream_head,
)
from tests.builders_mesh import Member, until

CALLS = route(max_runs=2)
STREAMS = route(
    path_prefix="/streams/",
    streamed=True,
    resumable=True,
    max_runs=2,
    name="streams",
    timeout_s=10.0,
)
HARMFUL = b"harmful"
SLOW = b"slow"
REPLACEMENT_S = 0.3
"""Time after which an upstream that ended is replaced by another one."""

EXCHANGE_S = 0.6
"""Time by which all gateways have detected and exchanged the end of an upstream."""

EVENTS = 40
EVENT_S = 0.05


@dataclass
class UpstreamPool:
    """Upstreams of one pool; each one that a harmful request ends is replaced.

    ``ended`` has the time of each end, ``harmful_at`` that of each arrival of a harmful
    request.  With ``answers_first``, an upstream sends one event before it ends, with
    ``breaks_first_event`` the beginning of one.
    """

    gateways: list[Gateway] = field(default_factory=list)
    upstreams: list[RawUpstream] = field(default_factory=list)
    ended: list[float] = field(default_factory=list)
    harmful_at: list[float] = field(default_factory=list)
    answers_first: bool = False
    breaks_first_event: bool = False
    _count: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def add(self) -> None:
        """Start one more upstream under a new name."""
        self._count += 1
        upstream = RawUpstream(f"u{self._count}", self._serve)
        await upstream.start()
        self.upstreams.append(upstream)
        for gateway in self.gateways:
            self.announce_to(gateway)

    def announce_to(self, gateway: Gateway) -> None:
        """Announce all running upstreams to a gateway."""
        now = asyncio.get_running_loop().time()
        for upstream in self.upstreams:
            announced = record(upstream.name, address=upstream.address, **MODEL)
            gateway.directory.offer(announced, now)

    async def close(self) -> None:
        """Stop all upstreams."""
        for task in self._tasks:
            task.cancel()
        for upstream in self.upstreams:
            upstream.end()

    async def _serve(self, req: dict[str, str], body: bytes, writer: Writer) -> None:
        loop = asyncio.get_running_loop()
        if body.startswith(HARMFUL):
            self.harmful_at.append(loop.time())
            await self._end_upstream(req, writer)
        elif body.startswith(SLOW):
            await _stream(req, writer)
        else:
            writer.write(answer_bytes(req["id"], b"done " + body))

    async def _end_upstream(self, req: dict[str, str], writer: Writer) -> None:
        if self.answers_first or self.breaks_first_event:
            data = event(1)[:8] if self.breaks_first_event else event(1)
            writer.write(stream_head(req["id"]) + chunk(data))
            await writer.drain()
        await asyncio.sleep(0.05)
        port = writer.get_extra_info("sockname")[1]
        for upstream in [u for u in self.upstreams if u.port == port]:
            self.upstreams.remove(upstream)
            self.ended.append(asyncio.get_running_loop().time())
            upstream.end()
            task = asyncio.create_task(self._replace())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _replace(self) -> None:
        await asyncio.sleep(REPLACEMENT_S)
        await self.add()


async def _stream(req: dict[str, str], writer: Writer) -> None:
    first = int(req.get("last-event-id", "0")) + 1
    writer.write(stream_head(req["id"]))
    for number in range(first, EVENTS + 1):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")


@dataclass
class Deployment:
    """Gateways in front of one pool, with sessions to one control process."""

    pool: UpstreamPool
    document: Declared
    control: Member
    stack: AsyncExitStack
    _sent: int = 0

    @property
    def gateways(self) -> list[Gateway]:
        """The gateways that were started."""
        return self.pool.gateways

    async def add_gateway(self) -> Gateway:
        """Start one more gateway, and wait for its session."""
        name = f"g{len(self.gateways) + 1}"
        controls = (self.control.address,)
        gateway = await self.stack.enter_async_context(
            running_gateway(self.document, name=name, controls=controls)
        )
        self.gateways.append(gateway)
        self.pool.announce_to(gateway)
        await until(lambda: gateway._mesh.connected)
        return gateway

    async def send(
        self, gateway: Gateway, body: bytes, target: str = "/calls/1", extra: str = ""
    ) -> int:
        """Send a request with an id of its own; return the status of its answer."""
        self._sent += 1
        got = await call(
            gateway, target, body=body, request_id=f"r{self._sent}", extra=extra
        )
        return got.status


@asynccontextmanager
async def deployment(
    document: Declared, *, gateways: int = 3, upstreams: int = 4
) -> AsyncIterator[Deployment]:
    """Run gateways and upstreams; a control process relays between the gateways."""
    async with AsyncExitStack() as stack:
        pool = UpstreamPool()
        control = await Member("control", "c1", token="").start()
        stack.push_async_callback(control.close)
        stack.push_async_callback(pool.close)
        fleet = Deployment(pool, document, control, stack)
        for _ in range(upstreams):
            await pool.add()
        for _ in range(gateways):
            await fleet.add_gateway()
        yield fleet
