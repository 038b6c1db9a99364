"""One replica of the control role's log: decisions, disk and peers put together.

One task owns the node; whatever happens reaches it through its inbox, and all that
waits there is decided as one batch.  Lives as long as the process.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
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
from gooseberrydale.version.replication import actions as act
from gooseberrydale.version.replication.core import RaftCfg, Role
from gooseberrydale.version.replication.file_storage import FileStorage
from gooseberrydale.version.replication.files import Files, OsFiles
from gooseberrydale.version.replication.joining import Repair
from gooseberrydale.version.replication.machine import StateMachine
from gooseberrydale.version.replication.messages import Entry, EntryKind, Member
from gooseberrydale.version.replication.raft import RaftNode

RETRY_AFTER_S = 1.0
MAX_WAITING_WRITES = 4096

Answer = Result[bytes, Problem]


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What operators see of one replica.

    ``caught_up`` says whether reads here show all that was committed before the
    start.  ``repairs`` is known to the leader only; a replacement is complete when
    it says ``done`` for the name.  ``problem`` tells why the replica writes nothing.
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
    """The batch handed to the disk is synced."""


@dataclass(slots=True)
class _Waiter:
    """A proposal in the log whose proposer waits."""

    number: int
    term: int


class Replica:
    """A member of the replicated log; ``start`` after the folder is initialised.

    Register it before ``rpc_server`` starts.  A replica whose folder is new joins
    the cluster of the other replicas by itself.
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
    ) -> None:
        self._cfg = cfg
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
        self._inbox: asyncio.Queue[act.Event | _Written] = asyncio.Queue()
        self._disk = DiskTask(self._storage, self._on_written)
        self._waiting_writes: list[act.Write | act.Send] = []
        self._writing: list[act.Write | act.Send] = []
        self._writing_end = act.Synced(0, 0)
        self._futures: dict[int, asyncio.Future[Answer]] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = 0
        self._node: RaftNode | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        rpc_server.streaming(REPLICATE, self._on_stream)

    # Incarnation cycle.

    async def start(self) -> None:
        """Read the disk and take part; raises the errors of ``storage``."""
        await asyncio.to_thread(self._storage.open, self._name, self._rng)
        stored = self._storage.stored
        if stored.snapshot.index:
            self._machine.restore(stored.snapshot.data)
        self._node = RaftNode(
            self._raft, self._storage.me, stored, self._rng, self._now()
        )
        for action in self._node.begin():
            self._carry_out(action)
        self._tasks = [
            asyncio.create_task(self._decide()),
            asyncio.create_task(self._disk.run()),
        ]
        self._set_timer()

    async def close(self) -> None:
        """Stop; whoever waits for an answer gets an unknown outcome."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._fail_waiters()
        await asyncio.to_thread(self._storage.close)

    async def wait_failed(self) -> None:
        """Raise the error that stops this replica; the process must end then."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    # For the control role.

    async def propose(self, command: bytes, timeout_s: float = 5.0) -> Answer:
        """Commit a command and return the state machine's answer.

        ``NOT_LEADER`` names the leader's address.  After ``NO_QUORUM`` the outcome
        is unknown: send the same change again.
        """
        if self._disk.problem is not None and self._is_alone:
            return Err(self._disk.problem)
        self._numbers += 1
        number = self._numbers
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        self._inbox.put_nowait(act.Propose(((number, command),)))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            full = self._disk.problem
            return Err(_unknown() if full is None else full.with_outcome(None))
        finally:
            del self._futures[number]

    @property
    def _is_alone(self) -> bool:
        """Whether no other replica could commit what this one can't write."""
        return len(self._started.membership.members) <= 1

    def may_lead(self) -> bool:
        """Whether this replica may answer and give orders as leader, right now."""
        return self._node is not None and self._node.may_lead(self._now())

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads under a lease."""
        return self.may_lead()

    @property
    def leader_address(self) -> str:
        """Address of who leads as far as is known; empty if nobody is."""
        leader = self._started.leader
        return self._address(leader.name) if leader else ""

    @property
    def status(self) -> ReplicaStatus:
        """What operators see."""
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

    # Inputs.

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
        at = self._started.next_tick()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(at, self._inbox.put_nowait, act.Tick())

    # Decisions.

    async def _decide(self) -> None:
        while True:
            events = [await self._inbox.get()]
            while not self._inbox.empty():
                events.append(self._inbox.get_nowait())
            for event in _merged(events):
                self._take(event)
            if self._waiters and self._started.role is not Role.LEADER:
                self._fail_waiters()
            self._start_writing()
            self._set_timer()

    def _take(self, event: act.Event | _Written) -> None:
        if isinstance(event, _Written):
            done, self._writing = self._writing, []
            for item in done:
                if isinstance(item, act.Send):
                    self._send(item)
            event = self._writing_end
        for action in self._started.step(event, self._now()):
            self._carry_out(action)

    def _carry_out(self, action: act.Action) -> None:
        match action:
            case act.Send():
                self._send_in_order(action)
            case act.Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case act.Restore(snapshot):
                self._machine.restore(snapshot.data)
            case act.TakeSnapshot(index):
                self._take(act.SnapshotTaken(index, self._machine.snapshot()))
            case act.Accepted(number, index, term):
                self._waiters[index] = _Waiter(number, term)
            case act.NotLeader(number, leader):
                self._answer(number, Err(self._not_leader(leader)))
            case act.MembersCommitted(membership):
                names = [member.name for member in membership.members]
                logger.info("members {}", names)
            case _:
                self._waiting_writes.append(action)

    def _send_in_order(self, action: act.Send) -> None:
        if not action.after_sync or not (self._waiting_writes or self._writing):
            self._send(action)
        elif len(self._waiting_writes) < MAX_WAITING_WRITES:
            self._waiting_writes.append(action)

    def _send(self, action: act.Send) -> None:
        link = self._link(action.name)
        if link is not None:
            link.send(action.envelope)

    def _link(self, name: str) -> PeerLink | None:
        """The link to a replica, opened on first use; None to this one or a stranger.

        In an open log the name of a replica is its address.
        """
        if name == self._name:
            return None
        address = self._address(name)
        if name not in self._links and address:
            self._links[name] = PeerLink(address, self._token, self._tls)
            self._links[name].start()
        return self._links.get(name)

    def _address(self, name: str) -> str:
        return self._cfg.replicas.get(name, name if self._raft.open_to else "")

    def _start_writing(self) -> None:
        if self._writing or not self._waiting_writes:
            return
        self._writing, self._waiting_writes = self._waiting_writes, []
        node = self._started
        self._writing_end = act.Synced(node.last_index, node.last_term)
        batch = [item for item in self._writing if not isinstance(item, act.Send)]
        self._disk.write(batch)

    # Answers.

    def _apply(self, entry: Entry) -> None:
        answer = b""
        if entry.kind is EntryKind.COMMAND:
            answer = self._machine.apply(entry.index, entry.data)
        waiter = self._waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term and self.may_lead():
            self._answer(waiter.number, Ok(answer))
        else:
            self._answer(waiter.number, Err(_unknown()))

    def _fail_waiters(self) -> None:
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            self._answer(waiter.number, Err(_unknown()))

    def _answer(self, number: int, answer: Answer) -> None:
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


def _unknown() -> Problem:
    return problem(NO_QUORUM, not_run=None, retry_after_s=RETRY_AFTER_S)


def _merged(events: list[act.Event | _Written]) -> list[act.Event | _Written]:
    """Make one batch of proposals that wait together."""
    commands = [c for e in events if isinstance(e, act.Propose) for c in e.commands]
    rest: list[act.Event | _Written] = []
    rest += [event for event in events if not isinstance(event, act.Propose)]
    if commands:
        rest.append(act.Propose(tuple(commands)))
    return rest
