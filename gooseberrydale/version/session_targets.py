"""Selects the entries that a process opens mesh sessions to.

The result depends only on the arguments, so a restarted process selects the same
entries again.  Rendezvous hashing spreads the sessions evenly and moves few of them
when entries are added or removed.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryPoint:
    """An entry's gRPC address and its availability zone, empty if not known."""

    address: str
    zone: str = ""


def session_targets(
    name: str, zone: str, entries: Iterable[EntryPoint], bound: int
) -> tuple[str, ...]:
    """Return at most ``bound`` addresses for the process ``name`` in ``zone``.

    Entries of the process's own zone are preferred, but the last slot is reserved for
    another zone: the loss of one zone must not cut the process off.
    """
    ranked = sorted(set(entries), key=lambda entry: _weight(name, entry), reverse=True)
    near = [entry.address for entry in ranked if entry.zone == zone]
    far = [entry.address for entry in ranked if entry.zone != zone]
    near_count = min(len(near), max(bound - min(len(far), 1), 0))
    chosen = near[:near_count] + far[: max(bound - near_count, 0)]
    return tuple(chosen)


def _weight(name: str, entry: EntryPoint) -> bytes:
    return hashlib.blake2b(f"{name}|{entry.address}".encode(), digest_size=8).digest()
