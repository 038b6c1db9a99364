"""Interface for committing log entries, with and without replication.

A replica commits through the replicated log. The in-memory proposer serves the local
mode, where the state is lost when the process ends.
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
        """Whether this process may propose entries and send orders now."""

    @property
    def leader(self) -> str:
        """gRPC address of the leader; empty if it is unknown."""

    @property
    def cluster(self) -> str:
        """Id of the cluster that this process belongs to; empty without replication."""

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit ``command`` and return the state machine's answer."""


class InMemoryProposer:
    """Applies each entry immediately, as there are no other replicas."""

    def __init__(self, machine: StateMachine) -> None:
        self._machine = machine
        self._index = 0

    @property
    def leads(self) -> bool:
        """Always True: there is no other replica."""
        return True

    @property
    def leader(self) -> str:
        """Always empty: there is no other replica to redirect to."""
        return ""

    @property
    def cluster(self) -> str:
        """Always empty: there is no cluster."""
        return ""

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Apply ``command``; never fails."""
        self._index += 1
        return Ok(self._machine.apply(self._index, command))


class ReplicatedProposer:
    """Commits through this process's replica of the log."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def leads(self) -> bool:
        """Whether the replica leads and its lease is valid."""
        return self._replica.may_lead()

    @property
    def leader(self) -> str:
        """gRPC address of the last recorded leader; empty if unknown."""
        return self._replica.leader_address

    @property
    def cluster(self) -> str:
        """Id of the cluster that the replica belongs to."""
        return self._replica.status.cluster

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit ``command`` with a quorum and return the state machine's answer."""
        return await self._replica.propose(command, timeout_s)
