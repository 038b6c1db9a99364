"""Properties of the order of waiting requests, of shares, and of the rule of turns."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydale.request.hold_policy import Goal, Wait
from gooseberrydale.request.placement import FULL_PENALTY_S
from gooseberrydale.request.waiting.backlog import REPORT_TTL_S, FleetBacklog
from gooseberrydale.request.waiting.pace import name_hash
from gooseberrydale.request.waiting.queue import Ticket, WaitClass, WaitQueue
from gooseberrydale.request.waiting.shares import (
    NAMED,
    PoolUse,
    Use,
    WorkspaceShares,
    level,
    overs,
)
from gooseberrydale.request.waiting.turn import (
    Prospect,
    has_to_wait,
    may_pass,
    patience_s,
)
from gooseberrydale.version.peer_loads import OTHER_ZONES

NOW = 100.0
POOL = "p"
TOKENS = 1_000
OVER = "over"

tickets = st.builds(
    Ticket,
    id=st.integers(1, 10**6),
    rank=st.integers(0, 2),
    workspace=st.sampled_from(["a", "b", "c", OVER]),
    tokens=st.integers(1, TOKENS),
    since=st.floats(NOW - 5.0, NOW),
    due_at=st.floats(NOW - 1.0, NOW + 1.0),
)
queued = st.lists(tickets, min_size=1, max_size=12, unique_by=lambda t: t.id)


def is_over(workspace: str) -> bool:
    return workspace == OVER


def queue_of(found: list[Ticket]) -> WaitQueue:
    queue = WaitQueue()
    for ticket in found:
        queue.join(ticket)
    return queue


@given(queued)
def test_better_classes_come_first_and_everything_is_served(
    found: list[Ticket],
) -> None:
    queue, classes, served = queue_of(found), [], set()
    assert sum(w.requests for w in queue.classes(NOW, is_over).values()) == len(found)
    while queue:
        (first,) = queue.first(1, NOW, is_over)
        assert queue.is_first(first, NOW, is_over)
        classes.append(first.class_at(NOW, is_over))
        served.add(first.id)
        queue.leave(first, sent=True)
    assert classes == sorted(classes)
    assert served == {ticket.id for ticket in found} and not queue.tokens


@given(queued, tickets)
def test_newcomer_is_first_only_if_it_would_be_first_in_the_queue(
    found: list[Ticket], newcomer: Ticket
) -> None:
    newcomer = replace(newcomer, id=0)
    queue = queue_of(found)
    before = queue.is_first(newcomer, NOW, is_over)
    queue.join(newcomer)
    assert before == (queue.first(1, NOW, is_over) == [newcomer])


@given(st.lists(st.tuples(st.sampled_from("bcd"), st.integers(1, TOKENS)), min_size=1))
def test_flood_of_other_workspaces_does_not_starve_a_request(
    flood: list[tuple[str, int]],
) -> None:
    queue = WaitQueue()
    own = Ticket(0, 0, "a", TOKENS, NOW, due_at=NOW + 9.0)
    queue.join(own)
    for number, (workspace, tokens) in enumerate(flood, 1):
        queue.join(Ticket(number, 0, workspace, tokens, NOW, due_at=NOW + 1.0))
    before: Counter[str] = Counter()
    while (first := queue.first(1, NOW, is_over)[0]) is not own:
        before[first.workspace] += 1
        queue.leave(first, sent=True)
    assert all(count <= 1 for count in before.values())


uses = st.lists(
    st.builds(
        Use,
        sent=st.integers(0, 10**6),
        waiting=st.integers(0, 10**6),
        weight=st.integers(1, 50),
    ),
    min_size=1,
    max_size=12,
)


@given(uses)
def test_level_divides_what_was_sent_and_no_share_stays_unused(
    found: list[Use],
) -> None:
    capacity = sum(use.sent for use in found)
    limit = level(found, capacity, 1.0)
    given_out = sum(min(use.demand, limit * use.weight) for use in found)
    assert given_out == pytest.approx(min(capacity, sum(use.demand for use in found)))
    over = overs(PoolUse(dict(enumerate(found))))
    for number, use in enumerate(found):
        if use.demand <= limit * use.weight:
            assert number not in over
    if not any(use.waiting for use in found):
        assert not over


class Gateway:
    """One gateway's queue with its backlog and shares."""

    def __init__(self, found: list[Ticket], recipients: int = 8) -> None:
        self.queue, self.elsewhere = queue_of(found), False
        self.backlog = FleetBacklog(
            lambda now: {POOL: self.queue.classes(now, is_over)}, lambda: recipients
        )
        self.shares = WorkspaceShares(self, lambda: recipients)

    def tokens(self, pool: str) -> dict[str, int]:
        return self.queue.tokens

    def any_waits(self, pool: str, now: float) -> bool:
        return bool(self.queue) or self.elsewhere

    def may_pass(self, ticket: Ticket, free: float) -> bool:
        key = ticket.class_at(NOW, is_over)
        waited_s = NOW - ticket.since
        ahead = self.backlog.ahead_elsewhere(POOL, key, waited_s, NOW)
        return may_pass(ticket.tokens, free, ahead)


def exchanged(queues: list[list[Ticket]]) -> list[Gateway]:
    """Return gateways that have merged each other's reports."""
    gateways = [Gateway(found) for found in queues]
    for number, gateway in enumerate(gateways):
        data = gateway.backlog.own(NOW)
        for other in gateways:
            if other is not gateway:
                other.backlog.merge_own(f"g{number}", data, NOW)
    return gateways


fleets = st.lists(queued, min_size=2, max_size=5)


@given(fleets)
def test_all_pass_while_capacity_suffices_and_the_first_passes_always(
    queues: list[list[Ticket]],
) -> None:
    gateways = exchanged(queues)
    total = sum(ticket.tokens for found in queues for ticket in found)
    for gateway, found in zip(gateways, queues, strict=True):
        for ticket in found:
            assert gateway.may_pass(ticket, total / ticket.tokens + 1.0)
    firsts = [(g, g.queue.first(1, NOW, is_over)[0]) for g in gateways]
    best = min(ticket.class_at(NOW, is_over) for _, ticket in firsts)
    assert any(
        gateway.may_pass(ticket, 1.0)
        for gateway, found in zip(gateways, queues, strict=True)
        for ticket in found
        if ticket.class_at(NOW, is_over) == best
    )


@given(fleets)
def test_request_does_not_pass_better_ones_elsewhere_for_the_last_free_capacity(
    queues: list[list[Ticket]],
) -> None:
    gateways = exchanged(queues)
    classes = defaultdict(list)
    for number, found in enumerate(queues):
        for ticket in found:
            classes[number].append(ticket.class_at(NOW, is_over))
    for number, gateway in enumerate(gateways):
        better = min(min(c) for other, c in classes.items() if other != number)
        for ticket in queues[number]:
            if better < ticket.class_at(NOW, is_over):
                assert not gateway.may_pass(ticket, 1.0)


@given(st.binary(max_size=60))
def test_reports_that_are_not_valid_change_nothing(data: bytes) -> None:
    gateway = Gateway([])
    gateway.backlog.merge_own("other", data, NOW)
    gateway.backlog.merge_area("z2", data, NOW)
    gateway.shares.merge_own("other", data, NOW)
    gateway.shares.merge_area("z2", data, NOW)
    assert not gateway.backlog.has_elsewhere(POOL, NOW)
    assert not gateway.shares.is_over(POOL, "a", NOW)


@pytest.mark.parametrize("entry", [(-1, 1, 1, 1), (0, 0, 1, 1), (0, 10**9, 1, 1)])
def test_reports_out_of_bounds_change_nothing(entry: tuple[int, ...]) -> None:
    gateway = Gateway([])
    data = msgspec.msgpack.encode([(name_hash(POOL), [entry])])
    gateway.backlog.merge_own("other", data, NOW)
    assert not gateway.backlog.has_elsewhere(POOL, NOW)


def test_backlog_of_zones_is_summed_and_lapses() -> None:
    """A relay that fails must not hold back requests with its last sums."""
    ticket = Ticket(1, 0, "a", TOKENS, NOW - 0.2)
    near, relay, far, mate = (Gateway(found) for found in ([ticket], [ticket], [], []))
    relay.backlog.merge_own("near", near.backlog.own(NOW), NOW)
    far.backlog.merge_area("z1", relay.backlog.zone(NOW), NOW)
    mate.backlog.merge_area("z1", relay.backlog.zone(NOW), NOW)
    mate.backlog.merge_area(OTHER_ZONES, far.backlog.elsewhere(NOW), NOW)
    for gateway in (far, mate):
        ahead = gateway.backlog.ahead_of(POOL, 1, False, 0.0, NOW)
        assert (ahead.requests, ahead.tokens) == (2, 2 * TOKENS)
        assert gateway.backlog.more_urgent_elsewhere(POOL, 1, NOW)
        later = NOW + REPORT_TTL_S
        assert not gateway.backlog.ahead_of(POOL, 1, False, 0.0, later).requests
    for age_s, requests in ((0.5 * REPORT_TTL_S, 2), (REPORT_TTL_S, 1)):
        # What a gateway reported that has stopped since is not forwarded for ever.
        far.backlog.merge_area("z1", relay.backlog.zone(NOW + age_s), NOW + age_s)
        ahead = far.backlog.ahead_of(POOL, 1, False, 0.0, NOW + age_s)
        assert ahead.requests == requests and ahead.tokens < 2 * TOKENS


def test_nothing_is_reported_while_nothing_waits_and_the_end_of_a_wait_is() -> None:
    ticket = Ticket(1, 0, "a", TOKENS, NOW)
    gateway = Gateway([])
    gateway.shares.sent(POOL, "a", TOKENS, 0, NOW)
    assert not gateway.backlog.own(NOW) and not gateway.shares.own(NOW)
    gateway.queue.join(ticket)
    assert len(gateway.backlog.own(NOW)) < 25 and gateway.shares.own(NOW)
    assert not gateway.backlog.own(NOW + 0.01)
    gateway.queue.leave(ticket, sent=True)
    other = Gateway([])
    other.backlog.merge_own("g", gateway.backlog.own(NOW + 0.3), NOW + 0.3)
    assert not other.backlog.has_elsewhere(POOL, NOW + 0.3)
    assert not gateway.backlog.own(NOW + 0.9) and not gateway.shares.own(NOW + 0.9)


def test_burst_at_other_gateways_puts_a_workspace_over_its_share() -> None:
    """The use of one gateway alone does not show which workspace has the most."""
    here, there = Gateway([Ticket(1, 0, "w1", TOKENS, NOW)]), Gateway([])
    there.elsewhere = True
    for number in range(2 * NAMED):
        there.shares.sent(POOL, f"w{number}", TOKENS, 0, NOW)
    for _ in range(20):
        there.shares.sent(POOL, "w0", TOKENS, 0, NOW)
    here.shares.sent(POOL, "w2", TOKENS, 0, NOW)
    data = there.shares.own(NOW)
    assert len(data) <= 12 + 20 * NAMED
    assert not here.shares.is_over(POOL, "w0", NOW)
    here.queue.join(Ticket(2, 0, "w0", 9 * TOKENS, NOW))
    here.shares.merge_own("there", data, NOW)
    later = NOW + 0.1
    assert here.shares.is_over(POOL, "w0", later)
    assert not here.shares.is_over(POOL, "w1", later)
    assert not here.shares.is_over(POOL, "w0", NOW + 5.0)


rates = st.lists(st.floats(0.05, 1.0), min_size=2, max_size=5)


@settings(max_examples=15)
@given(rates.filter(lambda found: 1.1 <= sum(found) <= 2.5))
def test_no_workspace_gets_more_than_its_share_while_others_wait(
    found: list[float],
) -> None:
    """Rates are fractions of the capacity; one request can be sent each 20 ms."""
    gateway, sent = Gateway([]), Counter[str]()
    queue, shares = gateway.queue, gateway.shares
    ticks, last = 250, 100
    for tick in range(ticks):
        now = NOW + tick * 0.02
        for number, rate in enumerate(found):
            for _ in range(int((tick + 1) * rate) - int(tick * rate)):
                ticket_id = tick * len(found) + number
                queue.join(Ticket(ticket_id, 0, f"w{number}", TOKENS, now))
        over = {f"w{n}" for n in range(9) if shares.is_over(POOL, f"w{n}", now)}
        for first in queue.first(1, now, over.__contains__):
            queue.leave(first, sent=True)
            shares.sent(POOL, first.workspace, TOKENS, 0, now)
            sent[first.workspace] += tick >= ticks - last
    share = level([Use(round(rate * 10**6)) for rate in found], 10**6, 1.0) / 10**6
    for number, rate in enumerate(found):
        assert sent[f"w{number}"] <= 1.2 * last * share + 3
        assert sent[f"w{number}"] >= 0.8 * last * min(rate, share) - 3


GOAL = Goal(1.0, 0)
PROSPECTS = {
    "no queue": (Prospect(0.0, 0.1), 0.0, False),
    "in time in spite of the queue": (Prospect(0.5, 0.1), 0.0, False),
    "late by the queue": (Prospect(0.8, 0.1), 0.0, True),
    "small prompts pass a queue": (Prospect(0.8, 0.1, small=True), 0.0, False),
    "nothing passes a full upstream": (
        *(Prospect(FULL_PENALTY_S, 0.0, small=True), 0.0, True),
    ),
    "late ones accept a short queue": (Prospect(0.4, 0.1), 3.0, False),
    "late ones leave the rest to others": (Prospect(0.55, 0.1), 3.0, True),
    "waiting does not shorten it further": (Prospect(0.4, 0.1), 0.5, False),
}


@pytest.mark.parametrize("case", PROSPECTS)
def test_which_requests_have_to_wait(case: str) -> None:
    prospect, waited_s, expected = PROSPECTS[case]
    assert has_to_wait(prospect, Wait(waited_s), GOAL) == expected
    assert not has_to_wait(replace(prospect, queue_s=0.0), Wait(waited_s), GOAL)


def test_late_requests_come_after_those_in_time_of_their_class_only() -> None:
    late = Ticket(1, 0, "a", TOKENS, NOW - 3.0, due_at=NOW - 1.0)
    in_time = Ticket(2, 0, "b", TOKENS, NOW, due_at=NOW + 1.0)
    lower = Ticket(3, 1, "b", TOKENS, NOW, due_at=math.inf)
    queue = queue_of([late, lower, in_time])
    assert queue.first(3, NOW, is_over) == [in_time, late, lower]
    assert late.class_at(NOW, is_over) == WaitClass(0, False, True)


def test_callers_of_streams_wait_for_objectives_and_gaps_but_two_seconds_at_least() -> (
    None
):
    """Requests were held until their callers had left, 2.4 s after an objective of
    0.4."""
    assert patience_s(0.435, 0.3) == pytest.approx(2.4)
    assert patience_s(1.2, 0.3) == pytest.approx(4.8)
    assert patience_s(0.1, 0.1) == 2.0
    assert patience_s(0.0, 0.3) == math.inf
