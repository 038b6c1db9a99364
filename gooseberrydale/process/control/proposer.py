"""How the role gets an entry committed, and the way without replication.

Lives as long as the process.  A replica proposes through the replicated log; the
in-memory proposer serves the local mode, whose state is lost with the process.
"""

from __future__ import annotations

from typing import Protocol

from result import Ok, Result

from gooseberrydale.errors import Problem
from gooseberrydale.process.control.replica import Replica
from gooseberrydale.version.replication.machine import StateMachine


class Proposer(Protocol):
    """Commits entries to the log that drives the state machine."""

    @property
    def leads(self) -> bool:
        """Whether this process may propose, and give orders, right now."""

    @property
    def leader(self) -> str:
        """gRPC address of the leader as far as known, else empty."""

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit ``command`` and return the state machine's answer."""


class InMemoryProposer:
    """Applies each entry at once; there is nobody else to agree with."""

    def __init__(self, machine: StateMachine) -> None:
        self._machine = machine
        self._index = 0

    @property
    def leads(self) -> bool:
        """Always: there is only this process."""
        return True

    @property
    def leader(self) -> str:
        """Empty: there is nobody to redirect to."""
        return ""

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Apply ``command``; never fails."""
        self._index += 1
        return Ok(self._machine.apply(self._index, command))


class ReplicatedProposer:
    """Proposes through this process's replica of the log."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def leads(self) -> bool:
        """Whether the replica leads under a lease that holds."""
        return self._replica.may_lead()

    @property
    def leader(self) -> str:
        """gRPC address of the leader as far as the replica knows."""
        return self._replica.leader_address

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit ``command`` by a quorum and return the state machine's answer."""
        return await self._replica.propose(command, timeout_s)
