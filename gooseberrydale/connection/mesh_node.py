"""What all mesh sessions of one process share.

Lives as long as the process: its identity, the directory, the configuration
store, what was last heard of each peer, and the one pull of a configuration that
may be under way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gooseberrydale.connection.mesh import CONTROL_ROLE, Hello
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations


@dataclass(frozen=True, slots=True)
class MeshTimings:
    """Times of the mesh in seconds.

    ``gather_s`` and ``renewal_gather_s`` are how long changed and renewed records
    wait for others to share a message with.  A session is replaced after
    ``silence_s`` without a message; one that is being opened gets ``open_s``,
    doubled after each failure up to ``open_max_s``, so that a server that is slow
    because of many openings is not burdened with ever more of them.  A session
    that lasted ``stable_s`` resets the backoff.
    """

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    open_s: float = 1.0
    open_max_s: float = 8.0
    gather_s: float = 0.01
    renewal_gather_s: float = 0.25
    pull_s: float = 0.5
    backoff_first_s: float = 0.1
    backoff_max_s: float = 0.5
    stable_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is, as told in each Hello."""

    role: str
    name: str
    incarnation: str
    zone: str


@dataclass(frozen=True, slots=True)
class PeerState:
    """The last that was heard of a process: its revision, and when (loop clock)."""

    role: str
    name: str
    incarnation: str
    zone: str
    revision: int
    heard_at: float


AckListener = Callable[[PeerState], None]


class Session(Protocol):
    """What the node asks of an open session."""

    def records_changed(self, urgent: bool) -> None:
        """The directory took a record in."""

    def config_changed(self) -> None:
        """A higher revision is in force."""

    def incarnations_ended(self) -> None:
        """There is news of incarnations of upstreams that ended."""

    def close(self) -> None:
        """End the session soon."""


class MeshNode:
    """Shared state of the sessions; start it before they open."""

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        store: ConfigStore,
        *,
        on_ack: AckListener | None = None,
        timings: MeshTimings | None = None,
        ended_incarnations: EndedIncarnations | None = None,
    ) -> None:
        self.identity = identity
        self.ended_incarnations = (
            EndedIncarnations() if ended_incarnations is None else ended_incarnations
        )
        self.directory = directory
        self.store = store
        self.timings = timings if timings is not None else MeshTimings()
        self.highest_revision = 0
        self.control_heard_at = 0.0
        self._on_ack = on_ack
        self._sessions: dict[Session, PeerState | None] = {}
        self._pull_until = 0.0
        self._pulled_revision = 0
        self._unsubscribe: tuple[Callable[[], None], ...] = ()
        self._watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to tell sessions of changes."""
        self._unsubscribe = (
            self.directory.subscribe(self._records_changed),
            self.ended_incarnations.subscribe(self._incarnations_ended),
        )
        self._watch = asyncio.create_task(self._watch_config())

    async def close(self) -> None:
        """Ask all sessions to end and stop telling them of changes."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = ()
        if self._watch is not None:
            self._watch.cancel()
            await asyncio.gather(self._watch, return_exceptions=True)
            self._watch = None
        for session in tuple(self._sessions):
            session.close()

    def hello(self, now: float, echo_at: float | None) -> Hello:
        """The message that opens a session from this side."""
        me = self.identity
        return Hello(
            role=me.role,
            name=me.name,
            incarnation=me.incarnation,
            zone=me.zone,
            cfg_revision=self.store.revision,
            sent_at=now,
            echo_at=echo_at,
            takes_renewals=True,
        )

    def opened(self, session: Session) -> None:
        """Count ``session`` in."""
        self._sessions[session] = None

    def ended(self, session: Session) -> None:
        """Count ``session`` out."""
        self._sessions.pop(session, None)

    def heard(self, session: Session, hello: Hello, revision: int, now: float) -> None:
        """Note that the peer of ``session`` has ``revision`` in force."""
        peer = PeerState(
            role=hello.role,
            name=hello.name,
            incarnation=hello.incarnation,
            zone=hello.zone,
            revision=revision,
            heard_at=now,
        )
        if session in self._sessions:
            self._sessions[session] = peer
        self.highest_revision = max(self.highest_revision, revision)
        if hello.role == CONTROL_ROLE:
            self.control_heard_at = now
        if self._on_ack is not None:
            self._on_ack(peer)

    def peers(self) -> tuple[PeerState, ...]:
        """Peers of the open sessions; one with two sessions comes twice."""
        return tuple(peer for peer in self._sessions.values() if peer is not None)

    def claim_pull(self, revision: int, now: float) -> float | None:
        """Let one session at a time ask for a configuration.

        Return None if the caller shall ask now for ``revision``, else the time at
        which it may try again.  With many sessions open, a new revision then
        crosses the network once.
        """
        pending = self._pulled_revision > self.store.revision
        if pending and now < self._pull_until:
            return self._pull_until
        self._pulled_revision = revision
        self._pull_until = now + self.timings.pull_s
        return None

    def _records_changed(self, urgent: bool) -> None:
        for session in self._sessions:
            session.records_changed(urgent)

    def _incarnations_ended(self) -> None:
        for session in self._sessions:
            session.incarnations_ended()

    async def _watch_config(self) -> None:
        revision = self.store.revision
        while True:
            config = await self.store.wait_newer(revision)
            revision = config.revision
            for session in tuple(self._sessions):
                session.config_changed()
