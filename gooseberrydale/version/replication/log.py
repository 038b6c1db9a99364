"""The in-memory log: the entries after a base index, and the memberships they set.

Some entries before the snapshot are retained, so a follower that is only slightly
behind can catch up without the snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.replication.messages import Entry, Membership, Snapshot


class RaftLog:
    """Entries from ``base_index + 1`` to ``last_index``."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = []
        self.reset(snapshot)
        for entry in entries:
            self.append(entry)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot; no entries remain."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries = []
        self._memberships = [(snapshot.index, snapshot.membership)]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> Membership:
        """The newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """The membership in force after ``index``."""
        memberships = [m for at, m in self._memberships if at <= index]
        if not memberships:
            raise InvariantError(f"the membership at index {index} is compacted away")
        return memberships[-1]

    def term_at(self, index: int) -> int | None:
        """Term of an entry; None if it is compacted away or past the end."""
        if index == self.base_index:
            return self._base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, count: int) -> tuple[Entry, ...]:
        """Up to ``count`` entries from index ``first`` on."""
        if first <= self.base_index:
            raise InvariantError(f"entry {first} is compacted away")
        start = first - self.base_index - 1
        return tuple(self._entries[start : start + count])

    def data_bytes(self, first: int, last: int) -> int:
        """Size of the data of the entries ``first`` to ``last``."""
        return sum(len(entry.data) for entry in self.slice(first, last - first + 1))

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise InvariantError(
                f"entry {entry.index} would follow entry {self.last_index}"
            )
        if entry.term < self.last_term:
            raise InvariantError(
                f"entry {entry.index} has a lower term than the entry before it"
            )
        self._entries.append(entry)
        if entry.membership is not None:
            self._memberships.append((entry.index, entry.membership))

    def truncate(self, index: int, commit: int) -> None:
        """Remove the entries from ``index`` on; committed ones can't be removed."""
        if index <= commit:
            raise InvariantError(
                f"entry {index} is committed (up to {commit}); can't truncate it"
            )
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact(self, snapshot: Snapshot, keep: int, keep_bytes: int) -> None:
        """Use a newer snapshot; retain up to ``keep`` entries up to its index.

        Their data has at most ``keep_bytes``.
        """
        if snapshot.index <= self.snapshot.index:
            raise InvariantError(
                f"snapshot {snapshot.index} is not newer than the current one"
            )
        if self.term_at(snapshot.index) != snapshot.term:
            raise InvariantError(
                f"snapshot {snapshot.index} has another term than the log's entry"
            )
        self.snapshot = snapshot
        base = max(self.base_index, snapshot.index - keep)
        kept_bytes = self.data_bytes(base + 1, snapshot.index)
        while kept_bytes > keep_bytes:
            base += 1
            kept_bytes -= self.data_bytes(base, base)
        base_term = self.term_at(base)
        assert base_term is not None
        del self._entries[: base - self.base_index]
        self.base_index = base
        self._base_term = base_term
        newer = [(at, m) for at, m in self._memberships if at > snapshot.index]
        self._memberships = [(snapshot.index, snapshot.membership), *newer]
