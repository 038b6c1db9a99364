"""Plays a heavy load on engines, two of five dead, and checks what callers get."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field, replace

import pytest

from gooseberrydale.request import placement
from gooseberrydale.request.comeback import no_room_s
from gooseberrydale.request.placement import (
    MEMORY_PART,
    PREFILL_TOKENS_PER_S,
    SPARE_PART,
    Candidate,
    Demand,
    choose,
    own_s,
    queue_s,
)
from gooseberrydale.request.timeliness import (
    CAUGHT_UP_S,
    LATE_WAIT_S,
    LOOK_S,
    TOP_PART,
    Goal,
    Step,
    Wait,
    comes_late,
    is_small,
    longest_wait_s,
    next_step,
    pause_s,
    would_be_late,
)
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.peer_loads import Totals
from gooseberrydale.version.upstream_load import Load, UpstreamLoad

SECONDS = 8.0
PER_S = 55.0  # what five engines carry, and three don't
SIZES = (600, 2_900, 2_900, 6_000)
OBJECTIVE_S = 0.4
PATIENCE_S = 5.0
LATE_RANKS = 6


@dataclass(slots=True)
class Engine:
    """Computes one prompt after the other, by rank and then in order."""

    name: str
    queue: list[tuple[int, int, float, int]]
    free_at: float = 0.0

    def run_until(self, now: float, starts: dict[int, float]) -> None:
        while self.queue and self.free_at <= now:
            _, number, came_at, tokens = heapq.heappop(self.queue)
            begin = max(self.free_at, came_at)
            self.free_at = begin + tokens / PREFILL_TOKENS_PER_S
            starts[number] = self.free_at

    def backlog(self, now: float) -> float:
        """Tokens before a further request."""
        ahead = sum(tokens for _, _, _, tokens in self.queue)
        return ahead + max(0.0, self.free_at - now) * PREFILL_TOKENS_PER_S


@dataclass(slots=True)
class Caller:
    """One caller of the load, from when it first asks until it has its first event.

    ``told_s`` are how long each of its requests had waited when it was told to come
    back.
    """

    number: int
    rank: int
    tokens: int
    came_at: float
    asked_at: float
    demand: Demand
    left_s: float = 0.0
    late: bool = False
    told_s: list[float] = field(default_factory=list)
    took_s: float = math.inf


class Play:
    """Engines, and callers that come, wait, come back and give up, by a fixed draw."""

    def __init__(self, engines: int, *, waiting: bool, small: bool, ranks: int) -> None:
        self.rng = random.Random(7)
        # Callers that look again draw from another source: the load stays the same.
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
            self.come(now)
        while self.due:
            at, number = heapq.heappop(self.due)
            self.look(self.callers[number], at)
        for engine in self.pool:
            engine.run_until(math.inf, self.starts)
        for caller in self.callers:
            if caller.number in self.starts:
                caller.took_s = self.starts[caller.number] - caller.came_at
        return self.callers

    def come(self, at: float) -> None:
        number = len(self.callers)
        tokens = self.rng.choice(SIZES)
        demand = Demand(own_tokens=tokens, new_tokens=10)
        caller = Caller(number, (number + 1) % self.ranks, tokens, at, at, demand)
        self.callers.append(caller)
        heapq.heappush(self.due, (at, number))

    def look(self, caller: Caller, now: float) -> None:
        """The gateway of a caller looks for an upstream."""
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
                target = next(one for one in self.pool if one.name == chosen.name)
                heapq.heappush(target.queue, item)
            case Step.WAIT:
                at = now + pause_s(caller.left_s, self.lots)
                heapq.heappush(self.due, (at, caller.number))
            case Step.COME_BACK:
                self.tell(caller, now)

    def step(self, caller: Caller, chosen: Candidate, now: float) -> Step:
        if not self.waiting:
            return Step.SEND
        small = self.small and is_small(caller.tokens, self.mean.of("pool"))
        if now == caller.came_at:
            self.mean.sent("pool", caller.tokens)
        queued, own = queue_s(chosen, caller.demand), own_s(chosen, caller.demand)
        wait = Wait(now - caller.asked_at, caller.asked_at - caller.came_at)
        goal = Goal(OBJECTIVE_S, caller.rank)
        caller.left_s = longest_wait_s(own, wait, goal) - wait.here_s
        caller.late = comes_late(own, wait, goal)
        return next_step(queued, own, wait, goal, small=small)

    def tell(self, caller: Caller, now: float) -> None:
        """The caller is told to come back, which it does once."""
        caller.told_s.append(now - caller.asked_at)
        if len(caller.told_s) > 1:
            return
        patience_s = PATIENCE_S - (now - caller.came_at)
        caller.asked_at = now + no_room_s(patience_s, self.lots)
        heapq.heappush(self.due, (caller.asked_at, caller.number))


def play(
    engines: int, *, waiting: bool, small: bool = False, ranks: int = 2
) -> list[Caller]:
    """What becomes of each caller; ``small`` lets small prompts never wait."""
    return Play(engines, waiting=waiting, small=small, ranks=ranks).run()


def in_time(found: list[Caller], rank: int | None = None) -> float:
    """Share of callers whose first event came within the objective."""
    taken = [one.took_s <= OBJECTIVE_S for one in found if rank in (None, one.rank)]
    return sum(taken) / len(taken)


def test_enough_engines_serve_nearly_all_in_time() -> None:
    assert in_time(play(5, waiting=True)) > 0.97


@pytest.mark.parametrize("engines", [3, 4])
def test_with_too_few_engines_more_are_in_time_if_late_ones_wait(
    engines: int,
) -> None:
    in_order, waiting = play(engines, waiting=False), play(engines, waiting=True)
    assert in_time(waiting) > in_time(in_order) + 0.1
    # The lower rank gains; the first rank keeps nearly all.
    assert in_time(waiting, 1) > in_time(in_order, 1) + 0.25
    assert in_time(waiting, 0) > 0.93
    assert len(waiting) == len(in_order)


def test_nobody_is_kept_for_long_and_all_are_answered() -> None:
    """Callers learn within the objective that they can't be in time."""
    found = play(3, waiting=True)
    told = [one.told_s for one in found if one.told_s]
    assert told
    assert all(first <= OBJECTIVE_S for first, *_ in told)
    assert all(again <= LATE_WAIT_S + 2 * LOOK_S for _, *more in told for again in more)
    # Served, or told when to come back each time that they asked.
    assert all(one.took_s < math.inf or len(one.told_s) == 2 for one in found)
    assert sum(one.took_s < math.inf for one in found) > 0.8 * len(found)


def test_with_too_few_engines_small_ones_are_in_time_if_they_never_wait() -> None:
    """Small prompts are one in four, and a twentieth of the work.

    With two engines of five all of them are in time for 92 of 100 before, and of the
    others 51 of 100 for 54.
    """
    before = play(2, waiting=True, ranks=1)
    after = play(2, waiting=True, small=True, ranks=1)
    assert part_in_time(after, small=True) > 0.99
    assert part_in_time(before, small=True) < 0.95
    assert part_in_time(after, small=False) > part_in_time(before, small=False) - 0.03
    assert len(after) == len(before)


def part_in_time(found: list[Caller], *, small: bool) -> float:
    """Share of the small, or of all other requests, that were in time."""
    took = [one.took_s for one in found if (one.tokens == SIZES[0]) is small]
    return sum(took_s <= OBJECTIVE_S for took_s in took) / len(took)


def test_nobody_is_small_before_the_mean_is_known() -> None:
    assert not is_small(1, MeanWork().of("pool"))


RULES = [
    # queue, own, waited, rank -> gives way
    (CAUGHT_UP_S, 9.0, 9.0, 0, False),
    (0.2, 0.1, 0.0, 0, False),
    (0.3, 0.1, 0.0, 0, True),
    (0.2, 0.1, 0.2, 0, True),
    (0.24, 0.08, 0.0, 0, False),
    (0.24, 0.08, 0.0, 2, True),
    (0.15, 0.05, 0.0, 9, False),
]


@pytest.mark.parametrize("rule", RULES)
def test_who_would_be_late(rule: tuple[float, float, float, int, bool]) -> None:
    queued, own, waited, rank, expected = rule
    assert would_be_late(queued, own, waited, Goal(0.4, rank)) is expected


def test_without_an_objective_nobody_would_be_late() -> None:
    assert not would_be_late(10.0, 1.0, 1.0, Goal(0.0, 0))
    assert TOP_PART < 1.0


GATEWAYS = 32
LARGE_POOL = 20
HEARD_AFTER_S = 0.08
LARGE_PER_S = 250.0  # nearly what twenty engines carry


def play_many_gateways(pool_size: int, *, heard_after_s: float) -> list[float]:
    """Waits before each prompt; gateways hear of each other late."""
    rng = random.Random(5)
    # What was sent: when, by whom, where, until when; gateways know their own at once.
    sent: list[tuple[float, int, int, float]] = []
    free_at = [0.0] * pool_size
    waits, now = [], 0.0
    while now < SECONDS:
        now += rng.expovariate(LARGE_PER_S)
        gateway, tokens = rng.randrange(GATEWAYS), rng.choice(SIZES)
        homes = rng.sample(range(pool_size), pool_size)
        backlog = [0.0] * pool_size
        for at, by, engine, end in sent:
            known = by == gateway or at + heard_after_s <= now
            if known and end > now:
                backlog[engine] += min(end - now, (end - at)) * PREFILL_TOKENS_PER_S
        candidates = [
            Candidate(str(n), Load(0, backlog[n], 0), home_rank=homes.index(n))
            for n in range(pool_size)
        ]
        chosen = choose(candidates, Demand(own_tokens=tokens), rng)
        assert chosen is not None
        engine = int(chosen.name)
        begin = max(now, free_at[engine])
        free_at[engine] = begin + tokens / PREFILL_TOKENS_PER_S
        waits.append(begin - now)
        sent = [one for one in sent if one[3] > now]
        sent.append((now, gateway, engine, free_at[engine]))
    return waits


def test_many_gateways_that_hear_late_do_not_meet_at_one_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lot = play_many_gateways(LARGE_POOL, heard_after_s=HEARD_AFTER_S)
    monkeypatch.setattr(placement, "SMALL_POOL", LARGE_POOL)
    all_weighed = play_many_gateways(LARGE_POOL, heard_after_s=HEARD_AFTER_S)
    late = [sum(wait > 0.25 for wait in waits) for waits in (lot, all_weighed)]
    assert late[0] < 0.75 * late[1]
    assert sum(lot) < sum(all_weighed)


FULL_KV = 100_000
PROMPT = Demand(own_tokens=9_000, new_tokens=20)


STEPS = [
    # queue, own, here, before, small -> step
    (0.05, 0.1, 0.0, 0.0, False, Step.SEND),
    (0.3, 0.1, 0.0, 0.0, False, Step.WAIT),
    (0.3, 0.1, 0.0, 0.0, True, Step.SEND),
    (2.0, 0.1, 0.2, 0.0, False, Step.WAIT),
    (2.0, 0.1, 0.3, 0.0, False, Step.COME_BACK),
    (0.05, 0.1, 0.3, 0.0, False, Step.SEND),
    # Too large to be in time by itself: sent wherever little waits, and kept a while.
    (0.05, 0.5, 0.0, 0.0, False, Step.SEND),
    (2.0, 0.5, 0.4, 0.0, False, Step.WAIT),
    (2.0, 0.5, 0.6, 0.0, False, Step.COME_BACK),
    # Back after a second.
    (2.0, 0.1, 0.1, 1.0, False, Step.WAIT),
    (0.05, 0.1, 0.1, 1.0, False, Step.SEND),
    (2.0, 0.1, 0.6, 1.0, False, Step.COME_BACK),
    (9.0, 0.1, 0.6, 1.0, True, Step.SEND),
]


@pytest.mark.parametrize("row", STEPS)
def test_what_becomes_of_a_request(
    row: tuple[float, float, float, float, bool, Step],
) -> None:
    queued, own, here, before, small, expected = row
    goal = Goal(OBJECTIVE_S, 0)
    assert next_step(queued, own, Wait(here, before), goal, small=small) is expected


def test_without_an_objective_all_are_sent() -> None:
    assert next_step(9.0, 1.0, Wait(9.0), Goal(0.0, 0)) is Step.SEND


def test_engines_are_filled_up_to_what_they_hold_and_no_further() -> None:
    """What waits at its gateway takes no room, so that what is sent runs at once.

    Were it sent, its memory would be taken from it by what comes later, and what it had
    computed would be computed twice.
    """
    load, sent = UpstreamLoad(), 0
    for _ in range(60):
        found = Candidate("e", load.load(0.0, Totals()), slots=48, kv_tokens=FULL_KV)
        queued, own = queue_s(found, PROMPT), own_s(found, PROMPT)
        if next_step(queued, own, Wait(0.0), Goal(OBJECTIVE_S, 0)) is Step.SEND:
            sent += 1
            load.began(PROMPT.work_at(found))
            load.first_part(PROMPT.work_at(found))
    assert sent == int(FULL_KV * MEMORY_PART / PROMPT.tokens)
    assert load.own == (sent, 0, sent * PROMPT.tokens)


def test_who_is_late_takes_only_room_that_others_can_spare() -> None:
    late = replace(PROMPT, spare_only=True)
    taken = FULL_KV * MEMORY_PART - PROMPT.tokens
    full = Candidate("e", Load(5, 0, taken), slots=48, kv_tokens=FULL_KV)
    half = replace(full, load=Load(5, 0, taken * SPARE_PART / 2))
    assert queue_s(full, PROMPT) < CAUGHT_UP_S < queue_s(full, late)
    assert queue_s(half, late) == queue_s(half, PROMPT) < CAUGHT_UP_S


PREFIXES = 300
COLD_PER_S = 34.0  # four engines carry it once the prefixes are known, but not before


def play_cold(*, heard: bool) -> list[float]:
    """Waits for first events right after a change of weights, on four engines.

    Prompts of 2,900 tokens of their own come behind prefixes of 3,800, none of which is
    computed under the new weights.  ``heard`` says whether what the store holds counts.
    What would be late is not sent, and counts as waiting for ever.
    """
    rng = random.Random(11)
    pool = [Engine(f"e{number}", []) for number in range(4)]
    computed: set[int] = set()
    came: dict[int, float] = {}
    starts: dict[int, float] = {}
    counted: dict[int, tuple[str, int]] = {}
    now, number = 0.0, 0
    while now < SECONDS:
        now += rng.expovariate(COLD_PER_S)
        number += 1
        for engine in pool:
            engine.run_until(now, starts)
        for done in [one for one in counted if one in starts]:
            del counted[done]
        prefix = rng.randrange(PREFIXES)
        demand = Demand(own_tokens=2_900, shared_tokens=3_800)
        candidates = [
            Candidate(
                engine.name,
                Load(0, sum(t for at, t in counted.values() if at == engine.name), 0),
                home_rank=(place - prefix) % len(pool),
                stored=prefix in computed,
                store_heard=heard,
            )
            for place, engine in enumerate(pool)
        ]
        chosen = choose(candidates, demand, rng)
        assert chosen is not None
        late = would_be_late(
            queue_s(chosen, demand), own_s(chosen, demand), 0.0, Goal(0.4, 0)
        )
        came[number] = now
        if late:
            continue
        tokens = demand.own_tokens + demand.shared_tokens * (prefix not in computed)
        target = next(engine for engine in pool if engine.name == chosen.name)
        heapq.heappush(target.queue, (0, number, now, tokens))
        counted[number] = chosen.name, demand.work_at(chosen).prefill_tokens
        computed.add(prefix)
    for engine in pool:
        engine.run_until(float("inf"), starts)
    return [starts.get(n, math.inf) - at for n, at in came.items()]


def test_after_a_change_of_weights_more_are_in_time_if_the_store_is_believed() -> None:
    """Homes then have nothing yet: 59 of 100 in time for 22 before."""
    found = {
        heard: sum(took <= 0.4 for took in waits) / len(waits)
        for heard in (False, True)
        for waits in [play_cold(heard=heard)]
    }
    assert found[True] > found[False] + 0.2


LACKS = [
    # home_rank, stored, store_heard -> the prefix has to be computed
    (0, False, False, False),
    (1, False, False, True),
    (0, True, True, False),
    (1, True, True, False),
    (0, False, True, True),
    (1, False, True, True),
]


@pytest.mark.parametrize("rank, stored, heard, lacks", LACKS)
def test_whether_a_prefix_has_to_be_computed(
    rank: int, stored: bool, heard: bool, lacks: bool
) -> None:
    candidate = Candidate(
        "e", Load(0, 0, 0), home_rank=rank, stored=stored, store_heard=heard
    )
    demand = Demand(own_tokens=100, shared_tokens=1_000)
    assert candidate.lacks_prefix is lacks
    assert demand.work_at(candidate).prefill_tokens == 100 + 1_000 * lacks
