"""Documents and named weights, committed by whichever replica leads.

Operators may send requests to any replica; one that doesn't lead forwards them to the
leader and returns its answer.
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
"""Less than the second after which operators try another replica."""


class Documents:
    """Declares and reads documents and names weights, on behalf of operators."""

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
        """Put ``document`` in force if its number is higher than the current one's.

        Ok means that a quorum has stored this document, or a newer one, on disk.
        """
        return (await self._ask(DeclareReq(document))).map(lambda _: None)

    async def name_weights(self, model: str, version: int) -> Result[None, Problem]:
        """Have ``model`` served with ``version`` unless a newer version was named."""
        return (await self._ask(NameWeightsReq(model, version))).map(lambda _: None)

    async def read(self) -> Result[Document | None, Problem]:
        """Return the document in force; an error if the leader can't confirm it now."""
        return (await self._ask(ReadDocumentReq())).map(lambda reply: reply.document)

    async def _ask(self, req: Any) -> Result[Any, Problem]:
        """Commit ``req`` here, or forward it to the leader."""
        if self._proposer.leads:
            result = await self._commit.submit(req)
        else:
            result = await self._client.ask(req, ASK_TIMEOUT_S)
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        return Ok(reply) if reply.problem is None else Err(reply.problem)
