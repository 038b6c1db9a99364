"""Serves the mesh sessions that other processes open to this one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from loguru import logger

from gooseberrydale.connection.mesh import MeshMessage
from gooseberrydale.connection.mesh_node import MeshNode
from gooseberrydale.connection.mesh_session import MeshSession
from gooseberrydale.connection.rpc import MESH_SESSION, RpcServer
from gooseberrydale.errors import ProblemError


class MeshServer:
    """The server of mesh sessions in an entry or a control replica."""

    def __init__(self, node: MeshNode) -> None:
        self._node = node
        self._closed = False
        self._sessions: set[MeshSession] = set()

    def register(self, rpc_server: RpcServer) -> None:
        """Serve sessions on ``rpc_server``; call before its ``start``."""
        rpc_server.streaming(MESH_SESSION, self._serve)

    def close(self) -> None:
        """End all sessions, without waiting for them, and refuse new ones."""
        self._closed = True
        for session in tuple(self._sessions):
            session.close()

    async def _serve(
        self, incoming: AsyncIterator[MeshMessage]
    ) -> AsyncIterator[MeshMessage]:
        if self._closed:
            return
        session = MeshSession(self._node, opens=False)
        self._sessions.add(session)
        runner = asyncio.create_task(self._run(session, incoming))
        try:
            async for msg in session.outgoing():
                yield msg
        finally:
            self._sessions.discard(session)
            runner.cancel()

    async def _run(
        self, session: MeshSession, incoming: AsyncIterator[MeshMessage]
    ) -> None:
        try:
            await session.run(incoming, self._node.timings.silence_s)
        except ProblemError as exc:
            logger.warning("incoming mesh session failed: {}", exc)
