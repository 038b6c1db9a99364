"""Keeps one mesh session to one address open for good.

Lives as long as the process.  Each try uses a channel of its own, so whatever a
path in between has lost track of is left behind; a silent session is replaced in
the same way while the sessions to other addresses go on.
"""

from __future__ import annotations

import asyncio
import random

import grpc
import grpc.aio
from loguru import logger

from gooseberrydale.connection.backoff import Backoff
from gooseberrydale.connection.mesh_node import MeshNode
from gooseberrydale.connection.mesh_session import MeshSession, SessionEnd
from gooseberrydale.connection.rpc import MESH_SESSION, RpcChannel, TlsFiles
from gooseberrydale.errors import WRONG_FLEET_TOKEN, ProblemError, problem


class MeshClient:
    """Opens a session to ``address`` again and again; ``close`` stops that.

    It stops by itself if the address turns out to be this very process.
    """

    def __init__(
        self,
        address: str,
        token: str,
        tls: TlsFiles | None,
        node: MeshNode,
        rng: random.Random,
    ) -> None:
        self.address = address
        self._token = token
        self._tls = tls
        self._node = node
        timings = node.timings
        self._backoff = Backoff(timings.backoff_first_s, timings.backoff_max_s, rng)
        self._open_s = timings.open_s
        self._failed = False
        self._session: MeshSession | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        """Whether the peer was heard on the session that is open now."""
        return self._session is not None and self._session.peer is not None

    async def start(self) -> None:
        """Begin to connect; does not wait for the session."""
        self._task = asyncio.create_task(self._keep_open())
        self._task.add_done_callback(_report)

    async def close(self) -> None:
        """End the session and stop connecting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _keep_open(self) -> None:
        while True:
            session = MeshSession(self._node, opens=True)
            end = await self._try(session)
            if self._is_self(session):
                return
            self._adapt(session, end)
            await asyncio.sleep(self._backoff.next_s())

    async def _try(self, session: MeshSession) -> SessionEnd:
        if self._failed and not await self._reachable():
            return SessionEnd.ENDED
        channel = RpcChannel(self.address, self._token, self._tls)
        self._session = session
        try:
            call = channel.call(MESH_SESSION, session.outgoing())
            return await session.run(call, self._open_s)
        except grpc.aio.AioRpcError as exc:
            self._log_failure(exc)
        except ProblemError as exc:
            logger.warning("mesh session to {} refused: {}", self.address, exc)
        finally:
            self._session = None
            await channel.close()
        return SessionEnd.ENDED

    def _log_failure(self, exc: grpc.aio.AioRpcError) -> None:
        """Log at a level that suits the cause; absent peers are ordinary."""
        if exc.code() is grpc.StatusCode.UNAUTHENTICATED:
            remedy = problem(WRONG_FLEET_TOKEN).message
            logger.error("mesh session to {} refused: {}", self.address, remedy)
        else:
            logger.debug("no mesh session to {}: {}", self.address, exc.details())

    async def _reachable(self) -> bool:
        """Whether anyone listens there: far cheaper to ask than with a channel."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(self._open_s):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def _is_self(self, session: MeshSession) -> bool:
        own = self._node.identity.incarnation
        return session.peer is not None and session.peer.incarnation == own

    def _adapt(self, session: MeshSession, end: SessionEnd) -> None:
        """Let the backoff and the time to open follow from how the try went."""
        timings = self._node.timings
        self._failed = session.peer is None
        lasted_s = session.heard_at - session.opened_at
        if lasted_s >= timings.stable_s:
            self._backoff.reset()
        if session.peer is not None:
            logger.info("mesh session to {} lasted {:.1f} s", self.address, lasted_s)
            self._open_s = timings.open_s
        elif end is SessionEnd.SILENT:
            self._open_s = min(self._open_s * 2, timings.open_max_s)


def _report(task: asyncio.Task[None]) -> None:
    """Hand a fault of the program itself to the loop's handler."""
    if task.cancelled() or task.exception() is None:
        return
    asyncio.get_running_loop().call_exception_handler(
        {"message": "mesh client stopped", "exception": task.exception()}
    )
