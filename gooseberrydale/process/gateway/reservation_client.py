"""Reserves sends to nearly full upstreams, together with the other gateways.

There is one client per process.  It asks the owner of an upstream before a send, and
answers for the upstreams that this gateway owns.  The decisions are in
``version/capacity``; this module exchanges the messages and waits for answers.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from gooseberrydale.connection.gateway_datagrams import FleetView
from gooseberrydale.process.gateway.reservation_owner_log import ReservationOwnerLog
from gooseberrydale.request.capacity_ports import Need
from gooseberrydale.version.capacity.ledger import Ledger, Verdict
from gooseberrydale.version.capacity.messages import Granted, ReserveAsk, Reserved
from gooseberrydale.version.capacity.owners import CapacityOwners
from gooseberrydale.version.capacity.room import (
    Amount,
    Room,
    amount_of,
    equal_part,
    is_near,
    own_count,
)
from gooseberrydale.version.gateway_peers import GatewayPeer

T = TypeVar("T")

FIRST_TIMEOUT_S = 0.007
"""Time for the answer of the first owner.  A datagram takes up to 0.9 ms each way; the
rest is for work that the loops of both gateways are busy with."""

TIMEOUT_S = 0.012
"""Time for the answers of both owners together.  Waiting longer costs the request more
than a place that is not used."""

MISSES_BEFORE_SKIP = 2
SKIP_S = 1.0
"""An owner that left so many asks in a row unanswered is not asked for this long."""

STARTUP_S = 1.5
"""For so long after its start a gateway answers no asks: the others report all their
work once a second."""

STAND_IN_S = 0.25
"""For so long the second owner grants only half of what is free, as it does not know
what the first one granted."""

STAND_IN_PAUSE_S = 1.0
"""Time without an ask after which the second owner no longer stands in."""

PART_INTERVAL_S = 0.005
"""Least time between two sends to an upstream without an owner, so that a send counts
as own work before the next."""

FREE_TTL_S = 0.03
"""Time for which a count of the free capacity of a pool is used: reports change it
about as often."""

FREE_SAMPLE = 24
"""Upstreams of a pool that are looked at to estimate its free capacity."""

MEAN_SMOOTHING = 0.05
"""Weight of the newest request in the mean needs of a rank."""

MAX_MEANS = 1_024
"""Pairs of pool and rank whose mean needs are kept."""

MS_PER_S = 1_000.0


class Transport(Protocol):
    """Carries messages between gateways; each is delivered at most once."""

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` with each received message of type ``kind``."""

    def send(self, msg: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a message once to each of ``peers``; failures are not reported."""


class CapacityView(Protocol):
    """What the upstreams hold, as this gateway sees it."""

    def reserves(self, pool: str) -> bool:
        """Return whether sends to nearly full upstreams of ``pool`` are reserved."""

    def room(self, pool: str, upstream: str, rank: int, now: float) -> Room | None:
        """Return the room of an upstream for ``rank``; None if it is not known."""

    def heard_fraction(self, now: float) -> float:
        """Return the fraction of gateways whose reports arrive, this one included."""

    def rooms(
        self, pool: str, rank: int, most: int, now: float
    ) -> tuple[list[Room], float]:
        """Return the rooms of up to ``most`` usable upstreams of ``pool`` for ``rank``.

        The number is how many upstreams of the pool each of them stands for.
        """


@dataclass(slots=True)
class ReservationCounts:
    """Sends of this gateway: reserved, refused by an owner, decided without one."""

    granted: int = 0
    refused: int = 0
    alone: int = 0


class ReservationClient:
    """Divides what is left of upstreams among the gateways of the fleet.

    ``gateways`` returns among how many gateways the capacity is divided.
    """

    def __init__(
        self,
        name: str,
        transport: Transport,
        fleet: FleetView,
        view: CapacityView,
        gateways: Callable[[], int],
    ) -> None:
        self._name = name
        self._transport = transport
        self._fleet = fleet
        self._view = view
        self._gateways = gateways
        self.owners = CapacityOwners()
        self._owner_log = ReservationOwnerLog(self.owners)
        self._owned = OwnedLedgers(name, self.owners, view)
        self._seqs = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Verdict]] = {}
        # By owner: asks in a row without an answer, and until when it is not asked.
        self._misses: dict[str, int] = {}
        self._skipped_until: dict[str, float] = {}
        # By upstream and rank: until when, and for how many tokens, it was refused.
        self._refused: dict[tuple[str, int], tuple[float, int]] = {}
        self._sent_alone: dict[str, float] = {}
        self._means: dict[tuple[str, int], Amount] = {}
        self._free: dict[tuple[str, int], tuple[float, float]] = {}
        self.counts = ReservationCounts()
        transport.on(ReserveAsk, self._on_ask)
        transport.on(Reserved, self._on_answer)
        transport.on(Granted, self._on_granted)

    def start(self, now: float) -> None:
        """Start answering asks; the transport must be ready to send."""
        self._owned.start(now)

    async def reserve(self, pool: str, upstream: str, need: Need, free: float) -> bool:
        """Return whether ``need`` may be sent to ``upstream`` now."""
        if not self._view.reserves(pool):
            return True
        now, amount = _now(), amount_of(need)
        self._note_need(pool, need.rank, amount)
        room = self._view.room(pool, upstream, need.rank, now)
        if room is None or not is_near(room, amount, free, self._gateways()):
            return True
        until, tokens = self._refused.get((upstream, need.rank), (0.0, 0))
        if now < until and need.kv_tokens >= tokens:
            return False
        verdict = await self._ask_owners(self._make_ask(pool, upstream, need))
        if verdict is None:
            self.counts.alone += 1
            return self._take_part(pool, upstream, need, amount)
        if verdict.granted:
            self.counts.granted += 1
            return True
        self.counts.refused += 1
        self._refused[upstream, need.rank] = _now() + verdict.after_s, need.kv_tokens
        return False

    def free_requests(self, pool: str, rank: int, now: float) -> float:
        """Return how many mean requests of ``rank`` fit in the pool now."""
        key = pool, rank
        at, free = self._free.get(key, (-FREE_TTL_S, 0.0))
        if now >= at + FREE_TTL_S:
            mean = self._means.get(key, Amount(1.0))
            rooms, weight = self._view.rooms(pool, rank, FREE_SAMPLE, now)
            free = weight * sum(room.count(mean) // 1.0 for room in rooms)
            self._free[key] = now, free
        return free

    def _note_need(self, pool: str, rank: int, amount: Amount) -> None:
        known = self._means.get((pool, rank))
        if known is None:
            if len(self._means) < MAX_MEANS:
                self._means[pool, rank] = amount
            return
        self._means[pool, rank] = Amount(
            known.requests + MEAN_SMOOTHING * (amount.requests - known.requests),
            known.kv_tokens + MEAN_SMOOTHING * (amount.kv_tokens - known.kv_tokens),
            known.unshared_tokens
            + MEAN_SMOOTHING * (amount.unshared_tokens - known.unshared_tokens),
        )

    async def _ask_owners(self, ask: ReserveAsk) -> Verdict | None:
        """Ask the owners in order; return None if none answers in time."""
        self.owners.update(self._fleet())
        until = _now() + TIMEOUT_S
        for owner in self.owners.of(ask.upstream):
            if owner.name == self._name:
                verdict = self._decide(ask)
            elif _now() < self._skipped_until.get(owner.name, 0.0):
                continue
            else:
                wait_s = min(FIRST_TIMEOUT_S, until - _now())
                verdict = await self._ask(owner, ask, wait_s)
            if verdict is not None:
                self._note_owner(ask.upstream, owner.name)
                return verdict
        self._note_owner(ask.upstream, "")
        return None

    def _note_owner(self, upstream: str, name: str) -> None:
        """Log that ``name`` decides, unless only one answer of an owner is missing."""
        for owner in self.owners.of(upstream):
            if owner.name == name:
                break
            if 0 < self._misses.get(owner.name, 0) < MISSES_BEFORE_SKIP:
                return
        self._owner_log.note(upstream, name)

    def _make_ask(self, pool: str, upstream: str, need: Need) -> ReserveAsk:
        return ReserveAsk(
            self._name,
            next(self._seqs),
            pool,
            upstream,
            need.rank,
            need.kv_tokens,
            round(amount_of(need).unshared_tokens),
            need.requests,
        )

    async def _ask(
        self, owner: GatewayPeer, ask: ReserveAsk, wait_s: float
    ) -> Verdict | None:
        answer: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._pending[ask.seq] = answer
        try:
            self._transport.send(ask, (owner,))
            await asyncio.wait((answer,), timeout=wait_s)
        finally:
            del self._pending[ask.seq]
        if answer.done():
            self._misses.pop(owner.name, None)
            return answer.result()
        misses = self._misses[owner.name] = self._misses.get(owner.name, 0) + 1
        if misses >= MISSES_BEFORE_SKIP:
            self._skipped_until[owner.name] = _now() + SKIP_S
        return None

    def _take_part(self, pool: str, upstream: str, need: Need, amount: Amount) -> bool:
        """Return whether a send is within this gateway's equal part, without owner."""
        now = _now()
        room = self._view.room(pool, upstream, need.rank, now)
        if room is None or not room.fits(amount):
            return False
        if now < self._sent_alone.get(upstream, 0.0) + PART_INTERVAL_S:
            return False
        gateways = max(self._gateways(), len(self.owners))
        position = self.owners.position(upstream)
        if own_count(room, amount) + 1 > equal_part(room, amount, position, gateways):
            return False
        self._sent_alone[upstream] = now
        return True

    def _on_ask(self, ask: ReserveAsk) -> None:
        self.owners.update(self._fleet())
        asker = self.owners.peer(ask.gateway)
        verdict = None if asker is None else self._decide(ask)
        if asker is not None and verdict is not None:
            after_ms = round(verdict.after_s * MS_PER_S)
            answer = Reserved(self._name, ask.seq, verdict.granted, after_ms)
            self._transport.send(answer, (asker,))

    def _decide(self, ask: ReserveAsk) -> Verdict | None:
        """Decide as an owner; tell the other owner if it may be granting as well."""
        verdict = self._owned.ask(ask, _now())
        if verdict is not None and verdict.granted:
            other = self._owned.other_owner(ask.upstream, _now())
            if other is not None:
                self._transport.send(Granted(ask), (other,))
        return verdict

    def _on_granted(self, granted: Granted) -> None:
        self.owners.update(self._fleet())
        self._owned.record(granted.ask, _now())

    def _on_answer(self, answer: Reserved) -> None:
        pending = self._pending.get(answer.seq)
        if pending is not None and not pending.done():
            after_s = max(0.0, answer.after_ms / MS_PER_S)
            pending.set_result(Verdict(answer.granted, min(SKIP_S, after_s)))


class OwnedLedgers:
    """The ledgers of the upstreams that this gateway owns, or stands in for."""

    def __init__(self, name: str, owners: CapacityOwners, view: CapacityView) -> None:
        self._name = name
        self._owners = owners
        self._view = view
        self._ledgers: dict[str, Ledger] = {}
        # By upstream: since when this gateway stands in, and when it was last asked.
        self._standing_in: dict[str, tuple[float, float]] = {}
        # By upstream: when the other owner last told of a grant.
        self._told_at: dict[str, float] = {}
        self._ready_at: float | None = None

    def start(self, now: float) -> None:
        """Start to decide, once the reports of all gateways have arrived."""
        self._ready_at = now + STARTUP_S

    def ask(self, ask: ReserveAsk, now: float) -> Verdict | None:
        """Decide on a send; None if this gateway can't."""
        need = ask.need()
        if need is None or self._ready_at is None or now < self._ready_at:
            return None
        room = self._view.room(ask.pool, ask.upstream, need.rank, now)
        if room is None:
            return None
        room = room.part(self._view.heard_fraction(now))
        if self._is_new_stand_in(ask.upstream, now):
            room = room.half()
        ledger = self._ledger(ask.upstream, now)
        return ledger.ask(ask.gateway, ask.seq, need, room, now)

    def record(self, ask: ReserveAsk, now: float) -> None:
        """Record a grant of the other owner."""
        need = ask.need()
        if need is not None and self._owners.is_owner(self._name, ask.upstream):
            self._told_at[ask.upstream] = now
            self._ledger(ask.upstream, now).record(ask.gateway, ask.seq, need, now)

    def other_owner(self, upstream: str, now: float) -> GatewayPeer | None:
        """Return the other owner if it has to know of a grant.

        The first owner has to, as others still reach it, and the second one while it
        grants as well.
        """
        if self._is_first(upstream):
            if now >= self._told_at.get(upstream, -math.inf) + STAND_IN_PAUSE_S:
                return None
        owners = self._owners.of(upstream)
        return next((owner for owner in owners if owner.name != self._name), None)

    def _ledger(self, upstream: str, now: float) -> Ledger:
        if upstream not in self._ledgers:
            self._drop_empty(now)
            self._ledgers[upstream] = Ledger()
        return self._ledgers[upstream]

    def _is_first(self, upstream: str) -> bool:
        owners = self._owners.of(upstream)
        return bool(owners) and owners[0].name == self._name

    def _is_new_stand_in(self, upstream: str, now: float) -> bool:
        """Whether the first owner may have granted sends that are not reported yet."""
        if self._is_first(upstream):
            return False
        since, asked_at = self._standing_in.get(upstream, (now, now))
        if now > asked_at + STAND_IN_PAUSE_S:
            since = now
        self._standing_in[upstream] = since, now
        return now < since + STAND_IN_S

    def _drop_empty(self, now: float) -> None:
        """Drop the state of upstreams about which nothing was asked for a while."""
        for upstream, ledger in list(self._ledgers.items()):
            if ledger.is_empty(now):
                del self._ledgers[upstream]
        past = now - STAND_IN_PAUSE_S
        self._told_at = {u: at for u, at in self._told_at.items() if at > past}
        self._standing_in = {
            u: times for u, times in self._standing_in.items() if times[1] > past
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
