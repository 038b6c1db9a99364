"""Simulates overload after engine failures, and checks what callers receive."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field, replace

import pytest

from gooseberrydale.request import placement
from gooseberrydale.request.hold_policy import (
    LATE_HOLD_S,
    NEGLIGIBLE_QUEUE_S,
    POLL_INTERVAL_S,
    TOP_RANK_OBJECTIVE_FRACTION,
    Goal,
    Step,
    Wait,
    is_already_late,
    is_small,
    max_hold_s,
    next_step,
    poll_delay_s,
    would_be_late,
)
from gooseberrydale.request.placement import (
    MEMORY_FRACTION,
    SPARE_FRACTION,
    Candidate,
    Demand,
    choose,
    own_s,
    queue_s,
)
from gooseberrydale.request.retry_after import after_no_capacity_s
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.peer_loads import Totals
from gooseberrydale.version.speeds.speed import NEUTRAL
from gooseberrydale.version.upstream_load import Load, UpstreamLoad

SECONDS = 8.0
PER_S = 55.0  # five engines can serve this load, three can't
SIZES = (600, 2_900, 2_900, 6_000)
OBJECTIVE_S = 0.4
WAIT_LIMIT_S = 5.0
LATE_RANKS = 6
PREFILL_TOKENS_PER_S = NEUTRAL.prefill_tokens_per_s


@dataclass(slots=True)
class Engine:
    """Computes one prompt at a time, by rank and then in order of arrival."""

    name: str
    queue: list[tuple[int, int, float, int]]
    free_at: float = 0.0

    def run_until(self, now: float, starts: dict[int, float]) -> None:
        while self.queue and self.free_at <= now:
            _, number, arrived_at, tokens = heapq.heappop(self.queue)
            begin = max(self.free_at, arrived_at)
            self.free_at = begin + tokens / PREFILL_TOKENS_PER_S
            starts[number] = self.free_at

    def backlog(self, now: float) -> float:
        """Return the tokens queued before a further request."""
        ahead = sum(tokens for _, _, _, tokens in self.queue)
        return ahead + max(0.0, self.free_at - now) * PREFILL_TOKENS_PER_S


@dataclass(slots=True)
class Caller:
    """One caller, from its first attempt until it has its first event.

    For each refused request of the caller, ``refused_after_s`` has the time that it was
    held before the refusal.
    """

    number: int
    rank: int
    tokens: int
    arrived_at: float
    attempted_at: float
    demand: Demand
    left_s: float = 0.0
    late: bool = False
    refused_after_s: list[float] = field(default_factory=list)
    took_s: float = math.inf


class Play:
    """Engines, and callers that are held, retry and give up; seeds are fixed."""

    def __init__(self, engines: int, *, waiting: bool, small: bool, ranks: int) -> None:
        self.rng = random.Random(7)
        # Checks use another generator, so that the callers stay the same.
        self.lots = random.Random(8)
        self.pool = [Engine(f"e{number}", []) for number in range(engines)]
        self.waiting, self.small, self.ranks = waiting, small, ranks
        self.mean = MeanWork()
        self.starts: dict[int, float] = {}
        self.callers: list[Caller] = []
        self.due: list[tuple[float, int]] = []

    def run(self) -> list[Caller]:
        now = 0.0
        while now < SECONDS:
            now += self.rng.expovariate(PER_S)
            self.arrive(now)
        while self.due:
            at, number = heapq.heappop(self.due)
            self.check(self.callers[number], at)
        for engine in self.pool:
            engine.run_until(math.inf, self.starts)
        for caller in self.callers:
            if caller.number in self.starts:
                caller.took_s = self.starts[caller.number] - caller.arrived_at
        return self.callers

    def arrive(self, at: float) -> None:
        number = len(self.callers)
        tokens = self.rng.choice(SIZES)
        demand = Demand(own_tokens=tokens, new_tokens=10)
        caller = Caller(number, (number + 1) % self.ranks, tokens, at, at, demand)
        self.callers.append(caller)
        heapq.heappush(self.due, (at, number))

    def check(self, caller: Caller, now: float) -> None:
        """The gateway of a caller checks for an upstream with capacity."""
        for engine in self.pool:
            engine.run_until(now, self.starts)
        candidates = [
            Candidate(engine.name, Load(0, engine.backlog(now), 0))
            for engine in self.pool
        ]
        chosen = choose(candidates, caller.demand, self.lots)
        assert chosen is not None
        match self.step(caller, chosen, now):
            case Step.SEND:
                rank = caller.rank + LATE_RANKS * caller.late
                item = (rank, caller.number, now, caller.tokens)
                target = next(e for e in self.pool if e.name == chosen.name)
                heapq.heappush(target.queue, item)
            case Step.WAIT:
                at = now + poll_delay_s(caller.left_s, self.lots)
                heapq.heappush(self.due, (at, caller.number))
            case Step.REFUSE:
                self.refuse(caller, now)

    def step(self, caller: Caller, chosen: Candidate, now: float) -> Step:
        if not self.waiting:
            return Step.SEND
        small = self.small and is_small(caller.tokens, self.mean.of("pool"))
        if now == caller.arrived_at:
            self.mean.sent("pool", caller.tokens)
        queued, own = queue_s(chosen, caller.demand), own_s(chosen, caller.demand)
        wait = Wait(now - caller.attempted_at, caller.attempted_at - caller.arrived_at)
        goal = Goal(OBJECTIVE_S, caller.rank)
        caller.left_s = max_hold_s(own, wait, goal) - wait.held_s
        caller.late = is_already_late(own, wait, goal)
        return next_step(queued, own, wait, goal, small=small)

    def refuse(self, caller: Caller, now: float) -> None:
        """The caller is refused with a retry time; it retries once."""
        caller.refused_after_s.append(now - caller.attempted_at)
        if len(caller.refused_after_s) > 1:
            return
        left_s = WAIT_LIMIT_S - (now - caller.arrived_at)
        caller.attempted_at = now + after_no_capacity_s(left_s, self.lots)
        heapq.heappush(self.due, (caller.attempted_at, caller.number))


def play(
    engines: int, *, waiting: bool, small: bool = False, ranks: int = 2
) -> list[Caller]:
    """Return the callers of a run; with ``small``, small prompts are never held."""
    return Play(engines, waiting=waiting, small=small, ranks=ranks).run()


def in_time(callers: list[Caller], rank: int | None = None) -> float:
    """Return the share of callers whose first event was within the objective."""
    met = [c.took_s <= OBJECTIVE_S for c in callers if rank in (None, c.rank)]
    return sum(met) / len(met)


def test_enough_engines_serve_nearly_all_in_time() -> None:
    assert in_time(play(5, waiting=True)) > 0.97


@pytest.mark.parametrize("engines", [3, 4])
def test_with_too_few_engines_holding_late_requests_lets_more_meet_the_objective(
    engines: int,
) -> None:
    in_order, waiting = play(engines, waiting=False), play(engines, waiting=True)
    assert in_time(waiting) > in_time(in_order) + 0.1
    # The lower rank gains; almost all of the first rank still meet it.
    assert in_time(waiting, 1) > in_time(in_order, 1) + 0.25
    assert in_time(waiting, 0) > 0.93
    assert len(waiting) == len(in_order)


def test_no_caller_is_held_for_long_and_every_caller_is_answered() -> None:
    """A caller that can't be served within the objective is refused within it."""
    callers = play(3, waiting=True)
    refused = [c.refused_after_s for c in callers if c.refused_after_s]
    assert refused
    assert all(first <= OBJECTIVE_S for first, *_ in refused)
    assert all(
        again <= LATE_HOLD_S + 2 * POLL_INTERVAL_S
        for _, *more in refused
        for again in more
    )
    # Served, or refused with a retry time at each of two attempts.
    assert all(c.took_s < math.inf or len(c.refused_after_s) == 2 for c in callers)
    assert sum(c.took_s < math.inf for c in callers) > 0.8 * len(callers)


def test_with_too_few_engines_small_prompts_are_in_time_if_never_held() -> None:
    """Small prompts are one in four, and a twentieth of the work.

    With two of five engines, all small prompts meet the objective if they are never
    held, instead of 92 of 100; of the others 51 of 100 do, instead of 54.
    """
    before = play(2, waiting=True, ranks=1)
    after = play(2, waiting=True, small=True, ranks=1)
    assert share_in_time(after, small=True) > 0.99
    assert share_in_time(before, small=True) < 0.95
    assert share_in_time(after, small=False) > share_in_time(before, small=False) - 0.03
    assert len(after) == len(before)


def share_in_time(callers: list[Caller], *, small: bool) -> float:
    """Return the share of the small, or of the other, prompts within the objective."""
    took = [c.took_s for c in callers if (c.tokens == SIZES[0]) is small]
    return sum(took_s <= OBJECTIVE_S for took_s in took) / len(took)


def test_no_prompt_is_small_before_the_mean_is_known() -> None:
    assert not is_small(1, MeanWork().of("pool"))


RULES = [
    # queue, own, waited, rank -> would be late
    (NEGLIGIBLE_QUEUE_S, 9.0, 9.0, 0, False),
    (0.2, 0.1, 0.0, 0, False),
    (0.3, 0.1, 0.0, 0, True),
    (0.2, 0.1, 0.2, 0, True),
    (0.24, 0.08, 0.0, 0, False),
    (0.24, 0.08, 0.0, 2, True),
    (0.15, 0.05, 0.0, 9, False),
]


@pytest.mark.parametrize("rule", RULES)
def test_would_be_late(rule: tuple[float, float, float, int, bool]) -> None:
    queued, own, waited, rank, expected = rule
    assert would_be_late(queued, own, waited, Goal(0.4, rank)) is expected


def test_no_request_without_an_objective_would_be_late() -> None:
    assert not would_be_late(10.0, 1.0, 1.0, Goal(0.0, 0))
    assert TOP_RANK_OBJECTIVE_FRACTION < 1.0


GATEWAYS = 32
LARGE_POOL = 20
UPDATE_DELAY_S = 0.08
LARGE_PER_S = 250.0  # almost the capacity of twenty engines


def play_many_gateways(pool_size: int, *, update_delay_s: float) -> list[float]:
    """Return the queue time of each prompt if gateways receive updates late."""
    rng = random.Random(5)
    # (time, gateway, engine, end) of each request; a gateway knows its own at once.
    sent: list[tuple[float, int, int, float]] = []
    free_at = [0.0] * pool_size
    waits, now = [], 0.0
    while now < SECONDS:
        now += rng.expovariate(LARGE_PER_S)
        gateway, tokens = rng.randrange(GATEWAYS), rng.choice(SIZES)
        preferred = rng.sample(range(pool_size), pool_size)
        backlog = [0.0] * pool_size
        for at, sender, engine, end in sent:
            known = sender == gateway or at + update_delay_s <= now
            if known and end > now:
                backlog[engine] += min(end - now, (end - at)) * PREFILL_TOKENS_PER_S
        candidates = [
            Candidate(
                str(n), Load(0, backlog[n], 0), preference_rank=preferred.index(n)
            )
            for n in range(pool_size)
        ]
        chosen = choose(candidates, Demand(own_tokens=tokens), rng)
        assert chosen is not None
        engine = int(chosen.name)
        begin = max(now, free_at[engine])
        free_at[engine] = begin + tokens / PREFILL_TOKENS_PER_S
        waits.append(begin - now)
        sent = [request for request in sent if request[3] > now]
        sent.append((now, gateway, engine, free_at[engine]))
    return waits


def test_gateways_with_late_updates_do_not_all_choose_the_same_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sampled = play_many_gateways(LARGE_POOL, update_delay_s=UPDATE_DELAY_S)
    monkeypatch.setattr(placement, "SMALL_POOL_SIZE", LARGE_POOL)
    all_compared = play_many_gateways(LARGE_POOL, update_delay_s=UPDATE_DELAY_S)
    late = [sum(wait > 0.25 for wait in waits) for waits in (sampled, all_compared)]
    assert late[0] < 0.75 * late[1]
    assert sum(sampled) < sum(all_compared)


FULL_KV = 100_000
PROMPT = Demand(own_tokens=9_000, new_tokens=20)


STEPS = [
    # queue, own, held, waited before, small -> step
    (0.05, 0.1, 0.0, 0.0, False, Step.SEND),
    (0.3, 0.1, 0.0, 0.0, False, Step.WAIT),
    (0.3, 0.1, 0.0, 0.0, True, Step.SEND),
    (2.0, 0.1, 0.2, 0.0, False, Step.WAIT),
    (2.0, 0.1, 0.3, 0.0, False, Step.REFUSE),
    (0.05, 0.1, 0.3, 0.0, False, Step.SEND),
    # Too large to meet the objective: sent to a short queue, otherwise held a while.
    (0.05, 0.5, 0.0, 0.0, False, Step.SEND),
    (2.0, 0.5, 0.4, 0.0, False, Step.WAIT),
    (2.0, 0.5, 0.6, 0.0, False, Step.REFUSE),
    # A retry after a second.
    (2.0, 0.1, 0.1, 1.0, False, Step.WAIT),
    (0.05, 0.1, 0.1, 1.0, False, Step.SEND),
    (2.0, 0.1, 0.6, 1.0, False, Step.REFUSE),
    (9.0, 0.1, 0.6, 1.0, True, Step.SEND),
]


@pytest.mark.parametrize("row", STEPS)
def test_next_step(
    row: tuple[float, float, float, float, bool, Step],
) -> None:
    queued, own, held, prior, small, expected = row
    goal = Goal(OBJECTIVE_S, 0)
    assert next_step(queued, own, Wait(held, prior), goal, small=small) is expected


def test_requests_without_an_objective_are_sent() -> None:
    assert next_step(9.0, 1.0, Wait(9.0), Goal(0.0, 0)) is Step.SEND


def test_engines_are_filled_up_to_their_memory_and_no_further() -> None:
    """Requests that are sent run at once, as a held request takes no memory.

    If requests were sent beyond the memory, later ones would preempt them, and their
    prompts would be computed twice.
    """
    load, sent = UpstreamLoad(), 0
    for _ in range(60):
        engine = Candidate("e", load.load(0.0, Totals()), slots=48, kv_tokens=FULL_KV)
        queued, own = queue_s(engine, PROMPT), own_s(engine, PROMPT)
        if next_step(queued, own, Wait(0.0), Goal(OBJECTIVE_S, 0)) is Step.SEND:
            sent += 1
            load.began(PROMPT.work_at(engine))
            load.prefill_done(PROMPT.work_at(engine))
    assert sent == int(FULL_KV * MEMORY_FRACTION / PROMPT.tokens)
    assert load.own_work == (sent, 0, sent * PROMPT.tokens)


def test_late_requests_take_only_capacity_that_others_can_spare() -> None:
    late = replace(PROMPT, spare_only=True)
    used_tokens = FULL_KV * MEMORY_FRACTION - PROMPT.tokens
    full = Candidate("e", Load(5, 0, used_tokens), slots=48, kv_tokens=FULL_KV)
    half = replace(full, load=Load(5, 0, used_tokens * SPARE_FRACTION / 2))
    assert queue_s(full, PROMPT) < NEGLIGIBLE_QUEUE_S < queue_s(full, late)
    assert queue_s(half, late) == queue_s(half, PROMPT) < NEGLIGIBLE_QUEUE_S


PREFIXES = 300
COLD_PER_S = 34.0  # four engines can serve it only once the prefixes are stored


def play_cold(*, store_reports: bool) -> list[float]:
    """Return the times to first events on four engines after a change of weights.

    Prompts have 2,900 tokens of their own after prefixes of 3,800, none of which is
    computed under the new weights. ``store_reports`` says whether the reports of the
    store are used. A request that would be late is not sent, and its time is infinite.
    """
    rng = random.Random(11)
    pool = [Engine(f"e{number}", []) for number in range(4)]
    computed: set[int] = set()
    arrived: dict[int, float] = {}
    starts: dict[int, float] = {}
    counted: dict[int, tuple[str, int]] = {}
    now, number = 0.0, 0
    while now < SECONDS:
        now += rng.expovariate(COLD_PER_S)
        number += 1
        for engine in pool:
            engine.run_until(now, starts)
        for started in [key for key in counted if key in starts]:
            del counted[started]
        prefix = rng.randrange(PREFIXES)
        demand = Demand(own_tokens=2_900, shared_tokens=3_800)
        candidates = [
            Candidate(
                engine.name,
                Load(0, sum(t for at, t in counted.values() if at == engine.name), 0),
                preference_rank=(index - prefix) % len(pool),
                stored=prefix in computed,
                store_reports=store_reports,
            )
            for index, engine in enumerate(pool)
        ]
        chosen = choose(candidates, demand, rng)
        assert chosen is not None
        late = would_be_late(
            queue_s(chosen, demand), own_s(chosen, demand), 0.0, Goal(0.4, 0)
        )
        arrived[number] = now
        if late:
            continue
        tokens = demand.own_tokens + demand.shared_tokens * (prefix not in computed)
        target = next(engine for engine in pool if engine.name == chosen.name)
        heapq.heappush(target.queue, (0, number, now, tokens))
        counted[number] = chosen.name, demand.work_at(chosen).prefill_tokens
        computed.add(prefix)
    for engine in pool:
        engine.run_until(float("inf"), starts)
    return [starts.get(n, math.inf) - at for n, at in arrived.items()]


def test_after_a_change_of_weights_store_reports_let_more_be_in_time() -> None:
    """Preferred upstreams have empty caches then: 59 of 100 are in time, not 22."""
    shares = {
        store_reports: sum(took <= 0.4 for took in waits) / len(waits)
        for store_reports in (False, True)
        for waits in [play_cold(store_reports=store_reports)]
    }
    assert shares[True] > shares[False] + 0.2


LACKS = [
    # home_rank, stored, store_heard -> the prefix has to be computed
    (0, False, False, False),
    (1, False, False, True),
    (0, True, True, False),
    (1, True, True, False),
    (0, False, True, True),
    (1, False, True, True),
]


@pytest.mark.parametrize("rank, stored, store_reports, lacks", LACKS)
def test_whether_a_prefix_has_to_be_computed(
    rank: int, stored: bool, store_reports: bool, lacks: bool
) -> None:
    candidate = Candidate(
        "e",
        Load(0, 0, 0),
        preference_rank=rank,
        stored=stored,
        store_reports=store_reports,
    )
    demand = Demand(own_tokens=100, shared_tokens=1_000)
    assert candidate.lacks_prefix is lacks
    assert demand.work_at(candidate).prefill_tokens == 100 + 1_000 * lacks
