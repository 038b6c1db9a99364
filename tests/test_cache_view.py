"""A view of an upstream's cache is exact, or reports that it is incomplete."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.connection.upstream_api import CacheEvent, CacheSnapshot
from gooseberrydale.version.cache_view import MAX_PENDING, CacheView

INCARNATION = "incarnation-1"
PIECES = [("a", 10), ("b", 20), ("c", 30)]


def complete_view(seq: int = 0, *keys: str) -> CacheView:
    """Return a complete view at ``seq`` with the given keys."""
    view = CacheView()
    view.begin(INCARNATION, "v1")
    view.load(CacheSnapshot(INCARNATION, seq, keys))
    return view


def stored(seq: int, *keys: str) -> CacheEvent:
    return CacheEvent(INCARNATION, seq, stored=keys)


def removed(seq: int, *keys: str) -> CacheEvent:
    return CacheEvent(INCARNATION, seq, removed=keys)


def test_before_the_first_snapshot_every_piece_is_absent() -> None:
    view = CacheView()
    view.begin(INCARNATION, "v1")
    view.apply(stored(1, "a"))
    assert not view.complete
    assert view.cached_tokens(PIECES) == 0


def test_a_piece_counts_only_if_all_before_it_are_cached() -> None:
    assert complete_view(0, "a", "c").cached_tokens(PIECES) == 10
    assert complete_view(0, "a", "b", "c").cached_tokens(PIECES) == 60
    assert complete_view(0, "b").cached_tokens(PIECES) == 0


def test_a_gap_hides_everything_until_it_is_filled() -> None:
    view = complete_view(0, "a")
    view.apply(stored(2, "b"))
    assert view.cached_tokens(PIECES) == 0
    view.apply(removed(1, "a"))
    assert view.complete
    assert view.missing(PIECES) == [("a", 10), ("c", 30)]


def test_a_repeated_event_changes_nothing() -> None:
    view = complete_view(0, "a")
    for event in (stored(1, "b"), removed(2, "a"), stored(1, "b"), removed(2, "a")):
        view.apply(event)
    assert view.complete
    assert view.missing(PIECES) == [("a", 10), ("c", 30)]


def test_a_snapshot_fills_a_gap_and_an_old_one_changes_nothing() -> None:
    view = complete_view(0, "a")
    view.apply(removed(2, "b"))
    view.load(CacheSnapshot(INCARNATION, 1, ("a", "b")))
    assert view.cached_tokens(PIECES) == 10
    view.load(CacheSnapshot(INCARNATION, 0, ("a", "b", "c")))
    assert view.cached_tokens(PIECES) == 10


def test_another_incarnation_or_other_weights_drop_everything() -> None:
    for incarnation, weights in (("incarnation-2", "v1"), (INCARNATION, "v2")):
        view = complete_view(0, "a")
        assert not view.begin(INCARNATION, "v1")
        assert view.begin(incarnation, weights)
        assert view.cached_tokens(PIECES) == 0


def test_events_and_snapshots_of_another_incarnation_are_ignored() -> None:
    view = complete_view(0, "a")
    view.apply(replace(stored(1, "b"), incarnation="incarnation-0"))
    view.load(CacheSnapshot("incarnation-0", 5, ("a", "b", "c")))
    assert view.cached_tokens(PIECES) == 10
    assert view.ignored == 2


def test_the_number_of_pending_events_is_bounded() -> None:
    view = complete_view(0, "a")
    for seq in range(2, 3 * MAX_PENDING):
        view.apply(stored(seq, "b"))
    assert not view.complete
    assert len(view._pending) <= MAX_PENDING
    view.load(CacheSnapshot(INCARNATION, 3 * MAX_PENDING, ("a",)))
    assert view.cached_tokens(PIECES) == 10


KEYS = [f"k{n}" for n in range(6)]
changes = st.lists(
    st.tuples(st.sets(st.sampled_from(KEYS)), st.sets(st.sampled_from(KEYS))),
    min_size=1,
    max_size=20,
)


@given(changes, st.data())
def test_a_complete_view_is_exact_whatever_happens_to_events(
    steps: list[tuple[set[str], set[str]]], data: st.DataObject
) -> None:
    """Events are lost, repeated and reordered; snapshots arrive at any time."""
    truth: list[set[str]] = [set()]
    events = []
    for seq, (added, dropped) in enumerate(steps, start=1):
        truth.append((truth[-1] - dropped) | added)
        events.append(
            CacheEvent(INCARNATION, seq, tuple(added), tuple(dropped - added))
        )
    arriving = data.draw(st.lists(st.sampled_from(events), max_size=40))
    view = complete_view()
    for event in arriving:
        view.apply(event)
        if data.draw(st.integers(0, 4)) == 0:
            seq = data.draw(st.integers(0, len(steps)))
            view.load(CacheSnapshot(INCARNATION, seq, tuple(truth[seq])))
        if view.complete:
            exact = truth[view.seq]
            assert {k for k, _ in view.missing((k, 1) for k in KEYS)} == (
                set(KEYS) - exact
            )
            assert all(e.seq <= view.seq for e in arriving[: arriving.index(event)])
        else:
            assert view.cached_tokens([(k, 1) for k in KEYS]) == 0
