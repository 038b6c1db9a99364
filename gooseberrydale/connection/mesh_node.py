"""State that all mesh sessions of one process share.

This is the identity of the process, the directory, the configuration store, the named
weights, the known control replicas, the last report of each peer, how recently the
configuration was known to be the newest, and the request for a configuration that is
pending, if any.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from gooseberrydale.connection.mesh import CONTROL_ROLE, Hello, NamedVersion
from gooseberrydale.log_events import ControlMembersChanged, WeightsNamed, emit
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.known_controls import ControlMembers, KnownControls
from gooseberrydale.version.named_weights import NamedWeights

MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class MeshTimings:
    """Timings of the mesh in seconds.

    ``gather_s`` and ``renewal_gather_s`` are how long changed and renewed records wait
    for others to share a message with.  A session is replaced after ``silence_s``
    without a message.  The first message must arrive within ``open_s``; this limit
    doubles after each failure up to ``open_max_s``, which limits the load on a server
    that is slow because many sessions are being opened.  ``pull_s`` is how long a
    requested configuration may take to arrive before it is requested again.  A session
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
    """The identity of this process, as sent in each Hello."""

    role: str
    name: str
    incarnation: str
    zone: str


@dataclass(frozen=True, slots=True)
class PeerState:
    """The last report of a process: its revision, and when it arrived (loop clock)."""

    role: str
    name: str
    incarnation: str
    zone: str
    revision: int
    received_at: float


AckListener = Callable[[PeerState], None]


class Session(Protocol):
    """Interface of an open session for the node."""

    def records_changed(self, urgent: bool) -> None:
        """Schedule a message, since a record of the directory has changed."""

    def config_changed(self) -> None:
        """Schedule a message, since the configuration has a higher revision."""

    def incarnations_ended(self) -> None:
        """Schedule a message, since incarnations of upstreams have ended."""

    def controls_changed(self) -> None:
        """Schedule a message, since the known members of control have changed."""

    def close(self) -> None:
        """End the session, without waiting for it."""


class MeshNode:
    """Shared state of the sessions; call ``start`` before opening sessions.

    ``leads`` is whether this process leads control now, so that it knows the newest
    revision.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        store: ConfigStore,
        *,
        on_ack: AckListener | None = None,
        timings: MeshTimings | None = None,
        ended_incarnations: EndedIncarnations | None = None,
        named_weights: NamedWeights | None = None,
        controls: KnownControls | None = None,
        confirmed: ConfirmedRevision | None = None,
        leads: Callable[[], bool] = lambda: False,
    ) -> None:
        self.identity = identity
        self.confirmed = ConfirmedRevision() if confirmed is None else confirmed
        self._leads = leads
        self.controls = KnownControls(()) if controls is None else controls
        self.named_weights = NamedWeights() if named_weights is None else named_weights
        self.ended_incarnations = (
            EndedIncarnations() if ended_incarnations is None else ended_incarnations
        )
        self.directory = directory
        self.store = store
        self.timings = timings if timings is not None else MeshTimings()
        self.highest_revision = 0
        self.control_received_at = 0.0
        self._on_ack = on_ack
        self._sessions: dict[Session, PeerState | None] = {}
        self._pull_expires_at = 0.0
        self._pulled_revision = 0
        self._unsubscribe: tuple[Callable[[], None], ...] = ()
        self._config_watcher: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to notify sessions of changes."""
        self._unsubscribe = (
            self.directory.subscribe(self._records_changed),
            self.ended_incarnations.subscribe(self._incarnations_ended),
            self.controls.subscribe(self._controls_changed),
        )
        self._record_weights()
        watch = self._watch_config(self.store.revision)
        self._config_watcher = asyncio.create_task(watch)

    async def close(self) -> None:
        """Stop notifying sessions of changes and let all of them end."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = ()
        if self._config_watcher is not None:
            self._config_watcher.cancel()
            await asyncio.gather(self._config_watcher, return_exceptions=True)
            self._config_watcher = None
        for session in tuple(self._sessions):
            session.close()

    def hello(self, now: float, echo_at: float | None) -> Hello:
        """Return the message that opens a session on this side."""
        identity = self.identity
        return Hello(
            role=identity.role,
            name=identity.name,
            incarnation=identity.incarnation,
            zone=identity.zone,
            cfg_revision=self.store.revision,
            sent_at=now,
            echo_at=echo_at,
            takes_renewals=True,
        )

    def opened(self, session: Session) -> None:
        """Add a session that has opened."""
        self._sessions[session] = None

    def ended(self, session: Session) -> None:
        """Remove a session that has ended."""
        self._sessions.pop(session, None)

    def record_revision(
        self, session: Session, hello: Hello, revision: int, now: float
    ) -> None:
        """Record that ``revision`` is current at the peer of ``session``."""
        peer = PeerState(
            role=hello.role,
            name=hello.name,
            incarnation=hello.incarnation,
            zone=hello.zone,
            revision=revision,
            received_at=now,
        )
        if session in self._sessions:
            self._sessions[session] = peer
        self.highest_revision = max(self.highest_revision, revision)
        self.confirmed.report(revision)
        if hello.role == CONTROL_ROLE:
            self.control_received_at = now
        if self._on_ack is not None:
            self._on_ack(peer)

    def peers(self) -> tuple[PeerState, ...]:
        """Return the peers of the open sessions, once per session."""
        return tuple(peer for peer in self._sessions.values() if peer is not None)

    def confirmed_age_s(self, now: float) -> float | None:
        """Seconds since the revision in force here was known to be the newest.

        A process that leads control knows it now.  None if that was never known, or if
        a newer revision is known.
        """
        revision = self.store.revision
        if self._leads():
            self.confirmed.confirm(revision, now)
        age_s = self.confirmed.age_s(revision, now)
        return age_s if math.isfinite(age_s) else None

    def claim_pull(self, revision: int, now: float) -> float | None:
        """Let one session at a time request a configuration.

        Return None if the caller is to request ``revision`` now, else the time at which
        it may call again.  However many sessions are open, a new revision is then sent
        once.
        """
        pending = self._pulled_revision > self.store.revision
        if pending and now < self._pull_expires_at:
            return self._pull_expires_at
        self._pulled_revision = revision
        self._pull_expires_at = now + self.timings.pull_s
        return None

    def merge_weights(self, reported: Iterable[NamedVersion], now: float) -> None:
        """Record the named versions that a peer reports."""
        self._log_weights(self.named_weights.merge(reported, now), now)

    def offer_controls(self, members: ControlMembers, source: str) -> None:
        """Record the members of control that the peer ``source`` reports."""
        offer_members(self.controls, members, source)

    def _record_weights(self) -> None:
        """Record the versions of the configuration in force."""
        now = asyncio.get_running_loop().time()
        in_force = self.store.config.weights
        self._log_weights(self.named_weights.record(in_force, now), now)

    def _log_weights(self, new: Iterable[tuple[str, int]], now: float) -> None:
        for model, version in new:
            age_s = self.named_weights.age_s(model, version, now)
            emit(WeightsNamed(model, version, round(age_s * MS_PER_S, 1)))

    def _records_changed(self, urgent: bool) -> None:
        for session in self._sessions:
            session.records_changed(urgent)

    def _incarnations_ended(self) -> None:
        for session in self._sessions:
            session.incarnations_ended()

    def _controls_changed(self) -> None:
        for session in self._sessions:
            session.controls_changed()

    async def _watch_config(self, revision: int) -> None:
        while True:
            config = await self.store.wait_newer(revision)
            revision = config.revision
            self._record_weights()
            for session in tuple(self._sessions):
                session.config_changed()


def offer_members(
    controls: KnownControls, members: ControlMembers, source: str
) -> bool:
    """Record members that ``source`` reports; log and return whether they changed."""
    has_changed = controls.offer(members)
    if has_changed:
        addresses = list(members.addresses)
        emit(ControlMembersChanged(members.index, addresses, source))
    return has_changed
