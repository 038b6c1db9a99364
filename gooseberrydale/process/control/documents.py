"""Documents and named weights, committed by whichever replica leads.

Operators may send requests to any replica; one that doesn't lead forwards them to the
leader and returns its answer.
"""

from __future__ import annotations

import asyncio
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

_ReadResult = Result[Document | None, Problem]

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
        self._reading: asyncio.Task[_ReadResult] | None = None
        self._next_read: asyncio.Task[_ReadResult] | None = None

    async def close(self) -> None:
        """Close the connections to other replicas."""
        reads = [task for task in (self._reading, self._next_read) if task is not None]
        for task in reads:
            task.cancel()
        await asyncio.gather(*reads, return_exceptions=True)
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
        """Return the document in force; an error if the leader can't confirm it now.

        Each read brings a copy of the document, so calls share one that begins after
        all of them.
        """
        if self._next_read is None:
            read = self._read_after(self._reading)
            self._next_read = asyncio.create_task(read)
        return await asyncio.shield(self._next_read)

    async def _read_after(
        self, before: asyncio.Task[_ReadResult] | None
    ) -> _ReadResult:
        if before is not None:
            await asyncio.wait({before})
        # Later calls may have to see what is committed from now on.
        self._reading, self._next_read = self._next_read, None
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
