"""The two example deployments at their present sizes: processes, flags and loads.

All engines are instances of the example engine.  Their cache sizes are such that all of
them together can hold about all prefixes in use, while a single one cannot, so that the
placement of requests matters.  All processes share one machine, so zones differ only in
name.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from measure.workload import Shape

PREFILL_TPS = 20_000.0
DECODE_S = 0.01
MAX_BATCH = 8
CACHE_TTL_S = 20.0
EVENT_DELAY_S = 0.2
EVENT_DROP_RATE = 0.01
LOAD_LAG_S = 0.3


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment: its pools, zones and load; ``cache_tokens`` is per engine."""

    name: str
    zones: tuple[str, ...]
    engine_pool: str
    engines: int
    service_pool: str
    services: int
    entries: int
    loads_at_once: int
    cache_tokens: int
    waste_weight: float
    deadline_s: float
    shape: Shape = field(default_factory=Shape)

    def engine_flags(self, number: int) -> tuple[str, ...]:
        """Return the flags of one example engine."""
        flags: dict[str, object] = {
            "--prefill-tps": PREFILL_TPS,
            "--decode-s": DECODE_S,
            "--max-batch": MAX_BATCH,
            "--cache-tokens": self.cache_tokens,
            "--cache-ttl-s": CACHE_TTL_S,
            "--event-delay-s": EVENT_DELAY_S,
            "--event-drop-rate": EVENT_DROP_RATE,
            "--load-lag-s": LOAD_LAG_S,
            "--seed": number,
        }
        return tuple(str(item) for flag in flags.items() for item in flag)


FRASERLINE = Deployment(
    name="Fraserline",
    zones=("zone-1", "zone-2", "zone-3", "zone-4"),
    engine_pool="summaries",
    engines=5,
    service_pool="bids",
    services=4,
    entries=3,
    loads_at_once=2,
    cache_tokens=120_000,
    waste_weight=1.0,
    deadline_s=10.0,
    shape=Shape(),
)

RED_CLAY = Deployment(
    name="Red Clay",
    zones=("north", "middle", "south"),
    engine_pool="helpers",
    engines=9,
    service_pool="inventory",
    services=3,
    entries=2,
    loads_at_once=3,
    cache_tokens=100_000,
    waste_weight=2.0,
    deadline_s=10.0,
    shape=Shape(guide_tokens=24_000, lots=12, lot_tokens=4_000, hot_share=0.2),
)

DEPLOYMENTS = {"fraserline": FRASERLINE, "red-clay": RED_CLAY}
