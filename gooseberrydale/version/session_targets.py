"""Which entries a process opens mesh sessions to.

Pure, and the same for the same input, so a restarted process comes back to the
entries that it had.  Rendezvous hashing spreads the sessions evenly and moves few
of them when entries come or go.
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
    """Addresses of at most ``bound`` entries for the process ``name`` in ``zone``.

    Entries of the own zone come first, but the last place is kept for another
    zone, so that the loss of one zone does not cut the process off.
    """
    ranked = sorted(set(entries), key=lambda entry: _weight(name, entry), reverse=True)
    near = [entry.address for entry in ranked if entry.zone == zone]
    far = [entry.address for entry in ranked if entry.zone != zone]
    near_count = min(len(near), max(bound - min(len(far), 1), 0))
    chosen = near[:near_count] + far[: max(bound - near_count, 0)]
    return tuple(chosen)


def _weight(name: str, entry: EntryPoint) -> bytes:
    return hashlib.blake2b(f"{name}|{entry.address}".encode(), digest_size=8).digest()
