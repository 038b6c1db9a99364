"""Speeds of the upstreams of one pool.  No I/O."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from statistics import fmean, median

from gooseberrydale.version.speeds.pool_rates import (
    UNKNOWN,
    Rates,
    RateSamples,
    median_rates,
)
from gooseberrydale.version.speeds.speed import NEUTRAL, Prefill, Speed
from gooseberrydale.version.speeds.stated_slowness import SpellLengths, StatedSlowness

MIN_FACTOR, MAX_FACTOR = 0.2, 5.0
"""Bounds of an upstream's speed relative to its pool."""

MAX_LOG_RATIO = math.log(MAX_FACTOR)

RATIO_WINDOW = 61
"""Ratios that a factor is the median of.  A busy upstream answers so often in nine
seconds.  With half as many, a few slow spells in a row fill much of a window."""

PRIOR_RATIOS = 2
"""Ratios of 1 that each upstream starts with: three of its own outweigh them, one or
two don't."""

MAX_QUEUED_FRACTION = 0.5
"""Part of the expected time that may be queueing in an answer that gives a ratio.  The
queue ahead is an upper bound; with more of it, busy upstreams would seem fast."""

MAX_FETCH_FRACTION = 0.5
"""Part of the expected time that may be a fetch in an answer that gives a ratio."""

MIN_TIME_FRACTION = 0.1
"""Part of the time that is left to the engine at least if a fetch was expected to take
longer than the whole answer."""

OWN_VOTES = 2
"""How often the own rates of a pool count beside those of each other gateway."""

REFRESH_S = 0.25
REFRESH_PER_UPSTREAM_S = 0.001
"""Interval between two computations of rates and factors, and the least time for each
upstream, which bounds the processor time that computations take.  Rates and factors
change within seconds."""

DECAY_STEP_S = 0.02
"""How long a speed with a decaying slowness is reused: it changes by some percent."""

WEIGHT_STEP = 1.25
"""Ratio between two neighbouring weights; a change by one step moves a fifth of an
upstream's prefixes."""

STEP_HYSTERESIS = 0.75
"""Distance in steps from the present weight at which it changes; above 0.5, so that a
factor between two steps does not move prefixes back and forth."""


class _Upstream:
    """What is known of one upstream; ``speed`` is valid until ``valid_until``."""

    __slots__ = (
        "ratios",
        "is_observed",
        "log_ratio",
        "factor",
        "step",
        "slowness",
        "speed",
        "valid_until",
    )

    def __init__(self) -> None:
        self.ratios = deque([0.0] * PRIOR_RATIOS, maxlen=RATIO_WINDOW)
        self.is_observed = False
        self.log_ratio = 0.0
        self.factor = 1.0
        self.step = 0
        self.slowness = StatedSlowness()
        self.speed = NEUTRAL
        self.valid_until = -math.inf


class PoolSpeeds:
    """Learns the rates of one pool, and each upstream's speed relative to them."""

    def __init__(self) -> None:
        self._upstreams: dict[str, _Upstream] = {}
        self._samples = RateSamples()
        self._spells = SpellLengths()
        self._changed: set[_Upstream] = set()
        self._own_rates = UNKNOWN
        self._rates = UNKNOWN
        self._peer_rates: Collection[Rates] = ()
        self._is_stale = False
        self._refresh_at = -math.inf
        self.weights: Mapping[str, float] = {}

    @property
    def own_rates(self) -> Rates:
        """The rates that this gateway itself observed."""
        return self._own_rates

    def samples(self, upstream: str) -> int:
        """Return how many answers an upstream's factor is learned from."""
        known = self._upstreams.get(upstream)
        return 0 if known is None else max(0, len(known.ratios) - PRIOR_RATIOS)

    def factors(self) -> dict[str, float]:
        """Return the factor of each upstream that was observed."""
        return {
            name: known.factor
            for name, known in self._upstreams.items()
            if known.is_observed
        }

    def knows(self, upstream: str) -> bool:
        """Whether there is state of an upstream."""
        return upstream in self._upstreams

    def forget(self, upstream: str) -> None:
        """Drop what was learned about an upstream."""
        known = self._upstreams.pop(upstream, None)
        if known is not None:
            self._changed.discard(known)
            self._is_stale = True

    def slowness(self, upstream: str, now: float) -> float:
        """Return the slowness that is assumed of an upstream at ``now``."""
        known = self._upstreams.get(upstream)
        return 1.0 if known is None else known.slowness.at(now, self._spells)

    def state(self, upstream: str, slowness: float, at: float) -> bool:
        """Record a statement; return False if a newer one is known."""
        known = self._entry(upstream)
        is_new = known.slowness.state(slowness, at, self._spells)
        if is_new:
            known.valid_until = -math.inf
        return is_new

    def prompt_answered(
        self, upstream: str, prefill: Prefill, took_s: float, now: float
    ) -> float | None:
        """Learn from a first event; return the ratio that it gives, as a logarithm."""
        slowness = self.slowness(upstream, now)
        self._samples.add_prompt(upstream, prefill, took_s / slowness, now)
        self._is_stale = True
        expected = self._rates.prompt_s(prefill)
        if expected is None:
            return None
        computed_s = expected.own_s + expected.queued_s
        if expected.queued_s > MAX_QUEUED_FRACTION * computed_s:
            return None
        # How fast an engine computes does not change the time of a fetch.
        if expected.fetch_s > MAX_FETCH_FRACTION * (computed_s + expected.fetch_s):
            return None
        usual_s = max(took_s - expected.fetch_s, MIN_TIME_FRACTION * took_s) / slowness
        return self._observe(upstream, computed_s, usual_s)

    def service_answered(
        self, upstream: str, took_s: float, now: float
    ) -> float | None:
        """Learn from the answer of a service; return the ratio that it gives."""
        usual_s = took_s / self.slowness(upstream, now)
        self._samples.add_service(upstream, usual_s, now)
        self._is_stale = True
        expected_s = self._rates.service_run_s
        return (
            None if expected_s is None else self._observe(upstream, expected_s, usual_s)
        )

    def _observe(self, upstream: str, expected_s: float, usual_s: float) -> float:
        ratio = math.log(expected_s / usual_s)
        bounded = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, ratio))
        self.add_ratio(upstream, bounded)
        return bounded

    def add_ratio(self, upstream: str, log_ratio: float) -> None:
        """Add a ratio that was observed at an upstream, here or elsewhere."""
        known = self._entry(upstream)
        known.ratios.append(log_ratio)
        known.is_observed = True
        self._changed.add(known)
        self._is_stale = True

    def use_peer_rates(self, rates: Collection[Rates]) -> None:
        """Use the rates that other gateways report together with those seen here."""
        self._peer_rates = rates
        self._is_stale = True

    def of(self, upstream: str, now: float) -> Speed:
        """Return the speed of an upstream."""
        if self._is_stale and now >= self._refresh_at:
            self._refresh(now)
        known = self._entry(upstream)
        if now >= known.valid_until:
            self._make_speed(known, now)
        return known.speed

    def _entry(self, upstream: str) -> _Upstream:
        known = self._upstreams.get(upstream)
        if known is None:
            known = self._upstreams[upstream] = _Upstream()
        return known

    def _make_speed(self, known: _Upstream, now: float) -> None:
        rates, factor = self._rates, known.factor
        slowness = known.slowness.at(now, self._spells)
        run_s, start_s = rates.service_run_s, rates.start_s
        known.speed = Speed(
            (rates.prefill_tokens_per_s or NEUTRAL.prefill_tokens_per_s) * factor,
            (rates.own_tokens_per_s or NEUTRAL.own_tokens_per_s) * factor,
            rates.fetch_tokens_per_s or NEUTRAL.fetch_tokens_per_s,
            (NEUTRAL.service_run_s if run_s is None else run_s) / factor,
            slowness,
            WEIGHT_STEP**known.step,
            (NEUTRAL.start_s if start_s is None else start_s) / factor,
        )
        known.valid_until = math.inf if slowness == 1.0 else now + DECAY_STEP_S

    def _refresh(self, now: float) -> None:
        self._is_stale = False
        interval_s = max(REFRESH_S, REFRESH_PER_UPSTREAM_S * len(self._upstreams))
        self._refresh_at = now + interval_s
        for known in self._changed:
            known.log_ratio = median(known.ratios)
        self._changed.clear()
        self._renew_factors()
        # Without recent answers the last rates remain.
        self._own_rates = self._samples.fit(self._factor, now).or_else(self._own_rates)
        # All gateways then compare with about the same rates.  With two votes for the
        # own rates, a single wrong reporter does not decide.
        own_votes = [self._own_rates] * OWN_VOTES
        self._rates = median_rates([*own_votes, *self._peer_rates])
        for known in self._upstreams.values():
            known.valid_until = -math.inf

    def _factor(self, upstream: str) -> float:
        known = self._upstreams.get(upstream)
        return 1.0 if known is None else known.factor

    def _renew_factors(self) -> None:
        """Divide the factors by their mean, so that they can't drift with the rates."""
        observed = [known for known in self._upstreams.values() if known.is_observed]
        if not observed:
            return
        mean = fmean(math.exp(known.log_ratio) for known in observed)
        for known in observed:
            factor = math.exp(known.log_ratio) / mean
            known.factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
            steps = math.log(known.factor) / math.log(WEIGHT_STEP)
            if abs(steps - known.step) > STEP_HYSTERESIS:
                known.step = round(steps)
        weights = {
            name: WEIGHT_STEP**known.step
            for name, known in self._upstreams.items()
            if known.step
        }
        if weights != self.weights:
            self.weights = weights
