"""One mesh session: what to send, and what to do with what was heard.

Lives as long as one gRPC stream.  Both ends run the same code.  Nothing is
queued: the sender looks, whenever it may send, at what the other side lacks, so a
slow peer gets fewer and larger messages instead of a longer queue.  A side that
hears of a higher revision asks for the configuration on one session only.
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
    RecordsWanted,
    Renewal,
    RevisionAck,
    UpstreamRecord,
)
from gooseberrydale.connection.mesh_node import MeshNode
from gooseberrydale.connection.transit import TransitBound
from gooseberrydale.errors import MESH_NO_HELLO, ProblemError, problem

BATCH_RECORDS = 256
"""Records in one message at most."""

BATCH_ENDED = 32
"""Lives that ended in one message at most, each with some tens of requests."""

STALL_S = 0.25
"""A timer that fires later than this shows that the process itself was held up."""

WANT_AGAIN_S = 1.0
"""Between two times that all records are asked for in one session."""

CATCH_UP_S = 0.5
"""What a peer gets after a stall before it counts as silent."""


class SessionEnd(Enum):
    """Why a session ended without an error."""

    ENDED = auto()
    SILENT = auto()


class MeshSession:
    """State of one session; ``opens`` is True on the side that dialled."""

    def __init__(self, node: MeshNode, *, opens: bool) -> None:
        self._node = node
        self._opens = opens
        self._loop = asyncio.get_running_loop()
        self._alarm = Alarm()
        self._transit = TransitBound()
        self._peer: Hello | None = None
        self._peer_heard = asyncio.Event()
        self._peer_revision = 0
        self._peer_sent_at: float | None = None
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._sent_version = 0
        self._sent_ended = 0
        self._lacks_records = False
        self._wanted_records_at = -math.inf
        self._told_revision = -1
        self._told_at = 0.0
        self._peer_wants_above: int | None = None
        self._pulled_revision = 0
        self._pull_again_at = 0.0
        self._corrections: set[str] = set()
        self.opened_at = self._loop.time()
        self.heard_at = self.opened_at
        self._peer_sent_heard_at = self.heard_at

    @property
    def peer(self) -> Hello | None:
        """Who is at the other end; None before its Hello."""
        return self._peer

    def records_changed(self, urgent: bool) -> None:
        """Send what changed: soon if ``urgent``, else together with more."""
        if self._peer is None or self._peer.role == SIDECAR_ROLE:
            return
        timings = self._node.timings
        gather_s = timings.gather_s if urgent else timings.renewal_gather_s
        self._alarm.by(self._loop.time() + gather_s)

    def incarnations_ended(self) -> None:
        """Tell soon which incarnations of upstreams have ended."""
        self.records_changed(urgent=True)

    def config_changed(self) -> None:
        """Tell the new revision now."""
        self._alarm.by(self._loop.time())

    def close(self) -> None:
        """End ``outgoing`` and ``run`` soon."""
        if not self._closed.done():
            self._closed.set_result(None)
        self._peer_heard.set()
        self._alarm.by(self._loop.time())

    async def outgoing(self) -> AsyncIterator[MeshMessage]:
        """Yield what to send until the session is closed.

        Beyond Hello, nothing is sent before the peer was heard, since it could not
        bound the age of what it gets.
        """
        if self._opens:
            yield self._hello()
        await self._peer_heard.wait()
        # Also if this process dialled itself, since only Hello tells it so.
        if not self._opens and self._peer is not None:
            yield self._hello()
        while not self._closed.done():
            for msg in self._due():
                yield msg
            await self._alarm.wait()

    async def run(
        self, incoming: AsyncIterator[MeshMessage], open_s: float
    ) -> SessionEnd:
        """Take in what the peer sends until it ends, is silent, or ``close``.

        ``open_s`` bounds the wait for its first message.  Raises what reading
        raises, and :class:`ProblemError` if the peer does not begin with Hello.
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
            left_s = self.heard_at + bound_s - self._loop.time()
            if -STALL_S < left_s <= 0:
                return SessionEnd.SILENT
            if left_s <= 0:
                # This process was held up; what the peer sent may lie unread.
                self.heard_at = self._loop.time() - bound_s + CATCH_UP_S
                continue
            await asyncio.wait(
                {reader, self._closed},
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        # A call that was dropped below shows as a cancelled reader.
        if reader.done() and not reader.cancelled():
            reader.result()
        return SessionEnd.ENDED

    async def _read(self, incoming: AsyncIterator[MeshMessage]) -> None:
        async for msg in incoming:
            self.heard_at = self._loop.time()
            self._handle(msg)

    def _handle(self, msg: MeshMessage) -> None:
        if isinstance(msg, Hello | Announce | RevisionAck):
            self._transit.heard(msg.sent_at, msg.echo_at, self.heard_at)
            self._peer_sent_at = msg.sent_at
            self._peer_sent_heard_at = self.heard_at
        if isinstance(msg, Hello):
            self._take_hello(msg)
            return
        if self._peer is None:
            raise ProblemError(problem(MESH_NO_HELLO, got=type(msg).__name__))
        match msg:
            case RevisionAck():
                self._note_revision(self._peer, msg.revision)
            case Announce():
                self._take_records(msg, self._peer)
            case RecordsWanted():
                self._sent_version = 0
                self._alarm.by(self._loop.time())
            case ConfigWanted():
                self._peer_wants_above = msg.above_revision
                self._alarm.by(self._loop.time())
            case ConfigOffer():
                self._node.store.offer(msg.config)

    def _take_hello(self, hello: Hello) -> None:
        if hello.incarnation == self._node.identity.incarnation:
            self._peer = hello
            self.close()
            return
        self._peer = hello
        self._peer_heard.set()
        self._note_revision(hello, hello.cfg_revision)

    def _note_revision(self, peer: Hello, revision: int) -> None:
        self._peer_revision = max(self._peer_revision, revision)
        self._node.heard(self, peer, revision, self.heard_at)
        if revision > self._node.store.revision:
            self._alarm.by(self._loop.time())

    def _take_records(self, msg: Announce, peer: Hello) -> None:
        for incarnation in msg.ended:
            self._node.ended_incarnations.offer(incarnation, self.heard_at, source=self)
        age_s = self._transit.age_s(msg.sent_at, self.heard_at)
        for record in msg.records:
            taken = self._node.directory.offer(
                record, self.heard_at, age_s=age_s, source=self
            )
            if not taken and peer.role == SIDECAR_ROLE:
                self._correct(record)
        for renewal in msg.renewed:
            known = self._node.directory.renew(
                renewal, self.heard_at, age_s=age_s, source=self
            )
            if not known:
                self._lacks_records = True
                self._alarm.by(self._wanted_records_at + WANT_AGAIN_S)

    def _correct(self, record: UpstreamRecord) -> None:
        """Let a sidecar know that a later incarnation took its name."""
        current = self._node.directory.get(record.name, self.heard_at)
        if current is not None and current.incarnation > record.incarnation:
            self._corrections.add(record.name)
            self._alarm.by(self._loop.time())

    def _hello(self) -> Hello:
        now = self._loop.time()
        return self._node.hello(now, self._echo_at(now))

    def _echo_at(self, now: float) -> float | None:
        """What the peer's clock shows at least."""
        if self._peer_sent_at is None:
            return None
        return self._peer_sent_at + now - self._peer_sent_heard_at

    def _due(self) -> Iterator[MeshMessage]:
        now = self._loop.time()
        yield from self._due_ack(now)
        yield from self._due_pull(now)
        yield from self._due_config()
        yield from self._due_ended(now)
        yield from self._due_wanted(now)
        yield from self._due_records(now)
        self._alarm.by(self._told_at + self._node.timings.heartbeat_s)

    def _due_ack(self, now: float) -> Iterator[MeshMessage]:
        revision = self._node.store.revision
        due = self._told_at + self._node.timings.heartbeat_s <= now
        if revision == self._told_revision and not due:
            return
        self._told_revision = revision
        self._told_at = now
        yield RevisionAck(
            name=self._node.identity.name,
            revision=revision,
            sent_at=now,
            echo_at=self._echo_at(now),
        )

    def _due_pull(self, now: float) -> Iterator[MeshMessage]:
        revision = self._node.store.revision
        if self._peer_revision <= revision:
            return
        if now < self._pull_again_at and revision < self._pulled_revision:
            self._alarm.by(self._pull_again_at)
            return
        pending_until = self._node.claim_pull(self._peer_revision, now)
        if pending_until is not None:
            self._alarm.by(pending_until)
            return
        # Whoever asked in vain lets the other sessions have a turn first.
        self._pulled_revision = self._peer_revision
        self._pull_again_at = now + 2 * self._node.timings.pull_s
        self._alarm.by(self._pull_again_at)
        yield ConfigWanted(above_revision=revision)

    def _due_config(self) -> Iterator[MeshMessage]:
        wanted = self._peer_wants_above
        self._peer_wants_above = None
        if wanted is not None and self._node.store.revision > wanted:
            yield ConfigOffer(self._node.store.config)

    def _due_records(self, now: float) -> Iterator[MeshMessage]:
        records, renewed = self._records_to_send(now)
        most = max(len(records), len(renewed))
        for start in range(0, most, BATCH_RECORDS):
            yield Announce(
                records=records[start : start + BATCH_RECORDS],
                sent_at=now,
                echo_at=self._echo_at(now),
                renewed=renewed[start : start + BATCH_RECORDS],
            )

    def _due_wanted(self, now: float) -> Iterator[MeshMessage]:
        """Ask for whole records if a renewal was of none that is known here."""
        if self._lacks_records and now >= self._wanted_records_at + WANT_AGAIN_S:
            self._lacks_records = False
            self._wanted_records_at = now
            yield RecordsWanted()

    def _due_ended(self, now: float) -> Iterator[MeshMessage]:
        """What is known of ended lives; sidecars only tell of theirs."""
        if self._peer is not None and self._peer.role == SIDECAR_ROLE:
            return
        news = self._node.ended_incarnations.since(self._sent_ended, now, exclude=self)
        self._sent_ended = news.version
        for start in range(0, len(news.incarnations), BATCH_ENDED):
            yield Announce(
                records=(),
                sent_at=now,
                echo_at=self._echo_at(now),
                ended=news.incarnations[start : start + BATCH_ENDED],
            )

    def _records_to_send(
        self, now: float
    ) -> tuple[tuple[UpstreamRecord, ...], tuple[Renewal, ...]]:
        """Whole records, and renewals of those that the peer has got before.

        Sidecars get no records but of a later incarnation of their own name.
        """
        if self._peer is not None and self._peer.role == SIDECAR_ROLE:
            return self._corrections_to_send(now), ()
        delta = self._node.directory.since(self._sent_version, now, exclude=self)
        self._sent_version = delta.version
        if self._peer is None or not self._peer.takes_renewals:
            return delta.records, ()
        whole = tuple(one for one in delta.records if one.name not in delta.renewed)
        renewed = (one for one in delta.records if one.name in delta.renewed)
        return whole, tuple(map(Renewal.of, renewed))

    def _corrections_to_send(self, now: float) -> tuple[UpstreamRecord, ...]:
        found = (self._node.directory.get(name, now) for name in self._corrections)
        records = tuple(record for record in found if record is not None)
        self._corrections.clear()
        return records
