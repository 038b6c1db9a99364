"""The limit of a pool follows what its engines show that they hold."""

from __future__ import annotations

from statistics import mean

from gooseberrydale.request.gateway_call import ReportedLoad
from gooseberrydale.request.placement import Candidate, Demand, queue_s
from gooseberrydale.version.capacity.limits import (
    MAX_FRACTION,
    MEMORY_FRACTION,
    MIN_FRACTION,
    CapacityLimits,
    FirstEvent,
)
from gooseberrydale.version.upstream_load import Load
from tests.builders_capacity_limits import KV_TOKENS, POOL, SLOTS, LearningGateway

IDLE_REPORT = ReportedLoad(10, 0, SLOTS)
SHORT_REPORT = ReportedLoad(10, 9, SLOTS)


def test_the_limit_rises_to_what_an_engine_with_shared_prefixes_holds() -> None:
    """Guards against refusals while the engine still has memory.

    With nine prefixes it holds 15 prompts, which are calculated as 1.38 of its memory.
    """
    gateway = LearningGateway()
    gateway.run(4.0, prefixes=9)
    gateway.fractions.clear()
    gateway.run(6.0, prefixes=9)
    assert 1.1 < mean(gateway.fractions) < 1.6


def test_the_limit_falls_once_prompts_share_less() -> None:
    """Guards against a limit that stays at what earlier callers made possible.

    Prompts with prefixes of their own fit ten times, calculated as 0.92.
    """
    gateway = LearningGateway()
    gateway.run(6.0, prefixes=4)
    assert gateway.limits.fraction(POOL) > 1.5
    gateway.run(6.0, prefixes=100_000)
    gateway.fractions.clear()
    gateway.engine.waits.clear()
    gateway.run(6.0, prefixes=100_000)
    assert 0.7 < mean(gateway.fractions) < 1.2
    assert mean(gateway.engine.waits) < 0.1


def test_unshared_tokens_never_exceed_what_the_engine_declares() -> None:
    """Guards against an engine that terminates because it holds more than its memory.

    Prompts that share nothing arrive while the limit is at its upper bound.
    """
    gateway = LearningGateway()
    gateway.run(8.0, prefixes=1)
    assert gateway.limits.fraction(POOL) > 1.5
    gateway.run(3.0, prefixes=1, own_tokens=9_190, prefix_tokens=0)
    assert 0.8 * KV_TOKENS < gateway.most_unshared <= KV_TOKENS


def test_less_urgent_ranks_leave_unshared_memory_to_urgent_ones() -> None:
    load = Load(5, 0, 10_000, unshared_tokens=0.93 * KV_TOKENS)
    engine = Candidate("e", load, slots=SLOTS, kv_tokens=KV_TOKENS, memory_fraction=2.0)
    urgent, other = (Demand(own_tokens=600, rank=rank) for rank in (0, 2))
    assert queue_s(engine, urgent) < 0.1 < queue_s(engine, other)


def test_the_limit_stays_within_its_bounds() -> None:
    limits = CapacityLimits()
    for n in range(500):
        limits.reported(POOL, limits.fraction(POOL), IDLE_REPORT, 0.1 * n)
    assert limits.fraction(POOL) == MAX_FRACTION
    for n in range(500, 1_000):
        limits.reported(POOL, limits.fraction(POOL), SHORT_REPORT, 0.1 * n)
    assert limits.fraction(POOL) == MIN_FRACTION
    assert limits.fraction("other") == MEMORY_FRACTION


def test_reports_that_say_nothing_about_memory_change_nothing() -> None:
    """Guards against a limit that falls for want of slots, or because of urgent work
    beyond it, and against one that rises while engines are idle."""
    limits = CapacityLimits()
    limits.reported(POOL, 0.75, ReportedLoad(SLOTS, 20, SLOTS), 1.0)
    limits.reported(POOL, 1.4, SHORT_REPORT, 2.0)
    limits.reported(POOL, 0.3, SHORT_REPORT, 3.0)
    limits.reported(POOL, 0.3, IDLE_REPORT, 4.0)
    assert limits.fraction(POOL) == MEMORY_FRACTION


def _first_events(limits: CapacityLimits, held: float, took_s: list[float]) -> None:
    for n, took in enumerate(took_s):
        limits.first_event(FirstEvent(POOL, held, float(n), 0.18), n + took)


def test_many_late_first_events_lower_the_limit_but_a_single_one_does_not() -> None:
    """The usual delay is learned: these engines take a fifth of what is expected."""
    limits = CapacityLimits()
    _first_events(limits, 0.2, [0.04] * 100)
    _first_events(limits, 0.75, [0.05, 0.05, 0.9, 0.05, 0.05, 0.05])
    assert limits.fraction(POOL) == MEMORY_FRACTION
    _first_events(limits, 0.75, [0.3, 0.3, 0.3])
    assert limits.fraction(POOL) < MEMORY_FRACTION


def test_delays_of_slow_engines_are_usual_for_them() -> None:
    """Guards against a limit that falls because expectations are of other engines."""
    limits = CapacityLimits()
    _first_events(limits, 0.2, [1.5] * 100)
    _first_events(limits, 0.75, [1.8] * 100)
    assert limits.fraction(POOL) == MEMORY_FRACTION
