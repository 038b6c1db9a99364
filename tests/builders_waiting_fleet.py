"""A fleet whose gateways compete for engines, on a paused clock and without a network.

Gateways use the placer and the queue of the product.  Reports between them are delayed;
those between zones go through the first gateway of each zone.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import partial

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.placer import (
    NoCapacityError,
    ObservedStats,
    Placer,
    SharedCapacity,
)
from gooseberrydale.process.gateway.request_queue import RequestQueue
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.request.gateway_call import CallerRequest
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.waiting.queue import Ticket
from gooseberrydale.version.declared import EngineSize, KeyHolder, Pool
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.peer_loads import OTHER_ZONES
from gooseberrydale.version.run_times import RunTimes
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.upstream_load import Load
from gooseberrydale.version.wait_limits import WaitLimits
from tests.builders_gateway import no_limits, no_scope, prompt, record, route

POOL = Pool("p", 100, EngineSize(slots=8, kv_tokens=0))
ENGINES = 8
RUN_S = 0.2
PER_S = 0.5 * ENGINES * 8 / RUN_S  # half of what the engines can serve
ZONES = 3
REPORT_S = 0.05
DELAY_S = 0.03
SECONDS = 6.5
BURST = (1.0, 6.0)
BURST_FACTOR = 6.0
LARGE = "w0"
SHARES = {LARGE: 0.3, **{f"w{n}": 0.7 / 15 for n in range(1, 16)}}
"""With one workspace at six times its usual load, the load is 2.5 times the usual."""

RANKS = {0: 0.2, 1: 0.2, 2: 0.6}
OBJECTIVES_S = {0: 0.435, 1: 0.85, 2: 1.215}
DEADLINES_S = {0: 4.353, 1: 5.3, 2: 12.152}
LATE_WORTH = 0.75
BODIES = {0: prompt(own=2_900), 1: prompt(own=2_900), 2: prompt(own=600)}


@dataclass
class Caller:
    """One caller; ``took_s`` is the time to its first event, infinite without one."""

    at: float
    workspace: str
    rank: int
    gateway: int
    took_s: float = float("inf")

    @property
    def worth(self) -> float:
        if self.took_s <= OBJECTIVES_S[self.rank]:
            return 1.0
        return LATE_WORTH if self.took_s <= DEADLINES_S[self.rank] else 0.0


def callers(gateways: int, seed: int, *, burst: bool) -> list[Caller]:
    """Return the callers in order of time; a burst only adds some to the others."""
    rng, extra = random.Random(seed), random.Random(seed + 1)
    found = list(_arrivals(rng, PER_S, (0.0, SECONDS), gateways, SHARES))
    if burst:
        per_s = PER_S * SHARES[LARGE] * (BURST_FACTOR - 1.0)
        found += _arrivals(extra, per_s, BURST, gateways, {LARGE: 1.0})
    return sorted(found, key=lambda caller: caller.at)


def _arrivals(
    rng: random.Random,
    per_s: float,
    span: tuple[float, float],
    gateways: int,
    shares: Mapping[str, float],
) -> Iterator[Caller]:
    # Sizes of gateways differ up to five times.
    sizes = [1 + number * 7 % 5 for number in range(gateways)]
    now = span[0] + rng.expovariate(per_s)
    while now < span[1]:
        (workspace,) = rng.choices(list(shares), list(shares.values()))
        (rank,) = rng.choices(list(RANKS), list(RANKS.values()))
        (gateway,) = rng.choices(range(gateways), sizes)
        yield Caller(now, workspace, rank, gateway)
        now += rng.expovariate(per_s)


@dataclass
class Engine:
    """Runs requests in its slots, more urgent ones first, in order of arrival."""

    free: int = POOL.engine.slots if POOL.engine else 0
    queue: list[tuple[int, int, asyncio.Future[None]]] = field(default_factory=list)
    seq: int = 0

    async def run(self, rank: int) -> float:
        """Run a request; return the time of its first event."""
        loop = asyncio.get_running_loop()
        if self.free:
            self.free -= 1
        else:
            self.seq += 1
            slot: asyncio.Future[None] = loop.create_future()
            heapq.heappush(self.queue, (rank, self.seq, slot))
            await slot
        began_at = loop.time()
        await asyncio.sleep(RUN_S)
        if self.queue:
            heapq.heappop(self.queue)[2].set_result(None)
        else:
            self.free += 1
        return began_at


Counts = Counter[tuple[int, int]]
"""Requests by engine and rank."""


class FreezableQueue(RequestQueue):
    """A queue whose requests are not continued while its gateway is frozen."""

    def __init__(self, recipients: int) -> None:
        super().__init__(lambda: recipients, lambda: None)
        self.runs = asyncio.Event()
        self.runs.set()

    async def wait(self, ticket: Ticket, until: float) -> None:
        await super().wait(ticket, until)
        await self.runs.wait()


class FleetGateway:
    """One gateway: what the placer reads of its upstreams, and its queue."""

    def __init__(self, number: int, recipients: int) -> None:
        self.number, self.zone = number, f"z{number % ZONES}"
        self.rng = random.Random(number)
        self.ended_incarnations = EndedIncarnations()
        self.limits = no_limits()
        cfg = GatewayCfg(share_capacity=True)
        self.sharing = CapacitySharing(cfg, UpstreamSpeeds())
        self.queue = FreezableQueue(recipients)
        capacity = SharedCapacity(self.queue)
        self.stats = ObservedStats(RunTimes(), MeanWork(), WaitLimits(), capacity)
        self.own: Counts = Counter()
        self.others: Counts = Counter()
        self.up = True
        self.cut_off = False

    @property
    def reports(self) -> bool:
        """Whether others get its reports, and it theirs."""
        return self.up and not self.cut_off and self.queue.runs.is_set()

    def next_permit_s(self, query: UpstreamQuery, now: float) -> float | None:
        return None

    def candidates(
        self, query: UpstreamQuery, now: float
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        rank, size = query.rank, query.pool.engine
        assert rank is not None and size is not None
        ranks = range(rank + 1)
        found = []
        for engine in range(ENGINES):
            sums = [self.own[engine, r] + self.others[engine, r] for r in ranks]
            load = Load(sum(sums), 0.0, 0.0)
            name = f"e{engine}"
            found.append((_RECORDS[engine], Candidate(name, load, "1", size.slots)))
        self.rng.shuffle(found)
        return found


_RECORDS = [record(f"e{engine}", model="m") for engine in range(ENGINES)]


class WaitingFleet:
    """Gateways and engines; ``killed``, ``cut_off`` and ``frozen`` fail in the burst.

    ``idle_moments`` counts the moments, of all at which reports are sent, at which
    requests waited while every engine had a free slot.
    """

    def __init__(
        self, gateways: int, killed: int = -1, cut_off: int = -1, frozen: int = -1
    ) -> None:
        recipients = max(1, gateways // ZONES - 1)
        self.gateways = [FleetGateway(n, recipients) for n in range(gateways)]
        self.engines = [Engine() for _ in range(ENGINES)]
        self.killed, self.cut_off, self.frozen = killed, cut_off, frozen
        self.tasks: dict[int, list[asyncio.Task[None]]] = defaultdict(list)
        self.bytes_sent: Counter[int] = Counter()
        self.idle_moments = 0

    async def serve(self, arrivals: list[Caller]) -> None:
        """Serve all callers until each has an answer or has given up."""
        loop = asyncio.get_running_loop()
        reports = asyncio.create_task(self._exchange_reports())
        self._schedule_faults()
        for caller in arrivals:
            await asyncio.sleep(max(0.0, caller.at - loop.time()))
            if self.gateways[caller.gateway].up:
                task = asyncio.create_task(self._serve(caller))
                self.tasks[caller.gateway].append(task)
        tasks = [task for tasks in self.tasks.values() for task in tasks]
        await asyncio.gather(*tasks, return_exceptions=True)
        reports.cancel()
        await asyncio.gather(reports, return_exceptions=True)
        for gateway in self.gateways:
            gateway.queue.close()

    def _schedule_faults(self) -> None:
        loop, (began, _) = asyncio.get_running_loop(), BURST
        for number, gateway in enumerate(self.gateways):
            if number == self.killed:
                loop.call_at(began + 1.0, self._kill, gateway)
            if number == self.cut_off:
                loop.call_at(began + 0.5, setattr, gateway, "cut_off", True)
                loop.call_at(began + 3.5, setattr, gateway, "cut_off", False)
            if number == self.frozen:
                loop.call_at(began + 1.0, gateway.queue.runs.clear)
                loop.call_at(began + 3.0, gateway.queue.runs.set)

    def _kill(self, gateway: FleetGateway) -> None:
        gateway.up = False
        for task in self.tasks[gateway.number]:
            task.cancel()

    async def _serve(self, caller: Caller) -> None:
        loop, gateway = asyncio.get_running_loop(), self.gateways[caller.gateway]
        await gateway.queue.runs.wait()
        request = _job(caller, loop.time())
        try:
            placer = Placer(request, gateway, gateway.stats)  # type: ignore[arg-type]
            placed = await placer.place()
        except NoCapacityError:
            return
        assert placed is not None
        engine = int(placed.chosen.name[1:])
        gateway.own[engine, caller.rank] += 1
        try:
            run = asyncio.shield(self.engines[engine].run(caller.rank))
            caller.took_s = await run - caller.at
        finally:
            gateway.own[engine, caller.rank] -= 1
            gateway.queue.capacity_changed()

    async def _exchange_reports(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_S)
            self._count_idle()
            self._report_loads()
            reachable = [gateway for gateway in self.gateways if gateway.reports]
            for gateway in reachable:
                mates = [g for g in reachable if g.zone == gateway.zone]
                for extra in gateway.queue.extras:
                    data = extra.own(loop.time())
                    to = [g for g in mates if g is not gateway]
                    self._deliver(gateway, extra.name, None, data, to)
            relays = {g.zone: g for g in reversed(reachable)}
            for zone, relay in relays.items():
                mates = [g for g in reachable if g.zone == zone and g is not relay]
                others = [g for z, g in relays.items() if z != zone]
                for extra in relay.queue.extras:
                    data = extra.zone(loop.time())
                    self._deliver(relay, extra.name, zone, data, others)
                    data = extra.elsewhere(loop.time())
                    self._deliver(relay, extra.name, OTHER_ZONES, data, mates)

    def _deliver(
        self,
        sender: FleetGateway,
        name: str,
        area: str | None,
        data: bytes,
        to: list[FleetGateway],
    ) -> None:
        """Deliver data of an area, or of the sender itself if ``area`` is None."""
        if not data:
            return
        loop = asyncio.get_running_loop()
        self.bytes_sent[sender.number] += len(to) * (len(name) + len(data))
        for gateway in to:
            extra = next(e for e in gateway.queue.extras if e.name == name)
            if area is None:
                call = partial(extra.merge_own, f"g{sender.number}", data)
            else:
                call = partial(extra.merge_area, area, data)
            loop.call_later(DELAY_S, _merge, gateway, call)

    def _report_loads(self) -> None:
        """Give each gateway that reports the work of the others, after the delay."""
        loop = asyncio.get_running_loop()
        total: Counts = Counter()
        for gateway in self.gateways:
            if gateway.reports:
                total.update(gateway.own)
        for gateway in self.gateways:
            if gateway.reports:
                others = total.copy()
                others.subtract(gateway.own)
                loop.call_later(DELAY_S, setattr, gateway, "others", others)

    def _count_idle(self) -> None:
        """Count a moment at which all engines have free slots and requests wait."""
        waiting = [g.queue.waiting(POOL.name) for g in self.gateways if g.reports]
        self.idle_moments += any(waiting) and all(e.free for e in self.engines)


def _merge(gateway: FleetGateway, call: Callable[[float], None]) -> None:
    if gateway.reports:
        call(asyncio.get_running_loop().time())
        gateway.queue.capacity_changed()


def _job(caller: Caller, now: float) -> RoutedRequest:
    left_s = DEADLINES_S[caller.rank] - (now - caller.at)
    call = CallerRequest(
        "r", "POST", "/x", "h", (), wait_s=None, prompt=BODIES[caller.rank]
    )
    declared = replace(
        route(),
        name=f"rank{caller.rank}",
        objective_s=OBJECTIVES_S[caller.rank],
        timeout_s=DEADLINES_S[caller.rank],
        priority=caller.rank,
    )
    holder = KeyHolder(caller.workspace, ("key",))
    return RoutedRequest(
        call, declared, POOL, b"", caller.at, now + left_s, holder, no_scope
    )
