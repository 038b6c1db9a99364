"""One replica of the control role's log: the Raft node with its disk and peers.

One task owns the node. All events reach it through its inbox, and the events that have
arrived by then are processed as one batch.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from gooseberrydale.connection import peer_frames
from gooseberrydale.connection.rpc import REPLICATE, RpcServer, TlsFiles
from gooseberrydale.errors import NO_QUORUM, NOT_LEADER, Problem, problem
from gooseberrydale.process.cfg import ControlCfg
from gooseberrydale.process.control.disk import DiskTask
from gooseberrydale.process.control.peers import PeerLink
from gooseberrydale.version.known_controls import KnownControls
from gooseberrydale.version.replication import actions as act
from gooseberrydale.version.replication.core import RaftCfg, Role
from gooseberrydale.version.replication.file_storage import FileStorage
from gooseberrydale.version.replication.files import Files, OsFiles
from gooseberrydale.version.replication.joining import Repair
from gooseberrydale.version.replication.machine import StateMachine
from gooseberrydale.version.replication.messages import Entry, EntryKind, Member
from gooseberrydale.version.replication.raft import RaftNode

RETRY_AFTER_S = 1.0
MAX_QUEUED_WRITES = 4096

Answer = Result[bytes, Problem]


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """State of one replica as shown to operators.

    ``caught_up`` is set once reads include everything that was committed before the
    start. Only the leader has ``repairs``; the replacement of a replica is complete
    when its repair state is ``done``. ``problem`` is why the replica can't write to its
    disk.
    """

    name: str
    identity: str
    cluster: str
    role: Role
    leader: str
    term: int
    commit: int
    last_index: int
    caught_up: bool
    members: tuple[Member, ...]
    repairs: tuple[Repair, ...]
    problem: Problem | None


@dataclass(frozen=True, slots=True)
class _Written:
    """Event: the batch that was passed to the disk task is synced."""


@dataclass(slots=True)
class _OpenProposal:
    """A proposal that is in the log and whose caller waits for the answer."""

    number: int
    term: int


class Replica:
    """A member of the replicated log; its folder must be initialised before ``start``.

    Create it before ``rpc_server`` starts, as it registers its method there. A replica
    whose folder is empty joins the cluster of the other replicas by itself.

    In an open group, ``controls`` receives the members of the log, and those that it
    gets from elsewhere are used to join.
    """

    def __init__(
        self,
        cfg: ControlCfg,
        token: str,
        machine: StateMachine,
        rpc_server: RpcServer,
        *,
        name: str,
        tls: TlsFiles | None = None,
        rng: random.Random | None = None,
        files: Files | None = None,
        raft: RaftCfg | None = None,
        controls: KnownControls | None = None,
    ) -> None:
        self._cfg = cfg
        self._controls = controls
        self._name = name
        self._machine = machine
        self._rng = rng or random.SystemRandom()
        self._raft = raft or RaftCfg(
            frozenset(cfg.replicas), snapshot_entries=cfg.snapshot_entries
        )
        self._storage = FileStorage(cfg.data_dir, files or OsFiles())
        self._token = token
        self._tls = tls
        self._links: dict[str, PeerLink] = {}
        self._closing_links: set[asyncio.Task[None]] = set()
        self._inbox: asyncio.Queue[act.Event | _Written] = asyncio.Queue()
        self._disk = DiskTask(self._storage, self._on_written)
        self._queued_writes: list[act.Write | act.Send] = []
        self._writing: list[act.Write | act.Send] = []
        self._synced_event = act.Synced(0, 0)
        self._futures: dict[int, asyncio.Future[Answer]] = {}
        self._open_proposals: dict[int, _OpenProposal] = {}
        self._last_number = 0
        self._node: RaftNode | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: Callable[[], None] | None = None
        rpc_server.streaming(REPLICATE, self._on_stream)

    # Start and stop.

    async def start(self) -> None:
        """Read the stored log and join the group; raises the errors of ``storage``."""
        await asyncio.to_thread(self._storage.open, self._name, self._rng)
        stored = self._storage.stored
        if stored.snapshot.index:
            self._machine.restore(stored.snapshot.data)
        self._node = RaftNode(
            self._raft, self._storage.me, stored, self._rng, self._now()
        )
        for action in self._node.begin():
            self._execute(action)
        self._publish_members()
        if self._controls is not None:
            self._unsubscribe = self._controls.subscribe(self._on_members)
            self._on_members()
        self._tasks = [
            asyncio.create_task(self._process_events()),
            asyncio.create_task(self._disk.run()),
        ]
        self._set_timer()

    async def close(self) -> None:
        """Stop; open proposals get an answer with an unknown outcome."""
        if self._timer is not None:
            self._timer.cancel()
        if self._unsubscribe is not None:
            self._unsubscribe()
            self._unsubscribe = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        links = (link.close() for link in self._links.values())
        await asyncio.gather(*links, *self._closing_links)
        self._fail_open_proposals()
        await asyncio.to_thread(self._storage.close)

    async def wait_failed(self) -> None:
        """Raise the error of the replica once it fails; the process must end then."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    # Interface for the control role.

    async def propose(self, command: bytes, timeout_s: float = 5.0) -> Answer:
        """Commit a command and return the state machine's answer.

        ``NOT_LEADER`` contains the leader's address. After ``NO_QUORUM`` the outcome is
        unknown; propose the same change again.
        """
        if self._disk.problem is not None and self._is_only_member:
            return Err(self._disk.problem)
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        self._inbox.put_nowait(act.Propose(((number, command),)))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            disk_problem = self._disk.problem
            return Err(
                _outcome_unknown()
                if disk_problem is None
                else disk_problem.with_outcome(None)
            )
        finally:
            del self._futures[number]

    @property
    def _is_only_member(self) -> bool:
        """Whether no other replica could commit while this one can't write."""
        return len(self._started.membership.members) <= 1

    def may_lead(self) -> bool:
        """Whether this replica leads under a valid lease, so it may answer and send
        orders."""
        return self._node is not None and self._node.may_lead(self._now())

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads under a valid lease."""
        return self.may_lead()

    @property
    def leader_address(self) -> str:
        """Address of the last recorded leader; empty if there is none."""
        leader = self._started.leader
        return self._address(leader.name) if leader else ""

    @property
    def status(self) -> ReplicaStatus:
        """Current state for operators."""
        node = self._started
        return ReplicaStatus(
            name=self._name,
            identity=self._storage.me.identity,
            cluster=node.state.cluster,
            role=node.role,
            leader=node.leader.name if node.leader else "",
            term=node.state.term,
            commit=node.commit,
            last_index=node.last_index,
            caught_up=node.caught_up,
            members=node.membership.members,
            repairs=node.repairs(self._now()),
            problem=self._disk.problem,
        )

    @property
    def _started(self) -> RaftNode:
        if self._node is None:
            raise RuntimeError("the replica is not started; call start() first")
        return self._node

    # Sources of events.

    async def _on_stream(self, batches: Any) -> AsyncIterator[peer_frames.PeerAck]:
        async for batch in batches:
            for envelope in peer_frames.unpack(batch):
                self._inbox.put_nowait(act.Received(envelope))
            if batch.want_ack:
                yield peer_frames.PeerAck()

    def _on_written(self) -> None:
        self._inbox.put_nowait(_Written())

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        tick_at = self._started.next_tick()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(tick_at, self._inbox.put_nowait, act.Tick())

    # Event processing.

    async def _process_events(self) -> None:
        while True:
            events = [await self._inbox.get()]
            while not self._inbox.empty():
                events.append(self._inbox.get_nowait())
            for event in _merge_proposals(events):
                self._handle(event)
            if self._open_proposals and self._started.role is not Role.LEADER:
                self._fail_open_proposals()
            self._start_writing()
            self._set_timer()

    def _handle(self, event: act.Event | _Written) -> None:
        if isinstance(event, _Written):
            written, self._writing = self._writing, []
            for item in written:
                if isinstance(item, act.Send):
                    self._send(item)
            event = self._synced_event
        for action in self._started.step(event, self._now()):
            self._execute(action)

    def _execute(self, action: act.Action) -> None:
        match action:
            case act.Send():
                self._send_in_order(action)
            case act.Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case act.Restore(snapshot):
                self._machine.restore(snapshot.data)
                self._publish_members()
            case act.TakeSnapshot(index):
                self._handle(act.SnapshotTaken(index, self._machine.snapshot()))
            case act.Accepted(number, index, term):
                self._open_proposals[index] = _OpenProposal(number, term)
            case act.NotLeader(number, leader):
                self._resolve(number, Err(self._not_leader(leader)))
            case act.MembersCommitted(index, membership):
                names = [member.name for member in membership.members]
                logger.info("committed members of the control log: {}", names)
                if self._controls is not None:
                    self._controls.commit(index, names)
            case _:
                self._queued_writes.append(action)

    def _publish_members(self) -> None:
        """Publish the members in force, which may be older than the last entries."""
        if self._controls is not None:
            members = self._started.committed_membership.members
            names = [member.name for member in members]
            self._controls.commit(self._started.commit, names)

    def _on_members(self) -> None:
        """Join through the known members, and drop the links to former ones."""
        assert self._controls is not None
        self._started.report_names(self._controls.current)
        for name in self._links.keys() & set(self._controls.former):
            closing = asyncio.create_task(self._links.pop(name).close())
            self._closing_links.add(closing)
            closing.add_done_callback(self._closing_links.discard)

    def _send_in_order(self, action: act.Send) -> None:
        if not action.after_sync or not (self._queued_writes or self._writing):
            self._send(action)
        elif len(self._queued_writes) < MAX_QUEUED_WRITES:
            self._queued_writes.append(action)

    def _send(self, action: act.Send) -> None:
        link = self._link(action.name)
        if link is not None:
            link.send(action.envelope)

    def _link(self, name: str) -> PeerLink | None:
        """Return the link to a replica, opened on first use; None for own and unknown
        names.

        In an open group the name of a replica is its address.
        """
        if name == self._name:
            return None
        address = self._address(name)
        if name not in self._links and address:
            self._links[name] = PeerLink(address, self._token, self._tls)
            self._links[name].start()
        return self._links.get(name)

    def _address(self, name: str) -> str:
        return self._cfg.replicas.get(name, name if self._raft.max_voters else "")

    def _start_writing(self) -> None:
        if self._writing or not self._queued_writes:
            return
        self._writing, self._queued_writes = self._queued_writes, []
        node = self._started
        self._synced_event = act.Synced(node.last_index, node.last_term)
        batch = [item for item in self._writing if not isinstance(item, act.Send)]
        self._disk.write(batch)

    # Answers to proposals.

    def _apply(self, entry: Entry) -> None:
        answer = b""
        if entry.kind is EntryKind.COMMAND:
            answer = self._machine.apply(entry.index, entry.data)
        proposal = self._open_proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term and self.may_lead():
            self._resolve(proposal.number, Ok(answer))
        else:
            self._resolve(proposal.number, Err(_outcome_unknown()))

    def _fail_open_proposals(self) -> None:
        proposals, self._open_proposals = self._open_proposals, {}
        for proposal in proposals.values():
            self._resolve(proposal.number, Err(_outcome_unknown()))

    def _resolve(self, number: int, answer: Answer) -> None:
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_result(answer)

    def _not_leader(self, leader: Member | None) -> Problem:
        address = self._address(leader.name) if leader else ""
        return problem(
            NOT_LEADER,
            leader=address or "another replica",
            retry_after_s=RETRY_AFTER_S,
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _outcome_unknown() -> Problem:
    return problem(NO_QUORUM, not_run=None, retry_after_s=RETRY_AFTER_S)


def _merge_proposals(events: list[act.Event | _Written]) -> list[act.Event | _Written]:
    """Combine all queued proposals into one, placed after the other events."""
    commands = [
        command
        for proposal in events
        if isinstance(proposal, act.Propose)
        for command in proposal.commands
    ]
    merged: list[act.Event | _Written] = []
    merged += [event for event in events if not isinstance(event, act.Propose)]
    if commands:
        merged.append(act.Propose(tuple(commands)))
    return merged
