"""Upstreams that announce a rate limit, and gateways that send them requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.version.declared import Declared
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    running_gateway,
)
from tests.builders_mesh import Member, until

WINDOW_S = 4.0
BINDING_AFTER_S = 3.0
"""Time after the first answer with a limit from which windows must keep the limit."""

REPORTED_S = 0.5
"""Time after the first answer with a limit by which all gateways have received it."""


def allowed(per_s: float) -> float:
    """Return the maximum number of requests in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def most_in_window(moments: list[float], since: float) -> int:
    """Return the highest count in any window that ends after ``since``."""
    times = sorted(moments)
    counts = (
        sum(end - WINDOW_S < at <= end for at in times) for end in times if end >= since
    )
    return max(counts, default=0)


@dataclass
class LimitedUpstream:
    """An upstream that names ``limit_per_s`` in its answers once that is set.

    ``arrivals`` has the arrival time of each request, ``named_at`` the time of the
    first answer that named a limit.
    """

    name: str
    limit_per_s: float | None = None
    arrivals: list[float] = field(default_factory=list)
    named_at: float | None = None

    def __post_init__(self) -> None:
        self.server = RawUpstream(self.name, self._serve)

    async def _serve(self, req: dict[str, str], body: bytes, writer: Writer) -> None:
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        headers = "signed: 1"
        if self.limit_per_s is not None:
            self.named_at = self.named_at or now
            headers += f"\r\nlimit: {self.limit_per_s}"
        writer.write(answer_bytes(req["id"], body, headers=headers))

    def most_in_bound_window(self) -> int:
        """Return the highest count in a window after all gateways got the limit."""
        assert self.named_at is not None
        bound = [at for at in self.arrivals if at >= self.named_at + REPORTED_S]
        return most_in_window(bound, self.named_at + BINDING_AFTER_S)


@dataclass
class Deployment:
    """Gateways that see each other, in front of the upstreams of one pool."""

    document: Declared
    control: Member
    stack: AsyncExitStack
    gateways: list[Gateway] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)

    async def add_gateway(
        self, *upstreams: LimitedUpstream, gateways: int = 1
    ) -> Gateway:
        """Start one more gateway, which :meth:`load` does not use.

        The first gateway starts ``upstreams`` and announces them to the later ones.
        """
        gateway = await self.stack.enter_async_context(
            running_gateway(
                self.document,
                *(upstream.server for upstream in upstreams),
                name=f"g{len(self.gateways)}",
                controls=(self.control.address,),
                gateways=gateways,
            )
        )
        for first in self.gateways[:1]:
            now = asyncio.get_running_loop().time()
            for record in first.directory.records(now):
                gateway.directory.offer(record, now)
        return gateway

    async def load(self, per_s: float, for_s: float) -> None:
        """Send requests at a constant rate to one gateway after the other."""
        async with asyncio.TaskGroup() as group:
            for number in range(round(per_s * for_s)):
                gateway = self.gateways[number % len(self.gateways)]
                group.create_task(self._send(gateway, f"r{len(self.statuses)}{number}"))
                await asyncio.sleep(1.0 / per_s)

    async def _send(self, gateway: Gateway, request_id: str) -> None:
        got = await call(gateway, request_id=request_id)
        self.statuses.append(got.status)


@asynccontextmanager
async def deployment(
    document: Declared, *upstreams: LimitedUpstream, gateways: int
) -> AsyncIterator[Deployment]:
    """Run gateways that see each other through a control process."""
    async with AsyncExitStack() as stack:
        control = await Member("control", "c1", token="").start()
        stack.push_async_callback(control.close)
        fleet = Deployment(document, control, stack)
        for number in range(gateways):
            started = upstreams if number == 0 else ()
            gateway = await fleet.add_gateway(*started, gateways=gateways)
            fleet.gateways.append(gateway)
        await until(
            lambda: all(
                len(peer._gateway_links()) == gateways for peer in fleet.gateways
            )
        )
        try:
            yield fleet
        finally:
            await asyncio.gather(*(peer.close() for peer in fleet.gateways))
