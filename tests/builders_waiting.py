"""Requests that wait in the queue of a gateway for engines with scripted loads."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

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
from gooseberrydale.request.capacity_ports import Hold, Need, Refuse, RetryQuery
from gooseberrydale.request.gateway_call import CallerRequest, Prompt
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.waiting.neutral import AlwaysHold, NoReservations
from gooseberrydale.version.declared import EngineSize, KeyHolder, Pool
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.run_times import RunTimes
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.upstream_limits import UpstreamLimits
from gooseberrydale.version.upstream_load import Load
from gooseberrydale.version.wait_limits import WaitLimits
from tests.builders_gateway import no_limits, no_scope, prompt, record, route

ENGINE = EngineSize(slots=24, kv_tokens=70_000)
POOL = "p"
FULL = Load(8.0, 0.0, 69_000.0)
LIGHT = Load(1.0, 0.0, 9_000.0)
VERDICT = prompt(("guide", 2_500), ("lot", 3_800), own=2_900, new=13)
CHAT = prompt(("guide", 120), ("lot", 80), own=600, new=40)
OBJECTIVES_S = {0: 0.435, 2: 1.215}
DEADLINES_S = {0: 4.353, 2: 12.152}


def sharing(**fields: bool) -> CapacitySharing:
    """Return that all capacity is shared, except for the parts switched off."""
    return CapacitySharing(GatewayCfg(share_capacity=True, **fields), UpstreamSpeeds())


@dataclass
class Engines:
    """One engine, whose load depends on the time, and the requests sent to it.

    With ``slots``, it is full while that many of the sent requests run, each for
    ``run_s``.
    """

    load_at: Callable[[float], Load] = lambda now: LIGHT
    slots: int = 0
    run_s: float = 0.05
    ends: list[float] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    ended_incarnations: EndedIncarnations = field(default_factory=EndedIncarnations)
    limits: UpstreamLimits = field(default_factory=no_limits)
    sharing: CapacitySharing = field(default_factory=sharing)
    polls: int = 0
    usable: bool = True

    def next_permit_s(self, query: UpstreamQuery, now: float) -> float | None:
        return None

    def candidates(
        self, query: UpstreamQuery, now: float
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        self.polls += 1
        load = self.load_at(now)
        if self.slots and sum(end > now for end in self.ends) >= self.slots:
            load = FULL
        candidate = Candidate("u1", load, "1", ENGINE.slots, ENGINE.kv_tokens)
        return [(record("u1", model="m"), replace(candidate, usable=self.usable))]


@dataclass
class ScriptedPlan(AlwaysHold):
    """Refuses the queries that ``refuses`` selects; records all of them."""

    refuses: Callable[[RetryQuery], bool] = lambda query: False
    queries: list[RetryQuery] = field(default_factory=list)
    began_ranks: list[int] = field(default_factory=list)

    def decide(self, query: RetryQuery, now: float) -> Hold | Refuse:
        self.queries.append(query)
        return Refuse(0.7) if self.refuses(query) else Hold()

    def began(self, pool: str, rank: int, now: float) -> None:
        self.began_ranks.append(rank)


@dataclass
class ScriptedReservations(NoReservations):
    """Grants a reservation from ``granted_at`` on, after ``delay_s``."""

    granted_at: float = 0.0
    delay_s: float = 0.0
    needs: list[Need] = field(default_factory=list)

    async def reserve(self, pool: str, upstream: str, need: Need, free: float) -> bool:
        self.needs.append(need)
        await asyncio.sleep(self.delay_s)
        return asyncio.get_running_loop().time() >= self.granted_at


class WaitingGateway:
    """A gateway at which requests wait; records who was sent and who was refused."""

    def __init__(
        self,
        engines: Engines,
        reservations: NoReservations | None = None,
        plan: AlwaysHold | None = None,
    ) -> None:
        self.engines = engines
        self.reports = 0
        self.queue = RequestQueue(lambda: 8, self._report)
        capacity = SharedCapacity(
            self.queue, reservations or NoReservations(), plan or AlwaysHold()
        )
        self._stats = ObservedStats(RunTimes(), MeanWork(), WaitLimits(), capacity)
        for _ in range(100):
            self._stats.mean_work.sent(POOL, 2_900)
        # By name: the outcome, and the time of it.
        self.outcomes: dict[str, tuple[str, float]] = {}
        self.refused_after_s: dict[str, float | None] = {}

    def _report(self) -> None:
        self.reports += 1

    async def request(
        self,
        name: str,
        body: Prompt | None = VERDICT,
        *,
        rank: int = 0,
        workspace: str = "a",
        last: str | None = None,
    ) -> None:
        """Place a request; its outcome is stored under ``name``."""
        loop = asyncio.get_running_loop()
        placer = Placer(
            job(body, now=loop.time(), rank=rank, workspace=workspace, last=last),
            self.engines,  # type: ignore[arg-type]
            self._stats,
        )
        try:
            placed = await placer.place()
        except NoCapacityError as exc:
            self.outcomes[name] = "refused", loop.time()
            self.refused_after_s[name] = exc.after_s
            return
        outcome = "late" if placer.demand.spare_only else "sent"
        self.outcomes[name] = outcome if placed else "no upstream", loop.time()
        self.engines.ends.append(loop.time() + self.engines.run_s)
        loop.call_later(self.engines.run_s, self.queue.capacity_changed)

    @property
    def order(self) -> list[str]:
        """The names of the requests that were sent, in order."""
        return [name for name, (kind, _) in self.outcomes.items() if kind != "refused"]


def job(
    body: Prompt | None,
    *,
    now: float,
    rank: int = 0,
    workspace: str = "a",
    last: str | None = None,
) -> RoutedRequest:
    """Return a request of a rank with its objective and its deadline."""
    left_s = DEADLINES_S[rank]
    call = CallerRequest(
        "r", "POST", "/x", "h", (), wait_s=left_s, prompt=body, last_event_id=last
    )
    declared = replace(
        route(),
        name=f"rank{rank}",
        objective_s=OBJECTIVES_S[rank],
        timeout_s=left_s,
        priority=rank,
    )
    holder = KeyHolder(workspace, ("key",))
    pool = Pool(POOL, 100, ENGINE)
    return RoutedRequest(call, declared, pool, b"", now, now + left_s, holder, no_scope)
