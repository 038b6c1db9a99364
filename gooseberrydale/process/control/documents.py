"""Documents and named weights, committed by whichever replica leads."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from result import Result

from gooseberrydale.connection.control_messages import (
    DeclareReq,
    NameWeightsReq,
    ReadDocumentReq,
)
from gooseberrydale.errors import Problem
from gooseberrydale.process.control.leader_requests import LeaderRequests
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.declared import KeyHolder

_ReadResult = Result[Document | None, Problem]


class Documents:
    """Declares and reads documents and names weights, on behalf of operators."""

    def __init__(self, requests: LeaderRequests) -> None:
        self._requests = requests
        self._reading: asyncio.Task[_ReadResult] | None = None
        self._next_read: asyncio.Task[_ReadResult] | None = None

    async def close(self) -> None:
        """Cancel the reads."""
        reads = [task for task in (self._reading, self._next_read) if task is not None]
        for task in reads:
            task.cancel()
        await asyncio.gather(*reads, return_exceptions=True)

    async def declare(
        self, document: Document, workspaces: Iterable[KeyHolder] = ()
    ) -> Result[None, Problem]:
        """Put ``document`` in force if its number is higher than the current one's.

        ``workspaces`` are those in it.  Ok means that a quorum has stored this
        document, or a newer one, on disk.
        """
        isolated: list[str] = []
        sharing: list[str] = []
        for workspace in workspaces:
            names = isolated if workspace.isolated else sharing
            names.append(workspace.name)
        req = DeclareReq(document, tuple(isolated), tuple(sharing))
        return (await self._requests.ask(req)).map(lambda _: None)

    async def name_weights(self, model: str, version: int) -> Result[None, Problem]:
        """Have ``model`` served with ``version`` unless a newer version was named."""
        req = NameWeightsReq(model, version)
        return (await self._requests.ask(req)).map(lambda _: None)

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
        reply = await self._requests.ask(ReadDocumentReq())
        return reply.map(lambda read: read.document)
