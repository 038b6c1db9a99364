"""Rates of a pool's upstreams, fitted to the times that answers took.  No I/O.

All rates are of an upstream of mean speed that works as usual.  Each is a median over
recent answers, so a single late answer changes none of them.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import median

from gooseberrydale.version.speeds.speed import NEUTRAL, Prefill

MIN_SAMPLES = 3
"""Answers from which on a rate is learned: one of them may be late.  A gateway in a
large fleet sees few large prompts, so waiting for more would take long."""

WINDOW = 31
"""Answers of each kind that a rate is fitted to: enough for a steady median, few enough
to follow a change of load."""

MAX_AGE_S = 60.0
"""Age up to which an answer counts.  Sizes of prompts that no longer occur would
otherwise mix times of an earlier load with present ones."""

UNQUEUED_FRACTION = 0.25
"""Tokens ahead, as a fraction of a prompt's own, up to which it is not queued."""

QUEUED_FRACTION = 1.0
"""Tokens ahead, as a fraction of a prompt's own, from which on a prompt teaches the
queue rate.  With fewer, the noise of its own part exceeds what the queue adds."""

MIN_QUEUED_SAMPLES = 7
MAX_QUEUED_WEIGHT = 3.0
"""Queued prompts from which on the queue rate is learned, and the largest weight of one
relative to the median.  No single prompt then has half of the weight."""

MIN_SIZE_RATIO = 2.0
"""Ratio of the largest to the smallest prompts from which on the start-up time can be
told from the time of the tokens."""

MAX_START_FRACTION = 0.5
"""Largest part of a large prompt's time that is taken for start-up.  A noisy small size
would otherwise make large prompts appear free."""

QUEUED_RATE_RATIO = NEUTRAL.prefill_tokens_per_s / NEUTRAL.own_tokens_per_s
"""Rate of queued tokens relative to own ones while no queue was observed."""

MIN_QUEUED_RATE_RATIO = 0.35
"""Smallest rate of queued tokens relative to own ones.  A lower one means that prompts
waited for something else than the tokens ahead, such as memory: taken for the rate, it
would make gateways send less to upstreams that have capacity."""

BEST_FRACTION = 0.9
MIN_BEST_RATIO = 0.5
"""The rate is at least this fraction of the one that this fraction of large prompts
stay below.  In an overload, or after caches were lost, most prompts take longer for
other reasons than the speed, and a rate learned from them would prolong it."""

MIN_RATE, MAX_RATE = 100.0, 10_000_000.0
"""Bounds of a rate in tokens per second; real engines are within them."""

MIN_START_S, MAX_START_S = 0.0, 10.0
MIN_RUN_S, MAX_RUN_S = 0.0001, 600.0
"""Bounds of the start-up time, and of the run time of a service."""


@dataclass(frozen=True, slots=True)
class Rates:
    """Rates in tokens per second and times in seconds; None if not known."""

    own_tokens_per_s: float | None = None
    prefill_tokens_per_s: float | None = None
    fetch_tokens_per_s: float | None = None
    start_s: float | None = None
    service_run_s: float | None = None

    def or_else(self, other: Rates) -> Rates:
        """Return these rates, with those of ``other`` for the ones not known.

        The rates of prompts belong together and are taken from one of the two.
        """
        prompts = self if self.own_tokens_per_s is not None else other
        fetch, run_s = self.fetch_tokens_per_s, self.service_run_s
        return Rates(
            prompts.own_tokens_per_s,
            prompts.prefill_tokens_per_s,
            fetch if fetch is not None else other.fetch_tokens_per_s,
            prompts.start_s,
            run_s if run_s is not None else other.service_run_s,
        )

    def prompt_s(self, prefill: Prefill) -> ExpectedTime | None:
        """Return the expected time of a prompt; None if the rates are not known."""
        if self.own_tokens_per_s is None:
            return None
        fetch_rate = self.fetch_tokens_per_s or NEUTRAL.fetch_tokens_per_s
        return ExpectedTime(
            (self.start_s or 0.0) + prefill.own / self.own_tokens_per_s,
            prefill.ahead / (self.prefill_tokens_per_s or self.own_tokens_per_s),
            prefill.fetched / fetch_rate,
        )


@dataclass(frozen=True, slots=True)
class ExpectedTime:
    """Seconds for a prompt itself, for those queued ahead, and for its fetch."""

    own_s: float
    queued_s: float
    fetch_s: float


UNKNOWN = Rates()


def median_rates(reported: Iterable[Rates]) -> Rates:
    """Return the median of each rate over those that know it."""
    rows = list(reported)
    if not rows:
        return UNKNOWN
    return Rates(
        _median_known(row.own_tokens_per_s for row in rows),
        _median_known(row.prefill_tokens_per_s for row in rows),
        _median_known(row.fetch_tokens_per_s for row in rows),
        _median_known(row.start_s for row in rows),
        _median_known(row.service_run_s for row in rows),
    )


@dataclass(frozen=True, slots=True)
class _Sample:
    """One answer; ``took_s`` is divided by the slowness that was stated with it."""

    upstream: str
    prefill: Prefill
    took_s: float
    at: float


def _window() -> deque[_Sample]:
    return deque(maxlen=WINDOW)


@dataclass(slots=True)
class RateSamples:
    """The last answers of a pool, by what they teach."""

    _unqueued: dict[int, deque[_Sample]] = field(default_factory=dict)
    _queued: deque[_Sample] = field(default_factory=_window)
    _fetched: deque[_Sample] = field(default_factory=_window)
    _services: deque[_Sample] = field(default_factory=_window)

    def add_prompt(
        self, upstream: str, prefill: Prefill, took_s: float, now: float
    ) -> None:
        """Add the time to a prompt's first event."""
        sample = _Sample(upstream, prefill, took_s, now)
        if prefill.ahead > UNQUEUED_FRACTION * prefill.own:
            if prefill.ahead >= QUEUED_FRACTION * prefill.own and not prefill.fetched:
                self._queued.append(sample)
        elif prefill.fetched:
            self._fetched.append(sample)
        else:
            # One window for each power of two, so that frequent sizes displace no
            # others.
            size = prefill.own.bit_length()
            self._unqueued.setdefault(size, _window()).append(sample)

    def add_service(self, upstream: str, took_s: float, now: float) -> None:
        """Add the time of a service's whole answer."""
        self._services.append(_Sample(upstream, Prefill(0, 0.0), took_s, now))

    def fit(self, factor: Callable[[str], float], now: float) -> Rates:
        """Return the rates; ``factor`` is an upstream's speed relative to the pool."""

        def scaled(samples: Iterable[_Sample]) -> list[tuple[Prefill, float]]:
            return [
                (sample.prefill, sample.took_s * factor(sample.upstream))
                for sample in recent(samples)
            ]

        def recent(samples: Iterable[_Sample]) -> Iterable[_Sample]:
            return (sample for sample in samples if sample.at > now - MAX_AGE_S)

        run_s = _median_if_enough(took_s for _, took_s in scaled(self._services))
        run_s = _bounded(run_s, MIN_RUN_S, MAX_RUN_S)
        queued = scaled(self._queued)
        line = _fit_sizes(map(scaled, self._unqueued.values())) or _fit_queued(queued)
        if line is None:
            return Rates(service_run_s=run_s)
        start_s, token_s = line
        best_s = _best_token_s(map(scaled, self._unqueued.values()))
        if best_s is not None:
            token_s = _token_s(min(token_s, best_s / MIN_BEST_RATIO))
        # The speed of the engine does not change the time of a fetch.
        fetch_s = _median_if_enough(
            (
                sample.took_s
                - (start_s + sample.prefill.own * token_s) / factor(sample.upstream)
            )
            / sample.prefill.fetched
            for sample in recent(self._fetched)
        )
        return Rates(
            1.0 / token_s,
            _queue_rate(queued, start_s, 1.0 / token_s),
            None if fetch_s is None else _rate(fetch_s),
            start_s,
            run_s,
        )


def _fit_sizes(
    sizes: Iterable[list[tuple[Prefill, float]]],
) -> tuple[float, float] | None:
    """Return the start-up time, and the seconds per token; None if not known."""
    points = sorted(
        (median(p.own for p, _ in size), median(took_s for _, took_s in size))
        for size in sizes
        if len(size) >= MIN_SAMPLES
    )
    if not points:
        return None
    (small, small_s), (large, large_s) = points[0], points[-1]
    whole_s = large_s / large
    if large < MIN_SIZE_RATIO * small:
        return 0.0, _token_s(whole_s)
    slope_s = (large_s - small_s) / (large - small)
    # A slope above the whole time would mean a start-up time below 0.
    token_s = _token_s(min(whole_s, max(slope_s, (1.0 - MAX_START_FRACTION) * whole_s)))
    return min(MAX_START_S, max(0.0, large_s - large * token_s)), token_s


def _best_token_s(sizes: Iterable[list[tuple[Prefill, float]]]) -> float | None:
    """Return the seconds per token of the fastest large prompts; None if not known."""
    samples = [sample for size in sizes for sample in size]
    if len(samples) < MIN_SAMPLES:
        return None
    least = median(p.own for p, _ in samples)
    times = sorted(took_s / p.own for p, took_s in samples if p.own >= max(1, least))
    if not times:
        return None
    return times[int(len(times) * (1.0 - BEST_FRACTION))]


def _fit_queued(queued: list[tuple[Prefill, float]]) -> tuple[float, float] | None:
    """Return the same from queued prompts only, while none came without a queue.

    What was queued may have been less than counted, so the rate is at most neutral.
    """
    token_s = _median_if_enough(took_s / (p.own + p.ahead) for p, took_s in queued)
    if token_s is None:
        return None
    return 0.0, _token_s(max(token_s, 1.0 / NEUTRAL.own_tokens_per_s))


def _queue_rate(
    queued: list[tuple[Prefill, float]], start_s: float, own_rate: float
) -> float:
    if len(queued) < MIN_QUEUED_SAMPLES:
        return own_rate * QUEUED_RATE_RATIO
    max_weight = MAX_QUEUED_WEIGHT * median(p.ahead for p, _ in queued)
    # Weighted by the tokens ahead: a short queue may have ended before the request
    # arrived, and would teach that queues cost nothing.
    token_s = _weighted_median(
        [
            (
                (took_s - start_s - p.own / own_rate) / p.ahead,
                min(max_weight, p.ahead),
            )
            for p, took_s in queued
        ]
    )
    slowest_s = 1.0 / (own_rate * MIN_QUEUED_RATE_RATIO)
    return 1.0 / min(max(token_s, 1.0 / own_rate), slowest_s)


def _weighted_median(pairs: list[tuple[float, float]]) -> float:
    half = sum(weight for _, weight in pairs) / 2.0
    for value, weight in sorted(pairs):
        half -= weight
        if half <= 0.0:
            return value
    return max(value for value, _ in pairs)


def _token_s(seconds: float) -> float:
    return 1.0 / _rate(seconds)


def _rate(token_s: float) -> float:
    if token_s <= 1.0 / MAX_RATE:
        return MAX_RATE
    return max(MIN_RATE, 1.0 / token_s)


def _median_if_enough(values: Iterable[float]) -> float | None:
    known = list(values)
    return median(known) if len(known) >= MIN_SAMPLES else None


def _median_known(values: Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return median(known) if known else None


def _bounded(value: float | None, low: float, high: float) -> float | None:
    return value if value is None else min(high, max(low, value))


def is_duration(seconds: float) -> bool:
    """Whether ``seconds`` can be the time of an answer."""
    return math.isfinite(seconds) and 0.0 < seconds <= MAX_RUN_S
