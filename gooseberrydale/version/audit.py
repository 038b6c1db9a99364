"""The audit trail: who tried to change what, when, and with which outcome.

The trail is part of the replicated control state.  It also records refused
attempts.  Its size is bounded: the oldest entries are dropped first.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice

from gooseberrydale.connection.codec import message

MAX_TEXT_CHARS = 2_000
ACCEPTED = "accepted"
RESENT = "resent"


@message
@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One attempt to change one profile, workspace, upstream or other object.

    ``before`` and ``after`` are JSON texts, empty if the object did not or does not
    exist; for a refused attempt ``after`` is the requested content.  ``outcome`` is
    ``accepted``, ``resent`` for a repeated request that got its stored answer, or
    the error code of the refusal.  ``wall_s`` is in Unix seconds.
    """

    number: int
    wall_s: float
    operator: str
    change_id: str
    action: str
    name: str
    before: str
    after: str
    outcome: str
    revision: int


class AuditTrail:
    """The newest entries, numbered from 1 without gaps."""

    def __init__(self, entries: tuple[AuditEntry, ...] = (), last: int = 0) -> None:
        self._entries = deque(entries)
        self._last = last

    @property
    def last(self) -> int:
        """Number of the newest entry ever written."""
        return self._last

    @property
    def entries(self) -> tuple[AuditEntry, ...]:
        """All retained entries, oldest first."""
        return tuple(self._entries)

    def newest(self, count: int) -> list[AuditEntry]:
        """Return up to ``count`` entries, newest first."""
        return list(islice(reversed(self._entries), count))

    def add(
        self,
        *,
        keep: int,
        wall_s: float,
        operator: str,
        action: str,
        outcome: str,
        revision: int,
        change_id: str = "",
        name: str = "",
        before: str = "",
        after: str = "",
    ) -> None:
        """Append an entry and drop the oldest ones beyond ``keep`` entries."""
        self._last += 1
        entry = AuditEntry(
            number=self._last,
            wall_s=wall_s,
            operator=operator,
            change_id=change_id,
            action=action,
            name=name,
            before=before[:MAX_TEXT_CHARS],
            after=after[:MAX_TEXT_CHARS],
            outcome=outcome,
            revision=revision,
        )
        self._entries.append(entry)
        while len(self._entries) > keep:
            self._entries.popleft()
