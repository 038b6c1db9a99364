"""The speeds of all upstreams, as this process knows them.

One object per process; no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from gooseberrydale.version.speeds.messages import (
    PoolReport,
    Ratios,
    Statement,
    pool_key,
    upstream_key,
)
from gooseberrydale.version.speeds.outbox import Outbox
from gooseberrydale.version.speeds.pool_rates import (
    UNKNOWN,
    Rates,
    is_duration,
)
from gooseberrydale.version.speeds.pool_speeds import PoolSpeeds
from gooseberrydale.version.speeds.speed import NEUTRAL, Prefill, Speed
from gooseberrydale.version.speeds.stated_slowness import MAX_SLOWNESS, MIN_SLOWNESS

__all__ = ["Prefill", "UpstreamSpeeds"]

MIN_REPORTED_CHANGE = math.log(1.1)
"""Smallest difference between a statement and what is assumed, as a logarithm, at which
it is reported; less does not change a choice."""

MAX_PEER_POOLS = 64
"""Pools of which the reports of others are kept."""

MAX_RATE_REPORTERS = 32
"""Gateways whose rates of a pool are kept; the median of more is hardly better."""

PEER_RATES_TTL_S = 120.0
"""How long the rates of another gateway are kept.  In a zone of 117 gateways each
reports its rates once a minute."""


class UpstreamSpeeds:
    """Learns speeds from answers; times are seconds of the event loop's clock.

    A pool is learned about once one of its upstreams has stated how slow it is, here or
    to another gateway; with ``all_pools``, from the start.
    """

    def __init__(self, *, all_pools: bool = False) -> None:
        self._all_pools = all_pools
        self._pools: dict[str, PoolSpeeds] = {}
        # What other gateways report and when, by the key of the pool and by gateway,
        # the newest last.
        self._peer_rates: dict[int, dict[str, tuple[Rates, float]]] = {}
        # Upstreams by their key in reports.
        self._upstreams: dict[int, tuple[str, str]] = {}
        self._pool_keys: dict[str, int] = {}
        self._outboxes: tuple[Outbox, ...] = ()

    def report_to(self, *outboxes: Outbox) -> None:
        """Report what is observed from now on to ``outboxes``."""
        self._outboxes = outboxes

    def is_on(self, pool: str) -> bool:
        """Whether speeds of ``pool`` are learned and used."""
        if self._all_pools or pool in self._pools:
            return True
        if self._peer_rates and self._key_of(pool) in self._peer_rates:
            self._pool(pool)
            return True
        return False

    @property
    def any_on(self) -> bool:
        """Whether speeds of any pool are learned and used."""
        return bool(self._all_pools or self._pools or self._peer_rates)

    def stated(self, pool: str, upstream: str, slowness: float, now: float) -> None:
        """Record how slow an upstream states to be now, 1.0 as usual."""
        if not math.isfinite(slowness) or slowness <= 0.0:
            return
        key = self._register(pool, upstream)
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        statement = Statement(key, bounded, now)
        change = self._state(pool, upstream, statement, now)
        if change is not None:
            for outbox in self._outboxes:
                outbox.add_statement(statement, change)

    def first_event(
        self, pool: str, upstream: str, prefill: Prefill, took_s: float, now: float
    ) -> None:
        """Record that a prompt's first event came ``took_s`` after it was sent."""
        if not self.is_on(pool) or not is_duration(took_s) or not _is_valid(prefill):
            return
        key = self._register(pool, upstream)
        known = self._pool(pool)
        self._report(key, known.prompt_answered(upstream, prefill, took_s, now))

    def service_ended(
        self, pool: str, upstream: str, took_s: float, now: float
    ) -> None:
        """Record that a service without a model answered after ``took_s``."""
        if not self.is_on(pool) or not is_duration(took_s):
            return
        key = self._register(pool, upstream)
        self._report(key, self._pool(pool).service_answered(upstream, took_s, now))

    def forget(self, upstream: str) -> None:
        """Drop what was learned about an incarnation that has ended."""
        for pool, known in self._pools.items():
            if known.knows(upstream):
                known.forget(upstream)
                key = upstream_key(pool, upstream)
                self._upstreams.pop(key, None)
                for outbox in self._outboxes:
                    outbox.forget(key)

    def of(self, pool: str, upstream: str, now: float) -> Speed:
        """Return the speed of an upstream."""
        known = self._pools.get(pool)
        if known is None:
            if not self.is_on(pool):
                return NEUTRAL
            known = self._pool(pool)
        if not known.knows(upstream):
            self._register(pool, upstream)
        return known.of(upstream, now)

    def weights(self, pool: str) -> Mapping[str, float]:
        """Return the weights of upstreams that differ from 1.

        The object is the same until a weight changes.
        """
        known = self._pools.get(pool)
        return _NO_WEIGHTS if known is None else known.weights

    def samples(self, pool: str, upstream: str) -> int:
        """Return how many answers the factor of an upstream is learned from."""
        known = self._pools.get(pool)
        return 0 if known is None else known.samples(upstream)

    def factors(self) -> dict[str, float]:
        """Return the learned speed of each upstream, relative to its pool's mean."""
        return {
            name: factor
            for pool in self._pools.values()
            for name, factor in pool.factors().items()
        }

    def own_rates(self) -> Iterable[PoolReport]:
        """Return the rates of each pool that this gateway itself observed."""
        for pool, known in self._pools.items():
            yield PoolReport(self._key_of(pool), known.own_rates)

    def peer_rates(self, gateway: str, report: PoolReport, now: float) -> None:
        """Record the rates of a pool that another gateway observed."""
        reporters = self._peer_rates.get(report.key)
        if reporters is None:
            if len(self._peer_rates) >= MAX_PEER_POOLS:
                return
            reporters = self._peer_rates[report.key] = {}
        reporters.pop(gateway, None)
        if report.rates != UNKNOWN:
            reporters[gateway] = report.rates, now
        excess = len(reporters) - MAX_RATE_REPORTERS
        for number, (name, (_, at)) in enumerate(list(reporters.items())):
            if number < excess or at < now - PEER_RATES_TTL_S:
                del reporters[name]
        for pool, known in self._pools.items():
            if self._key_of(pool) == report.key:
                known.use_peer_rates([rates for rates, _ in reporters.values()])

    def peer_stated(self, statement: Statement, now: float) -> float | None:
        """Record what an upstream stated to another gateway.

        Return the difference to what was assumed, as a logarithm; None if it is small,
        older than what is known, or of an upstream that was not met here.
        """
        names = self._upstreams.get(statement.key)
        return None if names is None else self._state(*names, statement, now)

    def peer_ratios(self, ratios: Ratios) -> bool:
        """Record ratios that others observed; return False if none is used.

        Upstreams become known here with the first request of their pool.
        """
        names = self._upstreams.get(ratios.key)
        if names is None or not ratios.values:
            return False
        pool, upstream = names
        for value in ratios.values:
            self._pool(pool).add_ratio(upstream, value)
        return True

    def _state(
        self, pool: str, upstream: str, statement: Statement, now: float
    ) -> float | None:
        known = self._pool(pool)
        assumed = known.slowness(upstream, now)
        if not known.state(upstream, statement.slowness, statement.at):
            return None
        change = abs(math.log(statement.slowness / assumed))
        return change if change >= MIN_REPORTED_CHANGE else None

    def _report(self, key: int, ratio: float | None) -> None:
        if ratio is not None:
            for outbox in self._outboxes:
                outbox.add_ratios(key, (ratio,))

    def _pool(self, pool: str) -> PoolSpeeds:
        known = self._pools.get(pool)
        if known is None:
            known = self._pools[pool] = PoolSpeeds()
            reported = self._peer_rates.get(self._key_of(pool), {})
            known.use_peer_rates([rates for rates, _ in reported.values()])
        return known

    def _register(self, pool: str, upstream: str) -> int:
        """Return the key of an upstream, under which reports of others find it."""
        key = upstream_key(pool, upstream)
        self._upstreams[key] = pool, upstream
        return key

    def _key_of(self, pool: str) -> int:
        key = self._pool_keys.get(pool)
        if key is None:
            key = self._pool_keys[pool] = pool_key(pool)
        return key


def _is_valid(prefill: Prefill) -> bool:
    return prefill.own > 0 and prefill.fetched >= 0 and 0.0 <= prefill.ahead < math.inf


_NO_WEIGHTS: Mapping[str, float] = {}
