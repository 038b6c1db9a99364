"""Queue of waiting work: by priority, then fair between workspaces.

Start-time fair queueing: work gets a start tag, the greater of the virtual time and
its workspace's last finish tag; the least tag goes first, and the finish tag lies
``tokens / share`` behind it.  Virtual time is the start tag of the work that started
last.  Each priority has its own virtual time.  Pure; part of a sidecar's gate.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PRUNE_WORKSPACES = 1_024


@dataclass(frozen=True, slots=True)
class Work:
    """One attempt that wants to start.

    ``tokens`` estimates its uncached prompt, ``deadline_s`` is the time left to its
    first token in seconds, ``share`` the weight of its workspace.  ``id`` is unique
    for each attempt.
    """

    id: str
    workspace: str
    tokens: int
    deadline_s: float
    share: float = 1.0
    priority: int = 0
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class Waiting:
    """Queued work with its place: ``rank`` sorts, the least starts first."""

    work: Work
    offered_at: float
    rank: tuple[int, float, int]


@dataclass(slots=True)
class _Tags:
    """Virtual time of one priority and the last finish tag of each workspace."""

    virtual: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)

    def start_tag(self, workspace: str) -> float:
        return max(self.virtual, self.finish.get(workspace, 0.0))

    def prune(self) -> None:
        if len(self.finish) > PRUNE_WORKSPACES:
            self.finish = {w: t for w, t in self.finish.items() if t > self.virtual}


class FairQueue:
    """Waiting work of one upstream; the caller bounds its length."""

    def __init__(self) -> None:
        self._items: dict[str, Waiting] = {}
        self._tags: dict[int, _Tags] = {}
        self._seq = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, work_id: str) -> bool:
        return work_id in self._items

    def items(self) -> list[Waiting]:
        """Return all waiting work, in no order."""
        return list(self._items.values())

    def tokens(self) -> int:
        """Return the estimated tokens of all waiting work."""
        return sum(waiting.work.tokens for waiting in self._items.values())

    def push(self, work: Work, now: float) -> None:
        """Add work at its fair place."""
        tags = self._tags_of(work)
        start = tags.start_tag(work.workspace)
        tags.finish[work.workspace] = start + _cost(work)
        self._seq += 1
        rank = (-work.priority, start, self._seq)
        self._items[work.id] = Waiting(work, now, rank)

    def pop(self) -> Waiting | None:
        """Take out the work that goes first; None if none waits."""
        if not self._items:
            return None
        first = min(self._items.values(), key=_rank)
        del self._items[first.work.id]
        tags = self._tags_of(first.work)
        tags.virtual = max(tags.virtual, first.rank[1])
        tags.prune()
        return first

    def remove(self, work_id: str) -> Waiting | None:
        """Take out one work; its workspace gets the tokens back."""
        gone = self._items.pop(work_id, None)
        if gone is not None:
            self._refund(gone)
        return gone

    def ahead_of(self, work: Work) -> tuple[int, int]:
        """Return tokens and count of the work that would start before ``work``."""
        rank = self._rank_of(work)
        ahead = [w.work.tokens for w in self._items.values() if w.rank < rank]
        return sum(ahead), len(ahead)

    def worse_than(self, work: Work) -> Waiting | None:
        """Return the work that goes last if ``work`` would go before it."""
        if not self._items:
            return None
        last = max(self._items.values(), key=_rank)
        return last if last.rank > self._rank_of(work) else None

    def _rank_of(self, work: Work) -> tuple[int, float, int]:
        start = self._tags_of(work).start_tag(work.workspace)
        return -work.priority, start, self._seq + 1

    def _tags_of(self, work: Work) -> _Tags:
        return self._tags.setdefault(work.priority, _Tags())

    def _refund(self, gone: Waiting) -> None:
        tags = self._tags_of(gone.work)
        workspace = gone.work.workspace
        if workspace in tags.finish:
            tags.finish[workspace] -= _cost(gone.work)


def _cost(work: Work) -> float:
    return max(1, work.tokens) / work.share


def _rank(waiting: Waiting) -> tuple[int, float, int]:
    return waiting.rank
