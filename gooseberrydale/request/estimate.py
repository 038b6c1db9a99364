"""What an entry believes of an upstream's load and speed.

Reports come on replies and age at once.  Between two reports the entry adds what it
has sent itself, and lets the reported wait drift towards the pool's mean, so that an
upstream once reported busy is tried again.  Pure; a part of the router's state.
"""

from __future__ import annotations

import math

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Load

DEFAULT_PREFILL_TPS = 8_000.0
DRIFT_S = 2.0
MEAN_SMOOTHING = 0.05
# A report left its sidecar a transfer ago and lacks what was sent meanwhile.
REPORT_LAG_S = 0.01
PENDING_KEPT_S = 10.0
SHUN_S = 5.0
SHUN_COST_S = 10.0
FIRST_CACHE_TTL_S = 20.0
MIN_CACHE_TTL_S = 1.0
MAX_CACHE_TTL_S = 300.0
TTL_GROWTH = 1.1
TTL_SHRINK = 0.6
# Token counts are estimates on both sides.
KEPT_PART = 0.7
MAX_ESTIMATES = 4_096


class PoolMean:
    """Smoothed means over the reports of one pool; stand in for unknown values."""

    def __init__(self) -> None:
        self.queue_s = 0.0
        self.prefill_tps = DEFAULT_PREFILL_TPS

    def add(self, load: Load) -> None:
        """Take one report in."""
        self.queue_s += MEAN_SMOOTHING * (load.queue_s - self.queue_s)
        if load.prefill_tps > 0:
            self.prefill_tps += MEAN_SMOOTHING * (load.prefill_tps - self.prefill_tps)


class Estimate:
    """Load, speed and cache lifetime of one incarnation of an upstream."""

    def __init__(self, record: UpstreamRecord, mean: PoolMean) -> None:
        self._identity = identity(record)
        self._mean = mean
        self._load = Load()
        self._reported_at = -math.inf
        self._pending: dict[int, tuple[float, int]] = {}
        self._pending_tokens = 0
        self._shunned_until = -math.inf
        self.cache_ttl_s = FIRST_CACHE_TTL_S

    def fits(self, record: UpstreamRecord) -> bool:
        """Whether this is still about the incarnation that ``record`` announces."""
        return self._identity == identity(record)

    @property
    def prefill_tps(self) -> float:
        """Prefill rate in tokens a second."""
        return self._load.prefill_tps or self._mean.prefill_tps

    @property
    def pool_queue_s(self) -> float:
        """Mean wait in the upstream's pool, in seconds."""
        return self._mean.queue_s

    def queue_s(self, now: float) -> float:
        """Expected wait of a request sent now, in seconds."""
        self._drop_pending(now - PENDING_KEPT_S)
        kept = math.exp(min(0.0, self._reported_at - now) / DRIFT_S)
        reported = kept * self._load.queue_s + (1 - kept) * self._mean.queue_s
        shunned = SHUN_COST_S if now < self._shunned_until else 0.0
        return reported + self._pending_tokens / self.prefill_tps + shunned

    def sent(self, serial: int, uncached_tokens: int, now: float) -> None:
        """Count work that the next reports may lack; ``serial`` names it."""
        self._pending[serial] = (now, uncached_tokens)
        self._pending_tokens += uncached_tokens

    def answered(self, serial: int) -> None:
        """Stop counting work whose own answer came: its load includes the work."""
        pending = self._pending.pop(serial, None)
        if pending is not None:
            self._pending_tokens -= pending[1]

    def report(self, load: Load, now: float) -> None:
        """Take a load report that came just now."""
        self._load = load
        self._reported_at = now
        self._drop_pending(now - REPORT_LAG_S)
        self._mean.add(load)

    def shun(self, now: float) -> None:
        """Avoid the upstream for a while, whatever load it reports.

        One that can't work refuses at once and looks idle, so load says nothing.
        """
        self._shunned_until = now + SHUN_S

    def accepted(self) -> None:
        """Avoid the upstream no longer: it took work."""
        self._shunned_until = -math.inf

    def found_cached(self, expected_tokens: int, found_tokens: int) -> None:
        """Learn how long this upstream's cache lasts from a kept or lost prefix."""
        kept = found_tokens >= KEPT_PART * expected_tokens
        factor = TTL_GROWTH if kept else TTL_SHRINK
        ttl_s = self.cache_ttl_s * factor
        self.cache_ttl_s = min(MAX_CACHE_TTL_S, max(MIN_CACHE_TTL_S, ttl_s))

    def _drop_pending(self, before: float) -> None:
        while self._pending:
            serial, (sent_at, _) = next(iter(self._pending.items()))
            if sent_at > before:
                return
            self.answered(serial)


class Estimates:
    """Estimates of all upstreams that were met, by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, Estimate] = {}
        self._means: dict[str, PoolMean] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, record: UpstreamRecord) -> Estimate:
        """Return the estimate for this incarnation of the upstream, a new one if
        needed."""
        found = self._by_name.get(record.name)
        if found is None or not found.fits(record):
            mean = self._means.setdefault(record.pool, PoolMean())
            found = self._by_name[record.name] = Estimate(record, mean)
            if len(self._by_name) > MAX_ESTIMATES:
                del self._by_name[next(iter(self._by_name))]
        return found

    def find(self, record: UpstreamRecord) -> Estimate | None:
        """Return the estimate for this incarnation, None if a later one is known.

        For what is learnt from replies, which may come late.
        """
        found = self._by_name.get(record.name)
        if found is None:
            return self.get(record)
        return found if found.fits(record) else None


def identity(record: UpstreamRecord) -> tuple[str, str, str]:
    """Return what a view of the upstream is bound to."""
    return record.incarnation, record.upstream_incarnation, record.weights_version
