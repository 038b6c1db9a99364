"""Control replicas that a process knows: those of its settings, then the members.

The settings of a process list replicas as of its start, and each of them may be
replaced by another one at a new address while the process runs.  The members of the
control log are therefore passed on to all processes, which replace their lists by them.
This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gooseberrydale.connection.codec import message

CONTROL_SESSIONS = 3
"""Number of members that a process holds sessions to.  All processes choose the same
ones, so that announcements reach everyone with few sessions between replicas."""

MAX_FORMER = 4
"""Number of former members that are remembered."""


@message
@dataclass(frozen=True, slots=True)
class ControlMembers:
    """The voters of the control log after its entry ``index``, as gRPC addresses.

    They are in the order in which they joined.  ``former`` are members before them, the
    last one first; one that was cut off meanwhile doesn't know any of the current ones.
    """

    index: int = 0
    addresses: tuple[str, ...] = ()
    former: tuple[str, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class ReadMembersReq:
    """Asks a replica for the :class:`ControlMembers` that it knows.

    If these are the ones of ``index``, it answers once they change, or after some
    seconds (long polling).
    """

    index: int = 0


class KnownControls:
    """Addresses of control replicas.

    These are the ones ``listed`` in the settings until the members are known.  ``own``
    is the address of this process if it is a replica itself; it is left out.
    """

    def __init__(self, listed: Iterable[str], own: str = "") -> None:
        self._listed = tuple(listed)
        self._stored: tuple[str, ...] = ()
        self._own = own
        self._members = ControlMembers()
        self._listeners: list[Callable[[], None]] = []

    @property
    def members(self) -> ControlMembers:
        """The newest known members; none before the first report of them."""
        return self._members

    @property
    def preferred(self) -> tuple[str, ...]:
        """The replicas to hold sessions to."""
        if not self._members.addresses:
            return self.current
        return self._others_than_own(self._members.addresses[:CONTROL_SESSIONS])

    @property
    def current(self) -> tuple[str, ...]:
        """All members; the listed and the stored replicas if no members are known."""
        if self._members.addresses:
            return self._others_than_own(self._members.addresses)
        return self._others_than_own(dict.fromkeys((*self._listed, *self._stored)))

    @property
    def others(self) -> tuple[str, ...]:
        """Further addresses, to be tried while no preferred replica can be reached."""
        known = dict.fromkeys((*self._members.addresses, *self._listed, *self._stored))
        preferred = set(self.preferred)
        return self._others_than_own(a for a in known if a not in preferred)

    @property
    def former(self) -> tuple[str, ...]:
        """Former members; a replica that was replaced while cut off is among them."""
        return self._others_than_own(self._members.former)

    def restore(self, stored: ControlMembers) -> None:
        """Add the members that an earlier incarnation of this process stored.

        Any report replaces them: the disk may be that of another deployment.
        """
        self._stored = stored.addresses

    def offer(self, members: ControlMembers) -> bool:
        """Replace the known members if ``members`` are newer; return whether so."""
        if members.index <= self._members.index or not members.addresses:
            return False
        has_changed = members.addresses != self._members.addresses
        self._members = members
        if has_changed:
            for listener in tuple(self._listeners):
                listener()
        return has_changed

    def commit(self, index: int, addresses: Iterable[str]) -> bool:
        """Record the members of the own log after its entry ``index``."""
        current = tuple(addresses)
        before = (*self._members.addresses, *self._members.former)
        former = tuple(a for a in dict.fromkeys(before) if a not in current)
        return self.offer(ControlMembers(index, current, former[:MAX_FORMER]))

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call ``listener`` after each change of members; return how to stop that."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _others_than_own(self, addresses: Iterable[str]) -> tuple[str, ...]:
        return tuple(address for address in addresses if address != self._own)
