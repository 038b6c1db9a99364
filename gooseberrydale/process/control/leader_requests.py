"""Commits requests at whichever replica leads.

Any replica may be asked; one that doesn't lead forwards the request to the leader and
returns its answer.
"""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.errors import Problem
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.proposer import Proposer

ASK_TIMEOUT_S = 0.9
"""Less than the second after which callers try another replica."""


class LeaderRequests:
    """Commits requests here or at the leader."""

    def __init__(
        self, commit: GroupCommit, proposer: Proposer, client: ControlClient
    ) -> None:
        self._commit = commit
        self._proposer = proposer
        self._client = client

    async def close(self) -> None:
        """Close the connections to other replicas."""
        await self._client.close()

    async def ask(self, req: Any) -> Result[Any, Problem]:
        """Return the reply to ``req``; Ok means that a quorum has it on disk.

        After an error the request may or may not have been committed.
        """
        if self._proposer.leads:
            result = await self._commit.submit(req)
        else:
            result = await self._client.ask(req, ASK_TIMEOUT_S)
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        return Ok(reply) if reply.problem is None else Err(reply.problem)
