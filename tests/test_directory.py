"""Directory: which records are accepted, how long they last, what is propagated."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.connection.message_age import MessageAgeBound
from gooseberrydale.version.directory import MAX_LEASE_S, Directory, new_incarnation
from gooseberrydale.version.session_targets import EntryPoint, session_targets
from tests.builders_mesh import LEASE_S, record


@pytest.mark.parametrize(
    ("first", "second", "taken"),
    [
        pytest.param(("i1", 1), ("i1", 2), True, id="next announcement"),
        pytest.param(("i1", 2), ("i1", 2), False, id="the same announcement again"),
        pytest.param(("i1", 2), ("i1", 1), False, id="an older announcement"),
        pytest.param(("i1", 9), ("i2", 1), True, id="a later incarnation"),
        pytest.param(("i2", 1), ("i1", 9), False, id="a replaced incarnation"),
    ],
)
def test_only_newer_records_are_accepted(first, second, taken):
    directory = Directory()
    assert directory.offer(record(incarnation=first[0], seq=first[1]), 0.0)
    assert directory.offer(record(incarnation=second[0], seq=second[1]), 0.0) is taken
    newest = second if taken else first
    held = directory.get("u1", 0.0)
    assert (held.incarnation, held.seq) == newest


@pytest.mark.parametrize(
    ("lease_s", "age_s", "left_s"),
    [
        pytest.param(6.0, 0.0, 6.0, id="fresh"),
        pytest.param(6.0, 2.5, 3.5, id="2.5 s in transit"),
        pytest.param(6.0, 6.0, None, id="ended in transit"),
        pytest.param(6.0, float("inf"), None, id="unknown age"),
        pytest.param(6.0, -1.0, 6.0, id="age bound below zero"),
        pytest.param(0.0, 0.0, None, id="ended when sent"),
        pytest.param(float("nan"), 0.0, None, id="not a number"),
        pytest.param(1e9, 0.0, MAX_LEASE_S, id="longer than allowed"),
    ],
)
def test_lease_is_shortened_by_time_in_transit(lease_s, age_s, left_s):
    directory = Directory()
    taken = directory.offer(record(lease_s=lease_s), 100.0, age_s=age_s)
    assert taken is (left_s is not None)
    left = [r.lease_s for r in directory.records(100.0)]
    assert left == ([] if left_s is None else [left_s])


def test_record_with_an_ended_lease_is_hidden_before_expire_is_called():
    directory = Directory()
    directory.offer(record(), 0.0)
    assert directory.ready("p", LEASE_S - 0.1)
    assert directory.ready("p", LEASE_S) == ()
    assert directory.records(LEASE_S) == ()
    assert directory.get("u1", LEASE_S) is None
    assert directory.expire(LEASE_S) == ("u1",)


def test_old_record_does_not_renew_an_ended_lease():
    directory = Directory()
    directory.offer(record(seq=5), 0.0)
    directory.expire(LEASE_S)
    assert not directory.offer(record(seq=5), LEASE_S)
    assert not directory.offer(record(incarnation="i0", seq=9), LEASE_S)
    assert directory.offer(record(seq=6), LEASE_S)


def test_name_is_forgotten_once_no_record_of_it_can_be_in_transit():
    directory = Directory()
    directory.offer(record(incarnation="i2"), 0.0)
    directory.expire(LEASE_S + MAX_LEASE_S)
    assert directory.offer(record(incarnation="i1"), LEASE_S + MAX_LEASE_S)


@pytest.mark.parametrize(
    ("change", "names"),
    [
        pytest.param({}, ["u1", "u2"], id="renewal"),
        pytest.param({"ready": False}, ["u2"], id="not ready"),
        pytest.param({"leaving": True}, ["u2"], id="leaving"),
        pytest.param({"pool": "other"}, ["u2"], id="other pool"),
    ],
)
def test_ready_records_reflect_each_change(change, names):
    directory = Directory()
    directory.offer(record("u2"), 0.0)
    directory.offer(record("u1"), 0.0)
    before = directory.ready("p", 0.0)
    assert [r.name for r in before] == ["u1", "u2"]
    directory.offer(record("u1", seq=2, **change), 1.0)
    after = directory.ready("p", 1.0)
    assert [r.name for r in after] == names
    assert (after is before) is (not change)


def test_since_returns_changed_records_with_their_remaining_lease():
    directory = Directory()
    here, there = object(), object()
    directory.offer(record("u1"), 0.0, source=here)
    directory.offer(record("u2"), 0.0, source=there)
    first = directory.since(0, 1.0)
    assert {(r.name, r.lease_s) for r in first.records} == {("u1", 5.0), ("u2", 5.0)}
    assert directory.since(first.version, 1.0).records == ()
    directory.offer(record("u1", seq=2), 1.0, source=here)
    assert [r.name for r in directory.since(first.version, 1.0).records] == ["u1"]
    assert [r.name for r in directory.since(0, 1.0, exclude=here).records] == ["u2"]


def test_listener_gets_whether_more_than_the_lease_changed():
    directory, notifications = Directory(), []
    stop = directory.subscribe(notifications.append)
    directory.offer(record(), 0.0)
    directory.offer(record(seq=2), 1.0)
    directory.offer(record(seq=2), 1.0)
    directory.offer(record(seq=3, ready=False), 2.0)
    stop()
    directory.offer(record(seq=4), 3.0)
    assert notifications == [True, False, True]


def test_incarnations_sort_by_start_time():
    rng = random.Random(1)
    starts = [0, 1, 999, 10**18, 1_800_000_000 * 10**9, 2**63]
    ids = [new_incarnation(start, rng) for start in starts]
    assert ids == sorted(ids)
    assert len({len(incarnation) for incarnation in ids}) == 1
    assert new_incarnation(5, rng) != new_incarnation(5, rng)


ENTRIES = [EntryPoint(f"10.0.{z}.{n}:1", f"z{z}") for z in range(8) for n in range(44)]


@pytest.mark.parametrize(
    ("zone", "entries", "near", "far"),
    [
        pytest.param("z3", ENTRIES, 7, 1, id="own zone first, one elsewhere"),
        pytest.param("none", ENTRIES, 0, 8, id="no entry in the own zone"),
        pytest.param("z3", [e for e in ENTRIES if e.zone == "z3"], 8, 0, id="one zone"),
        pytest.param("z3", ENTRIES[:3], 0, 3, id="fewer than the bound"),
        pytest.param("z0", ENTRIES[:3] * 2, 3, 0, id="listed twice"),
    ],
)
def test_session_targets_are_bounded_and_prefer_the_own_zone(zone, entries, near, far):
    chosen = session_targets("u1", zone, entries, 8)
    zones = {entry.address: entry.zone for entry in entries}
    assert len(set(chosen)) == len(chosen)
    assert sum(zones[address] == zone for address in chosen) == near
    assert sum(zones[address] != zone for address in chosen) == far


def test_session_targets_are_spread_and_stay_when_another_entry_is_removed():
    entries = [EntryPoint(entry.address) for entry in ENTRIES]
    names = [f"u{n}" for n in range(740)]
    before = {name: session_targets(name, "", entries, 8) for name in names}
    counts = [sum(e.address in t for t in before.values()) for e in entries]
    assert min(counts) > 0 and max(counts) < 40
    removed = entries[0].address
    for name in names:
        after = session_targets(name, "", entries[1:], 8)
        assert set(before[name]) - {removed} <= set(after)


@pytest.mark.parametrize(
    ("offset", "echo_delay", "delay"),
    [
        pytest.param(0.0, 0.0, 0.0, id="no delay"),
        pytest.param(1000.0, 0.001, 2.0, id="delayed, clocks differ"),
        pytest.param(-1000.0, 0.5, 0.0, id="slow echo, clocks differ"),
    ],
)
def test_age_of_a_message_is_never_underestimated(offset, echo_delay, delay):
    bound = MessageAgeBound()
    assert bound.age_s(0.0, 50.0) == float("inf")
    # The peer's clock is ours plus offset; it received our stamp echo_delay late.
    bound.record(50.0 + offset, 50.0 - echo_delay, 50.0 + delay)
    age_s = bound.age_s(50.0 + offset, 50.0 + delay)
    assert delay <= age_s <= delay + echo_delay + 0.01


def propagated_names(directory: Directory, version: int, now: float) -> list[str]:
    return [record.name for record in directory.since(version, now).records]


def test_renewal_is_propagated_once_the_fraction_of_the_lease_has_passed():
    directory = Directory(propagation_fraction=0.5)
    calls: list[bool] = []
    directory.subscribe(calls.append)
    beats, propagated_at = 20, []
    for beat in range(beats):
        now, version = beat * 1.0, directory.version
        assert directory.offer(record(seq=beat + 1, lease_s=6.0), now)
        if propagated_names(directory, version, now):
            propagated_at.append(now)
        # A process that asks now gets the full lease of the latest renewal.
        assert [renewed.lease_s for renewed in directory.records(now)] == [6.0]
    assert propagated_at == [0.0, 3.0, 6.0, 9.0, 12.0, 15.0, 18.0]
    assert calls == [True] + [False] * 6


def test_change_is_propagated_immediately_after_a_renewal():
    directory = Directory(propagation_fraction=0.5, relays_renewals=False)
    session = object()
    directory.offer(record(seq=1), 0.0, source=session)
    version = directory.version
    directory.offer(record(seq=2, leaving=True), 0.1, source=session)
    assert propagated_names(directory, version, 0.1) == ["u1"]


def test_received_renewals_are_not_propagated_without_relays_renewals():
    directory = Directory(relays_renewals=False)
    directory.offer(record(seq=1), 0.0, source=object())
    directory.offer(record(name="own", seq=1), 0.0)
    version = directory.version
    directory.offer(record(seq=2), 5.0, source=object())
    directory.offer(record(name="own", seq=2), 5.0)
    assert propagated_names(directory, version, 5.0) == ["own"]
    assert directory.get("u1", LEASE_S + 1.0) is not None


def test_record_is_propagated_again_after_its_lease_has_ended():
    directory = Directory(propagation_fraction=0.5, relays_renewals=False)
    directory.offer(record(seq=1), 0.0, source=object())
    version = directory.version
    directory.offer(record(seq=2), LEASE_S + 0.1, source=object())
    assert propagated_names(directory, version, LEASE_S + 0.1) == ["u1"]
