"""Keeps a mesh session to one address open as long as the process runs.

Each attempt uses a new gRPC channel.  This leaves behind a connection whose state a
device on the network path has dropped.  A silent session is replaced in the same way;
sessions to other addresses are not affected.
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
    """Opens a session to ``address`` and reopens it whenever it ends.

    ``close`` stops this.  It also stops if the address belongs to this process itself.
    ``backoff_max_s`` replaces the longest delay between two attempts.
    """

    def __init__(
        self,
        address: str,
        token: str,
        tls: TlsFiles | None,
        node: MeshNode,
        rng: random.Random,
        backoff_max_s: float | None = None,
    ) -> None:
        self.address = address
        self._token = token
        self._tls = tls
        self._node = node
        timings = node.timings
        if backoff_max_s is None:
            backoff_max_s = timings.backoff_max_s
        self._backoff = Backoff(timings.backoff_first_s, backoff_max_s, rng)
        self._open_s = timings.open_s
        self._failed = False
        self._session: MeshSession | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        """Whether the peer has sent its Hello on the open session."""
        return self._session is not None and self._session.peer is not None

    async def start(self) -> None:
        """Start to connect, without waiting for the session."""
        self._task = asyncio.create_task(self._keep_open())
        self._task.add_done_callback(_report_exception)

    async def close(self) -> None:
        """End the session and stop connecting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _keep_open(self) -> None:
        while True:
            session = MeshSession(self._node, opens=True)
            end = await self._run_session(session)
            if self._is_to_self(session):
                return
            self._adjust_timings(session, end)
            await asyncio.sleep(self._backoff.next_s())

    async def _run_session(self, session: MeshSession) -> SessionEnd:
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
            logger.warning("mesh session to {} failed: {}", self.address, exc)
        finally:
            self._session = None
            await channel.close()
        return SessionEnd.ENDED

    def _log_failure(self, exc: grpc.aio.AioRpcError) -> None:
        """Log a wrong fleet token as an error and an absent peer only for debugging."""
        refused = exc.code() is grpc.StatusCode.UNAUTHENTICATED
        if refused and not self._failed:
            remedy = problem(WRONG_FLEET_TOKEN).message
            logger.error("mesh session to {} refused: {}", self.address, remedy)
        else:
            logger.debug(
                "cannot open mesh session to {}: {}", self.address, exc.details()
            )

    async def _reachable(self) -> bool:
        """Whether a process listens at the address; far cheaper than a channel."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(self._open_s):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def _is_to_self(self, session: MeshSession) -> bool:
        own = self._node.identity.incarnation
        return session.peer is not None and session.peer.incarnation == own

    def _adjust_timings(self, session: MeshSession, end: SessionEnd) -> None:
        """Adjust the backoff and the time limit for opening to the last attempt."""
        timings = self._node.timings
        self._failed = session.peer is None
        lasted_s = session.received_at - session.opened_at
        if lasted_s >= timings.stable_s:
            self._backoff.reset()
        if session.peer is not None:
            logger.info("mesh session to {} lasted {:.1f} s", self.address, lasted_s)
            self._open_s = timings.open_s
        elif end is SessionEnd.SILENT:
            self._open_s = min(self._open_s * 2, timings.open_max_s)


def _report_exception(task: asyncio.Task[None]) -> None:
    """Pass an unexpected exception to the exception handler of the event loop."""
    if task.cancelled() or task.exception() is None:
        return
    asyncio.get_running_loop().call_exception_handler(
        {
            "message": "mesh client stopped by an unexpected error",
            "exception": task.exception(),
        }
    )
