"""Estimates the load and speed of upstreams from what an entry has received.

Load reports come with replies and are soon outdated. Between two reports the entry adds
the work it has sent itself, and lets the reported queue time decay towards the pool's
mean, so that an upstream that was once reported busy is tried again. Pure; part of the
router's state.
"""

from __future__ import annotations

import math

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Load

DEFAULT_PREFILL_TPS = 8_000.0
REPORT_DECAY_S = 2.0
MEAN_SMOOTHING = 0.05
# A report was sent one network transfer ago and lacks the work sent since then.
REPORT_LAG_S = 0.01
MAX_PENDING_AGE_S = 10.0
AVOID_S = 5.0
AVOID_COST_S = 10.0
INITIAL_CACHE_TTL_S = 20.0
MIN_CACHE_TTL_S = 1.0
MAX_CACHE_TTL_S = 300.0
TTL_GROWTH = 1.1
TTL_SHRINK = 0.6
# Minimum fraction of the expected cached tokens that counts as a cache hit; both counts
# are estimates.
CACHE_HIT_FRACTION = 0.7
MAX_ESTIMATES = 4_096


class PoolMean:
    """Smoothed means of the load reports of one pool, for values that are unknown."""

    def __init__(self) -> None:
        self.queue_s = 0.0
        self.prefill_tps = DEFAULT_PREFILL_TPS

    def add(self, load: Load) -> None:
        """Update the means with one report."""
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
        self._avoided_until = -math.inf
        self.cache_ttl_s = INITIAL_CACHE_TTL_S

    def matches(self, record: UpstreamRecord) -> bool:
        """Whether the estimate is for the incarnation that ``record`` announces."""
        return self._identity == identity(record)

    @property
    def prefill_tps(self) -> float:
        """Prefill rate in tokens a second."""
        return self._load.prefill_tps or self._mean.prefill_tps

    @property
    def pool_queue_s(self) -> float:
        """Mean queue time in the upstream's pool, in seconds."""
        return self._mean.queue_s

    def queue_s(self, now: float) -> float:
        """Expected queue time of a request sent now, in seconds."""
        self._drop_pending(now - MAX_PENDING_AGE_S)
        report_weight = math.exp(min(0.0, self._reported_at - now) / REPORT_DECAY_S)
        reported = (
            report_weight * self._load.queue_s
            + (1 - report_weight) * self._mean.queue_s
        )
        avoid_cost_s = AVOID_COST_S if now < self._avoided_until else 0.0
        return reported + self._pending_tokens / self.prefill_tps + avoid_cost_s

    def sent(self, serial: int, uncached_tokens: int, now: float) -> None:
        """Add work that the next reports may lack; ``serial`` identifies it."""
        self._pending[serial] = (now, uncached_tokens)
        self._pending_tokens += uncached_tokens

    def answered(self, serial: int) -> None:
        """Stop counting work that was answered: the reported load includes it."""
        pending = self._pending.pop(serial, None)
        if pending is not None:
            self._pending_tokens -= pending[1]

    def report(self, load: Load, now: float) -> None:
        """Record a load report that was received just now."""
        self._load = load
        self._reported_at = now
        self._drop_pending(now - REPORT_LAG_S)
        self._mean.add(load)

    def avoid(self, now: float) -> None:
        """Avoid the upstream for a while, whatever load it reports.

        An upstream that can't work refuses at once, so its reported load looks like
        that of an idle one.
        """
        self._avoided_until = now + AVOID_S

    def accepted(self) -> None:
        """Stop avoiding the upstream: it has accepted work."""
        self._avoided_until = -math.inf

    def observe_cached(self, expected_tokens: int, cached_tokens: int) -> None:
        """Adapt the cache lifetime to whether an expected prefix was still cached."""
        hit = cached_tokens >= CACHE_HIT_FRACTION * expected_tokens
        factor = TTL_GROWTH if hit else TTL_SHRINK
        ttl_s = self.cache_ttl_s * factor
        self.cache_ttl_s = min(MAX_CACHE_TTL_S, max(MIN_CACHE_TTL_S, ttl_s))

    def _drop_pending(self, before: float) -> None:
        while self._pending:
            serial, (sent_at, _) = next(iter(self._pending.items()))
            if sent_at > before:
                return
            self.answered(serial)


class Estimates:
    """Estimates of all upstreams that requests were considered for, by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, Estimate] = {}
        self._means: dict[str, PoolMean] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, record: UpstreamRecord) -> Estimate:
        """Return the estimate for this incarnation; creates it if needed."""
        estimate = self._by_name.get(record.name)
        if estimate is None or not estimate.matches(record):
            mean = self._means.setdefault(record.pool, PoolMean())
            estimate = self._by_name[record.name] = Estimate(record, mean)
            if len(self._by_name) > MAX_ESTIMATES:
                del self._by_name[next(iter(self._by_name))]
        return estimate

    def find(self, record: UpstreamRecord) -> Estimate | None:
        """Return the estimate for this incarnation; None if a later one is known.

        For updates from replies, which may arrive after the upstream has restarted.
        """
        estimate = self._by_name.get(record.name)
        if estimate is None:
            return self.get(record)
        return estimate if estimate.matches(record) else None


def identity(record: UpstreamRecord) -> tuple[str, str, str]:
    """Return the incarnations and weights that a cached prefix depends on."""
    return record.incarnation, record.upstream_incarnation, record.weights_version
