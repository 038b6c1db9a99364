"""One mesh session: decides what to send, and handles what it receives.

A session belongs to one gRPC stream; both ends run the same code.  No messages are
queued: whenever the sender may send, it computes what the other side lacks.  A slow
peer therefore receives fewer and larger messages instead of causing a longer queue.  A
process that receives a higher revision requests the configuration on one session only.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Iterator
from enum import Enum, auto

from gooseberrydale.connection.alarm import Alarm
from gooseberrydale.connection.mesh import (
    SIDECAR_ROLE,
    Announce,
    ConfigOffer,
    ConfigWanted,
    Hello,
    MeshMessage,
    NamedVersion,
    RecordsWanted,
    Renewal,
    RevisionAck,
    UpstreamRecord,
)
from gooseberrydale.connection.mesh_node import MeshNode
from gooseberrydale.connection.message_age import MessageAgeBound
from gooseberrydale.errors import MESH_NO_HELLO, ProblemError, problem
from gooseberrydale.log_events import ConfigReceived, emit

MAX_RECORDS_PER_MESSAGE = 256
"""Most records in one message."""

MAX_ENDED_PER_MESSAGE = 32
"""Most ended incarnations in one message, each with some tens of requests."""

STALL_S = 0.25
"""If a timer fires later than this, the process itself was stalled."""

RECORDS_REQUEST_INTERVAL_S = 1.0
"""Shortest interval between two requests for all records in one session."""

REPEAT_WEIGHTS_S = 60.0
"""Versions of weights are reported again for this long after they were named.  The age
that a process computes from a delayed report is too low until the next one arrives."""

POST_STALL_GRACE_S = 0.5
"""Time after a stall of this process before a peer is considered silent."""


class SessionEnd(Enum):
    """Why a session ended without an error."""

    ENDED = auto()
    SILENT = auto()


class MeshSession:
    """State of one session; ``opens`` is True on the side that connected."""

    def __init__(self, node: MeshNode, *, opens: bool) -> None:
        self._node = node
        self._opens = opens
        self._loop = asyncio.get_running_loop()
        self._alarm = Alarm()
        self._message_age = MessageAgeBound()
        self._peer: Hello | None = None
        self._hello_received = asyncio.Event()
        self._peer_revision = 0
        self._peer_sent_at: float | None = None
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._sent_version = 0
        self._sent_ended = 0
        self._lacks_records = False
        self._records_requested_at = -math.inf
        self._acked_revision = -1
        self._acked_at = 0.0
        # The first message of the session reports all versions.
        self._reported_changes = -1
        # Index of the members of control that both sides know.
        self._shared_controls = 0
        self._peer_wants_above: int | None = None
        self._pulled_revision = 0
        self._next_pull_at = 0.0
        self._corrections: set[str] = set()
        self.opened_at = self._loop.time()
        self.received_at = self.opened_at
        self._peer_sent_received_at = self.received_at

    @property
    def peer(self) -> Hello | None:
        """The Hello of the other side; None before it arrives."""
        return self._peer

    def records_changed(self, urgent: bool) -> None:
        """Schedule the changed records: soon if ``urgent``, else with later changes."""
        if self._peer is None or self._peer.role == SIDECAR_ROLE:
            return
        timings = self._node.timings
        gather_s = timings.gather_s if urgent else timings.renewal_gather_s
        self._alarm.wake_by(self._loop.time() + gather_s)

    def incarnations_ended(self) -> None:
        """Schedule a message with the ended incarnations of upstreams."""
        self.records_changed(urgent=True)

    def controls_changed(self) -> None:
        """Send the new members of control now."""
        self._alarm.wake_by(self._loop.time())

    def config_changed(self) -> None:
        """Send the new revision now."""
        self._alarm.wake_by(self._loop.time())

    def close(self) -> None:
        """Make ``outgoing`` and ``run`` return, without waiting for them."""
        if not self._closed.done():
            self._closed.set_result(None)
        self._hello_received.set()
        self._alarm.wake_by(self._loop.time())

    async def outgoing(self) -> AsyncIterator[MeshMessage]:
        """Yield the messages to send until the session is closed.

        Only Hello is sent before a message of the peer has arrived: earlier messages
        would echo no clock, and the peer could not bound their age.
        """
        if self._opens:
            yield self._hello()
        await self._hello_received.wait()
        # Also needed if this process connected to itself, which only Hello reveals.
        if not self._opens and self._peer is not None:
            yield self._hello()
        while not self._closed.done():
            for msg in self._pending():
                yield msg
            await self._alarm.wait()

    async def run(
        self, incoming: AsyncIterator[MeshMessage], open_s: float
    ) -> SessionEnd:
        """Handle messages until the peer ends the session or is silent, or ``close``.

        ``open_s`` bounds the wait for the first message.  Passes on exceptions from
        ``incoming``, and raises :class:`ProblemError` if the first message is not
        Hello.
        """
        self._node.opened(self)
        reader = asyncio.create_task(self._read(incoming))
        try:
            return await self._supervise(reader, open_s)
        finally:
            self._node.ended(self)
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            self.close()

    async def _supervise(self, reader: asyncio.Task[None], open_s: float) -> SessionEnd:
        while not self._closed.done() and not reader.done():
            bound_s = open_s if self._peer is None else self._node.timings.silence_s
            left_s = self.received_at + bound_s - self._loop.time()
            if -STALL_S < left_s <= 0:
                return SessionEnd.SILENT
            if left_s <= 0:
                # This process was stalled; messages of the peer may be unread.
                self.received_at = self._loop.time() - bound_s + POST_STALL_GRACE_S
                continue
            await asyncio.wait(
                {reader, self._closed},
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        # If gRPC cancelled the call, the reader is cancelled too.
        if reader.done() and not reader.cancelled():
            reader.result()
        return SessionEnd.ENDED

    async def _read(self, incoming: AsyncIterator[MeshMessage]) -> None:
        async for msg in incoming:
            self.received_at = self._loop.time()
            self._handle(msg)

    def _handle(self, msg: MeshMessage) -> None:
        if isinstance(msg, Hello | Announce | RevisionAck):
            self._message_age.record(msg.sent_at, msg.echo_at, self.received_at)
            self._peer_sent_at = msg.sent_at
            self._peer_sent_received_at = self.received_at
        if isinstance(msg, Hello):
            self._handle_hello(msg)
            return
        if self._peer is None:
            raise ProblemError(problem(MESH_NO_HELLO, got=type(msg).__name__))
        match msg:
            case RevisionAck():
                self._node.merge_weights(msg.weights, self.received_at)
                self._merge_controls(msg, self._peer)
                self._merge_confirmation(msg)
                self._record_revision(self._peer, msg.revision)
            case Announce():
                self._merge_records(msg, self._peer)
            case RecordsWanted():
                self._sent_version = 0
                self._alarm.wake_by(self._loop.time())
            case ConfigWanted():
                self._peer_wants_above = msg.above_revision
                self._alarm.wake_by(self._loop.time())
            case ConfigOffer():
                if self._node.store.offer(msg.config):
                    source = f"{self._peer.role} {self._peer.name}"
                    emit(ConfigReceived(msg.config.revision, source))

    def _handle_hello(self, hello: Hello) -> None:
        if hello.incarnation == self._node.identity.incarnation:
            self._peer = hello
            self.close()
            return
        self._peer = hello
        self._hello_received.set()
        self._record_revision(hello, hello.cfg_revision)

    def _record_revision(self, peer: Hello, revision: int) -> None:
        self._peer_revision = max(self._peer_revision, revision)
        self._node.record_revision(self, peer, revision, self.received_at)
        if revision > self._node.store.revision:
            self._alarm.wake_by(self._loop.time())

    def _merge_records(self, msg: Announce, peer: Hello) -> None:
        for incarnation in msg.ended:
            self._node.ended_incarnations.offer(
                incarnation, self.received_at, source=self
            )
        age_s = self._message_age.age_s(msg.sent_at, self.received_at)
        for record in msg.records:
            accepted = self._node.directory.offer(
                record, self.received_at, age_s=age_s, source=self
            )
            if not accepted and peer.role == SIDECAR_ROLE:
                self._correct(record)
        for renewal in msg.renewed:
            known = self._node.directory.renew(
                renewal, self.received_at, age_s=age_s, source=self
            )
            if not known:
                self._lacks_records = True
                self._alarm.wake_by(
                    self._records_requested_at + RECORDS_REQUEST_INTERVAL_S
                )

    def _merge_controls(self, msg: RevisionAck, peer: Hello) -> None:
        if msg.controls is not None:
            self._shared_controls = max(self._shared_controls, msg.controls.index)
            self._node.offer_controls(msg.controls, f"{peer.role} {peer.name}")

    def _merge_confirmation(self, msg: RevisionAck) -> None:
        if msg.confirmed_age_s is None:
            return
        age_s = self._message_age.age_s(msg.sent_at, self.received_at)
        confirmed_at = self.received_at - age_s - msg.confirmed_age_s
        self._node.confirmed.confirm(msg.revision, confirmed_at)

    def _correct(self, record: UpstreamRecord) -> None:
        """Notify a sidecar that a newer incarnation uses its name."""
        current = self._node.directory.get(record.name, self.received_at)
        if current is not None and current.incarnation > record.incarnation:
            self._corrections.add(record.name)
            self._alarm.wake_by(self._loop.time())

    def _hello(self) -> Hello:
        now = self._loop.time()
        return self._node.hello(now, self._echo_at(now))

    def _echo_at(self, now: float) -> float | None:
        """Return a lower bound of what the peer's clock shows."""
        if self._peer_sent_at is None:
            return None
        return self._peer_sent_at + now - self._peer_sent_received_at

    def _pending(self) -> Iterator[MeshMessage]:
        now = self._loop.time()
        yield from self._pending_ack(now)
        yield from self._pending_pull(now)
        yield from self._pending_config()
        yield from self._pending_ended(now)
        yield from self._pending_request(now)
        yield from self._pending_records(now)
        self._alarm.wake_by(self._acked_at + self._node.timings.heartbeat_s)

    def _pending_ack(self, now: float) -> Iterator[MeshMessage]:
        revision = self._node.store.revision
        due = self._acked_at + self._node.timings.heartbeat_s <= now
        controls = self._node.controls.members
        has_new_controls = controls.index > self._shared_controls
        if revision == self._acked_revision and not (due or has_new_controls):
            return
        self._shared_controls = max(self._shared_controls, controls.index)
        self._acked_revision = revision
        self._acked_at = now
        yield RevisionAck(
            name=self._node.identity.name,
            revision=revision,
            sent_at=now,
            echo_at=self._echo_at(now),
            weights=self._weights_to_report(now),
            controls=controls if has_new_controls else None,
            confirmed_age_s=self._node.confirmed_age_s(now),
        )

    def _weights_to_report(self, now: float) -> tuple[NamedVersion, ...]:
        """Return all named versions if any has changed, else the recent ones."""
        named = self._node.named_weights
        has_changed = self._reported_changes != named.changes
        self._reported_changes = named.changes
        return named.report(now, math.inf if has_changed else REPEAT_WEIGHTS_S)

    def _pending_pull(self, now: float) -> Iterator[MeshMessage]:
        revision = self._node.store.revision
        if self._peer_revision <= revision:
            return
        if now < self._next_pull_at and revision < self._pulled_revision:
            self._alarm.wake_by(self._next_pull_at)
            return
        pending_until = self._node.claim_pull(self._peer_revision, now)
        if pending_until is not None:
            self._alarm.wake_by(pending_until)
            return
        # After an unanswered request, the other sessions may send the next one first.
        self._pulled_revision = self._peer_revision
        self._next_pull_at = now + 2 * self._node.timings.pull_s
        self._alarm.wake_by(self._next_pull_at)
        yield ConfigWanted(above_revision=revision)

    def _pending_config(self) -> Iterator[MeshMessage]:
        wanted = self._peer_wants_above
        self._peer_wants_above = None
        if wanted is not None and self._node.store.revision > wanted:
            yield ConfigOffer(self._node.store.config)

    def _pending_records(self, now: float) -> Iterator[MeshMessage]:
        records, renewed = self._records_to_send(now)
        count = max(len(records), len(renewed))
        for start in range(0, count, MAX_RECORDS_PER_MESSAGE):
            yield Announce(
                records=records[start : start + MAX_RECORDS_PER_MESSAGE],
                sent_at=now,
                echo_at=self._echo_at(now),
                renewed=renewed[start : start + MAX_RECORDS_PER_MESSAGE],
            )

    def _pending_request(self, now: float) -> Iterator[MeshMessage]:
        """Ask for full records if a renewal matched no record of the directory."""
        if (
            self._lacks_records
            and now >= self._records_requested_at + RECORDS_REQUEST_INTERVAL_S
        ):
            self._lacks_records = False
            self._records_requested_at = now
            yield RecordsWanted()

    def _pending_ended(self, now: float) -> Iterator[MeshMessage]:
        """Send ended incarnations, but not to sidecars, which only report their own."""
        if self._peer is not None and self._peer.role == SIDECAR_ROLE:
            return
        update = self._node.ended_incarnations.since(
            self._sent_ended, now, exclude=self
        )
        self._sent_ended = update.version
        for start in range(0, len(update.incarnations), MAX_ENDED_PER_MESSAGE):
            yield Announce(
                records=(),
                sent_at=now,
                echo_at=self._echo_at(now),
                ended=update.incarnations[start : start + MAX_ENDED_PER_MESSAGE],
            )

    def _records_to_send(
        self, now: float
    ) -> tuple[tuple[UpstreamRecord, ...], tuple[Renewal, ...]]:
        """Return full records, and renewals of those that were sent to the peer before.

        The only record that a sidecar receives is that of a newer incarnation with its
        own name.
        """
        if self._peer is not None and self._peer.role == SIDECAR_ROLE:
            return self._corrections_to_send(now), ()
        delta = self._node.directory.since(self._sent_version, now, exclude=self)
        self._sent_version = delta.version
        if self._peer is None or not self._peer.takes_renewals:
            return delta.records, ()
        full = tuple(rec for rec in delta.records if rec.name not in delta.renewed)
        renewed = (rec for rec in delta.records if rec.name in delta.renewed)
        return full, tuple(map(Renewal.of, renewed))

    def _corrections_to_send(self, now: float) -> tuple[UpstreamRecord, ...]:
        current = (self._node.directory.get(name, now) for name in self._corrections)
        records = tuple(record for record in current if record is not None)
        self._corrections.clear()
        return records
