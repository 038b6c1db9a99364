"""Periodic proposals of the leader: the configured limits, and the current time.

A replica that doesn't lead proposes nothing.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gooseberrydale.connection.control_messages import Limits, SetLimitsReq, TickReq
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.proposer import Proposer
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.control_state import ControlState

INTERVAL_S = 0.5


class Upkeep:
    """Updates the committed limits and the committed time when they are outdated."""

    def __init__(
        self,
        state: ControlState,
        proposer: Proposer,
        commit: GroupCommit,
        limits: Limits,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._commit = commit
        self._limits = limits
        self._wall = wall
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the periodic check."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop the periodic check."""
        await stop(self._tasks)

    async def _run(self) -> None:
        while True:
            if self._proposer.leads:
                await self._propose_due()
            await asyncio.sleep(INTERVAL_S)

    async def _propose_due(self) -> None:
        if self._state.limits != self._limits:
            await self._commit.submit(SetLimitsReq(self._limits))
        if self._is_due():
            await self._commit.submit(TickReq())

    def _is_due(self) -> bool:
        # Committing any entry after a recovery makes the state skip the revision
        # numbers that were lost.
        if self._state.cluster != self._proposer.cluster:
            return True
        due_s = self._state.next_due_s()
        return due_s is not None and due_s <= self._wall()
