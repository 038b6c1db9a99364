"""The replay log never skips, repeats or drops an event that was not read."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.errors import InvariantError
from gooseberrydale.request.replay import ReplayLog


def test_take_returns_all_events_since_the_last_take() -> None:
    log = ReplayLog(5, 1_000)
    log.append(b"a")
    log.append(b"b")
    assert log.take() == (5, (b"a", b"b"))
    assert log.take() == (7, ())


def test_events_that_were_read_are_retained_up_to_the_limit() -> None:
    log = ReplayLog(0, 10)
    for _ in range(4):
        log.append(b"1234")
        log.take()
    assert (log.first, log.end) == (2, 4)
    assert [log.holds(offset) for offset in range(6)] == [0, 0, 1, 1, 1, 0]
    with pytest.raises(InvariantError):
        log.rewind(1)


def test_unread_events_make_the_writer_wait() -> None:
    log = ReplayLog(0, 10)
    for _ in range(3):
        log.append(b"12345")
    assert log.full
    assert log.first == 0
    assert len(log.take()[1]) == 3
    assert not log.full


steps = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.binary(min_size=1, max_size=6)),
        st.tuples(st.just("take"), st.none()),
        st.tuples(st.just("rewind"), st.integers(0, 30)),
    ),
    max_size=60,
)


@given(steps, st.integers(0, 5))
def test_a_reader_gets_every_event_in_order(
    steps: list[tuple[str, bytes | int | None]], first: int
) -> None:
    log = ReplayLog(first, 12)
    written: list[bytes] = []
    position = first
    for name, value in steps:
        if name == "append" and isinstance(value, bytes):
            written.append(value)
            log.append(value)
        elif name == "rewind" and isinstance(value, int) and log.holds(value):
            log.rewind(value)
            position = value
        elif name == "take":
            offset, events = log.take()
            assert offset == position
            assert list(events) == written[offset - first :][: len(events)]
            position += len(events)
        assert log.end == first + len(written)
        assert log.first <= position
        unread_bytes = sum(map(len, written[position - first :]))
        assert log.full == (unread_bytes >= 12)
