"""What the upstreams of each pool may hold and what they hold, as seen here."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from gooseberrydale.connection.gateway_datagrams import FleetView
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.version.capacity.limits import unshared_fraction
from gooseberrydale.version.capacity.room import Amount, Room
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.peer_loads import Totals
from gooseberrydale.version.upstream_load import Load


class PoolRooms:
    """The rooms of the announced upstreams; ``pools`` returns the declared pools."""

    def __init__(
        self,
        upstreams: Upstreams,
        pools: Callable[[], Mapping[str, Pool]],
        fleet: FleetView,
    ) -> None:
        self._upstreams = upstreams
        self._pools = pools
        self._fleet = fleet

    def reserves(self, pool: str) -> bool:
        """Return whether sends to nearly full upstreams of ``pool`` are reserved."""
        return self._upstreams.sharing.reserves(pool)

    def room(self, pool: str, upstream: str, rank: int, now: float) -> Room | None:
        """Return the room of an upstream for ``rank``; None if it is not known."""
        declared = self._pools().get(pool)
        record = self._upstreams.record(upstream, now)
        if declared is None or record is None or record.pool != pool:
            return None
        return self._room(declared, record, rank, now)

    def heard_fraction(self, now: float) -> float:
        """Return the fraction of the gateways whose reports arrive, this one counted.

        Those of other zones count as heard while the sums of any zone arrive.
        """
        fleet = self._fleet()
        near = sum(1 for peer in fleet.near if self._upstreams.hears(peer.name))
        far = len(fleet.others) - len(fleet.near)
        heard = 1 + near + (far if self._upstreams.hears_areas else 0)
        return heard / (1 + len(fleet.others))

    def rooms(
        self, pool: str, rank: int, most: int, now: float
    ) -> tuple[list[Room], float]:
        """Return the rooms of up to ``most`` usable upstreams of ``pool`` for ``rank``.

        The number is how many upstreams of the pool each of them stands for.
        """
        declared = self._pools().get(pool)
        records = self._upstreams.records(pool, now)
        if declared is None or not records:
            return [], 0.0
        if len(records) > most:
            sample = self._upstreams.rng.sample(records, most)
        else:
            sample = list(records)
        usable = (r for r in sample if self._upstreams.is_usable(r, now))
        rooms = [self._room(declared, record, rank, now) for record in usable]
        return rooms, len(records) / len(sample)

    def _room(self, pool: Pool, record: UpstreamRecord, rank: int, now: float) -> Room:
        upstreams, size = self._upstreams, pool.engine
        slots = record.slots or (size.slots if size else 0)
        limit = Amount(slots or math.inf, math.inf, math.inf)
        if size is not None and size.kv_tokens:
            fraction = upstreams.capacity.fraction(pool.name)
            limit = Amount(
                slots or math.inf,
                size.kv_tokens * fraction,
                size.kv_tokens * unshared_fraction(rank),
            )
        ranked = rank if upstreams.sharing.ranks_loads(pool) else None
        own = upstreams.load_of(record.name).load(now, Totals(), rank=ranked)
        used = upstreams.load_at(record.name, now, ranked)
        return Room(limit, _amount(used), _amount(own))


def _amount(load: Load) -> Amount:
    return Amount(load.requests, load.kv_tokens, load.unshared_tokens)
