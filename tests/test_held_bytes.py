"""Whose requests are refused while clients make a process hold too much."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.process.http.held_bytes import (
    LARGE_FRACTION,
    SMALL_BYTES,
    HeldBytes,
)

MIB = 1024 * 1024
LIMIT = 32 * MIB
BODY = 8 * MIB


def test_nothing_is_refused_within_the_limits() -> None:
    held: HeldBytes[str] = HeldBytes(LIMIT)
    for number in range(3):
        held.hold(f"body {number}", BODY, BODY, float(number))
    for number in range(100):
        held.hold(f"small {number}", SMALL_BYTES, SMALL_BYTES, 3.0)
    assert not held.is_exceeded
    assert held.to_refuse(1_000.0) == []


def test_those_who_hold_most_for_longest_are_refused() -> None:
    held: HeldBytes[str] = HeldBytes(LIMIT)
    held.hold("old and large", BODY, BODY, 0.0)
    held.hold("old and small", 1_000, 1_000, 0.0)
    held.hold("large", BODY, BODY, 5.0)
    held.hold("larger", BODY + MIB, BODY + MIB, 5.0)
    assert held.to_refuse(6.0) == ["old and large"]


def test_a_body_that_arrives_last_is_read_instead_of_one_that_stopped() -> None:
    held: HeldBytes[str] = HeldBytes(LIMIT)
    for number in range(3):
        held.hold(f"stopped {number}", BODY, BODY, 0.0)
    for part in range(1, 9):
        held.hold("arriving", part * MIB, part * MIB, 5.0)
        for key in held.to_refuse(5.0):
            assert key != "arriving"
            held.release(key)
    assert not held.is_exceeded


def test_bytes_that_arrive_in_small_pieces_are_no_progress() -> None:
    """Guards against clients that keep a body by sending a byte now and then."""
    held: HeldBytes[str] = HeldBytes(LIMIT)
    for second in range(10):
        held.hold("dribbling", BODY + second, BODY + second, float(second))
    held.hold("second", BODY, BODY, 9.0)
    held.hold("third", BODY, BODY, 9.0)
    held.hold("fourth", BODY, BODY, 9.0)
    assert held.to_refuse(9.0)[0] == "dribbling"


def test_a_request_that_was_passed_on_is_kept() -> None:
    held: HeldBytes[str] = HeldBytes(LIMIT)
    for number in range(3):
        held.hold(f"passed on {number}", BODY, 0, 0.0)
    assert not held.has_room(BODY)
    held.hold("unfinished", BODY, BODY, 9.0)
    assert held.to_refuse(9.0) == ["unfinished"]


def test_there_is_room_for_small_requests_beside_large_ones() -> None:
    held: HeldBytes[str] = HeldBytes(LIMIT)
    kept = int(LIMIT * LARGE_FRACTION)
    held.hold("passed on", kept // 2, 0, 0.0)
    held.hold("passed on too", kept // 2, 0, 0.0)
    assert held.has_room(SMALL_BYTES)
    for number in range(100):
        held.hold(f"small {number}", SMALL_BYTES, SMALL_BYTES, 0.0)
    assert not held.is_exceeded
    assert held.to_refuse(9.0) == []


@pytest.mark.parametrize("size", [BODY, 2 * LIMIT])
def test_one_body_is_read_in_calm_whatever_its_size(size: int) -> None:
    held: HeldBytes[str] = HeldBytes(LIMIT)
    held.hold("small", SMALL_BYTES, SMALL_BYTES, 0.0)
    assert held.has_room(size)
    held.hold("body", size, size, 0.0)
    assert held.to_refuse(60.0) == []


def test_the_sums_follow_what_is_held() -> None:
    rng = random.Random(7)
    held: HeldBytes[int] = HeldBytes(LIMIT)
    sizes: dict[int, tuple[int, int]] = {}
    for step in range(5_000):
        key = rng.randrange(50)
        size = rng.choice([0, 0, 100, SMALL_BYTES, SMALL_BYTES + 1, BODY])
        refusable = rng.choice([0, size, size // 2])
        held.hold(key, size, refusable, float(step))
        sizes[key] = size, refusable
        assert held.total == sum(size for size, _ in sizes.values())
        refused = held.to_refuse(float(step))
        assert bool(refused) <= held.is_exceeded
        for other in refused:
            left = sizes[other][0] - sizes[other][1]
            held.hold(other, left, 0, float(step))
            sizes[other] = left, 0
        # What exceeds a limit after that can't be refused.
        assert not held.to_refuse(float(step))
