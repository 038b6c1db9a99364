"""Queue of waiting work, ordered by priority, then fairly between workspaces.

Start-time fair queueing: the start tag of work is the virtual time or the last finish
tag of its workspace, whichever is greater.  The work with the lowest start tag starts
first.  Its finish tag is its start tag plus ``tokens / share``.  The virtual time is
the start tag of the work that started last; each priority has its own virtual time.
Pure.  A sidecar's gate uses the queue; the queues of gateways use its start tags.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PRUNE_THRESHOLD_WORKSPACES = 1_024


@dataclass(frozen=True, slots=True)
class Work:
    """One attempt that waits to start.

    ``tokens`` is the estimated uncached part of its prompt, ``deadline_s`` the time
    left until its first token is due, ``share`` the weight of its workspace.  ``id``
    is unique for each attempt.
    """

    id: str
    workspace: str
    tokens: int
    deadline_s: float
    share: float = 1.0
    priority: int = 0
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """Queued work; the work with the lowest ``rank`` starts first."""

    work: Work
    offered_at: float
    rank: tuple[int, float, int]


@dataclass(slots=True)
class StartTags:
    """Virtual time of one priority, and the last finish tag of each workspace."""

    virtual: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)

    def next_tag(self, workspace: str) -> float:
        """Return the start tag that the next work of a workspace gets."""
        return max(self.virtual, self.finish.get(workspace, 0.0))

    def offered(self, workspace: str, cost: float) -> float:
        """Count work that is offered, and return its start tag."""
        start = self.next_tag(workspace)
        self.finish[workspace] = start + cost
        return start

    def started(self, start_tag: float) -> None:
        """Advance the virtual time to work that starts; drop idle workspaces."""
        self.virtual = max(self.virtual, start_tag)
        if len(self.finish) > PRUNE_THRESHOLD_WORKSPACES:
            self.finish = {w: t for w, t in self.finish.items() if t > self.virtual}

    def refund(self, workspace: str, cost: float) -> None:
        """Take back the cost of work that leaves without starting."""
        if workspace in self.finish:
            self.finish[workspace] -= cost


class FairQueue:
    """The waiting work of one upstream.  The caller limits its length."""

    def __init__(self) -> None:
        self._items: dict[str, QueuedWork] = {}
        self._tags: dict[int, StartTags] = {}
        self._seq = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._items

    def items(self) -> list[QueuedWork]:
        """Return all waiting work in no particular order."""
        return list(self._items.values())

    def tokens(self) -> int:
        """Return the estimated tokens of all waiting work."""
        return sum(waiting.work.tokens for waiting in self._items.values())

    def push(self, work: Work, now: float) -> None:
        """Add work at its rank."""
        start = self._tags_of(work).offered(work.workspace, _cost(work))
        self._seq += 1
        rank = (-work.priority, start, self._seq)
        self._items[work.id] = QueuedWork(work, now, rank)

    def pop(self) -> QueuedWork | None:
        """Remove and return the work with the lowest rank; None if there is none."""
        if not self._items:
            return None
        first = min(self._items.values(), key=_rank)
        del self._items[first.work.id]
        self._tags_of(first.work).started(first.rank[1])
        return first

    def remove(self, work_id: str) -> QueuedWork | None:
        """Remove and return the given work, and refund its cost to its workspace."""
        removed = self._items.pop(work_id, None)
        if removed is not None:
            work = removed.work
            self._tags_of(work).refund(work.workspace, _cost(work))
        return removed

    def ahead_of(self, work: Work) -> tuple[int, int]:
        """Return the tokens and the count of the work that starts before ``work``."""
        rank = self._rank_of(work)
        ahead = [w.work.tokens for w in self._items.values() if w.rank < rank]
        return sum(ahead), len(ahead)

    def last_behind(self, work: Work) -> QueuedWork | None:
        """Return the work that starts last; None if ``work`` would start after it."""
        if not self._items:
            return None
        last = max(self._items.values(), key=_rank)
        return last if last.rank > self._rank_of(work) else None

    def _rank_of(self, work: Work) -> tuple[int, float, int]:
        start = self._tags_of(work).next_tag(work.workspace)
        return -work.priority, start, self._seq + 1

    def _tags_of(self, work: Work) -> StartTags:
        return self._tags.setdefault(work.priority, StartTags())


def _cost(work: Work) -> float:
    return max(1, work.tokens) / work.share


def _rank(waiting: QueuedWork) -> tuple[int, float, int]:
    return waiting.rank
