"""Documents and named weights: committed by whichever replica leads.

Lives as long as the process.  Operators may reach any replica; one that does not lead
passes the request to the leader and answers with what became of it there.
"""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.connection.control_messages import (
    DeclareReq,
    NameWeightsReq,
    ReadDocumentReq,
)
from gooseberrydale.errors import Problem
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.proposer import Proposer
from gooseberrydale.version.declarations import Document

ASK_TIMEOUT_S = 0.9
"""Operators try another replica after a second without an answer."""


class Documents:
    """What operators of documents may ask of this replica."""

    def __init__(
        self, commit: GroupCommit, proposer: Proposer, client: ControlClient
    ) -> None:
        self._commit = commit
        self._proposer = proposer
        self._client = client

    async def close(self) -> None:
        """Close the connections to other replicas."""
        await self._client.close()

    async def declare(self, document: Document) -> Result[None, Problem]:
        """Put ``document`` in force unless one with a number as high is.

        Ok says that a quorum has it, or one that overtook it, on disk.
        """
        return (await self._ask(DeclareReq(document))).map(lambda _: None)

    async def name_weights(self, model: str, version: int) -> Result[None, Problem]:
        """Have ``model`` served with ``version`` unless a later one was named."""
        return (await self._ask(NameWeightsReq(model, version))).map(lambda _: None)

    async def read(self) -> Result[Document | None, Problem]:
        """The document in force; an error if that can't be known for sure now."""
        return (await self._ask(ReadDocumentReq())).map(lambda reply: reply.document)

    async def _ask(self, req: Any) -> Result[Any, Problem]:
        if self._proposer.leads:
            found = await self._commit.ask(req)
        else:
            found = await self._client.ask(req, ASK_TIMEOUT_S)
        if isinstance(found, Err):
            return found
        reply = found.ok_value
        return Ok(reply) if reply.problem is None else Err(reply.problem)
