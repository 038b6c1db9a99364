"""The process's part in the mesh: who is there, and which configuration holds.

Lives as long as the process.  ``Mesh`` opens the sessions that the role calls
for, announces the process's own upstream, if there is one, and ends leases.
Processes that serve sessions also ``register`` it with their gRPC listener.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.rpc import RpcServer
from gooseberrydale.process.cfg import Cfg
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.directory import Directory

OwnRecord = Callable[[], UpstreamRecord | None]


@dataclass(frozen=True, slots=True)
class PeerState:
    """The last that was heard of a process: its revision, and when (loop clock)."""

    role: str
    name: str
    incarnation: str
    zone: str
    revision: int
    heard_at: float


class Mesh:
    """Sessions, announcements and leases of one process; start it once.

    ``role`` is ``entry``, ``sidecar`` or ``control``.  ``own_record`` is asked for
    each announcement; the mesh sets ``seq`` itself.  ``on_ack`` is called with a
    :class:`PeerState` whenever a process tells its revision.
    """

    def __init__(
        self,
        cfg: Cfg,
        role: str,
        directory: Directory,
        store: ConfigStore,
        own_record: OwnRecord | None,
        token: str,
        incarnation: str,
        *,
        on_ack: Callable[[PeerState], None] | None = None,
    ) -> None:
        raise NotImplementedError

    def register(self, rpc_server: RpcServer) -> None:
        """Serve mesh sessions on ``rpc_server``; call before its ``start``."""
        raise NotImplementedError

    async def start(self) -> None:
        """Open the sessions, announce the own record, begin to end leases."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close all sessions; leases held elsewhere run out."""
        raise NotImplementedError

    def announce(self) -> None:
        """Announce the own record now, because it changed."""
        raise NotImplementedError

    @property
    def connected(self) -> bool:
        """Whether any session is open and heard of."""
        raise NotImplementedError

    @property
    def behind(self) -> bool:
        """Whether a peer has a higher revision than is in force here."""
        raise NotImplementedError

    @property
    def control_silence_s(self) -> float:
        """Seconds since a control replica was last heard (since start if never)."""
        raise NotImplementedError

    def peers(self) -> tuple[PeerState, ...]:
        """Every process that has an open session here, as last heard."""
        raise NotImplementedError
