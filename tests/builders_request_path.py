"""A small fleet in memory for long random runs over the request path.

Real are the entry's ``Runner`` and ``KeyedAnswer`` with all that they use, the
sidecar's service, dispatcher and call to its upstream, and control's state.  Fake are
the network, the connection to an upstream, the upstreams and the one control replica.
``Upstreams.runs`` is the record of all that ever ran; ``Fleet.check`` compares it with
what callers and entries were told.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import zlib
from collections import Counter
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import Command, CommandReply
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    CancelReply,
    CancelReq,
    DispatchReq,
    Refused,
)
from gooseberrydale.connection.upstream_http import UpstreamError
from gooseberrydale.errors import CLAIM_UNAVAILABLE, Problem, ProblemError, problem
from gooseberrydale.process.cfg import EntryCfg, FleetCfg, NodeCfg, SidecarCfg
from gooseberrydale.process.metrics import Metrics
from gooseberrydale.process.sidecar import upstream_run
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.process.sidecar.calls import CallBuilder
from gooseberrydale.process.sidecar.dispatcher import Dispatcher
from gooseberrydale.process.sidecar.service import SidecarService
from gooseberrydale.request.background import Background
from gooseberrydale.request.baselines import make_policy
from gooseberrydale.request.claim_gate import OpenGate
from gooseberrydale.request.config_sync import ConfigSync
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.freshness import Freshness
from gooseberrydale.request.job import Answering, Events, Head, Job
from gooseberrydale.request.keyed import KeyedAnswer
from gooseberrydale.request.retry import RetryBudget
from gooseberrydale.request.runner import Runner
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.upstream_state import UpstreamState
from tests.builders_entry import chat_body, chat_event, make_config
from tests.builders_memory_net import Channel, Host, Net, Processes
from tests.clock import PausedClockLoop

ENTRIES = ("entry-0", "entry-1", "entry-2")
POOLS = {"up-0": "summary", "up-1": "summary", "up-2": "bidding", "up-3": "bidding"}
UPSTREAMS = tuple(POOLS)
WORK_S = (0.0, 0.02, 0.3, 2.0)
FAST_WORK_S = (0.0, 0.02)
# Longer than any message is held back, any deadline and any call to an upstream.
QUIET_S = 150.0
METRICS = Metrics("entry", "entry-1", "local")
Triple = tuple[str, int, str]


@dataclass(frozen=True, slots=True)
class Run:
    """One entry of an upstream's own record."""

    upstream: str
    triple: Triple
    subject: str


def words_of(subject: str) -> list[str]:
    """The words of the one right answer to a prompt."""
    count = 2 + zlib.crc32(subject.encode()) % 9
    return [f"{subject}-{number} " for number in range(count)]


class Upstream:
    """One upstream; it may die and come back with nothing."""

    def __init__(self) -> None:
        self.up = True
        self.silent = False
        self.life = 1
        self.calls: set[MemoryCall] = set()

    def kill(self) -> None:
        self.up = False
        for call in list(self.calls):
            call.abort()

    def back(self) -> None:
        if not self.up:
            self.up = True
            self.life += 1


class MemoryCall:
    """Stands in for ``UpstreamCall``: one connection of a sidecar to its upstream."""

    def __init__(self, fleet: Fleet, sidecar: Sidecar) -> None:
        self.sent = False
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self._fleet = fleet
        self._sidecar = sidecar
        self._upstream = fleet.upstreams[sidecar.name]
        self._broken = asyncio.Event()
        self._arrived = asyncio.Event()
        self._parts: list[bytes] = []

    async def open(self, method: str, target: str, headers: Any, body: bytes) -> None:
        if not self._upstream.up or not self._sidecar.alive:
            raise UpstreamError("refused", sent=False)
        self._upstream.calls.add(self)
        self.sent = True
        # What was sent arrives, whether or not the sender still waits for it.
        loop = asyncio.get_running_loop()
        loop.call_later(self._fleet.net.delay(), self._arrive, dict(headers), body)
        await self._wait(self._arrived)
        await self._work()
        self.status = 200

    def _arrive(self, headers: dict[str, str], body: bytes) -> None:
        if not self._upstream.up:
            return
        asked = msgspec.json.decode(body)
        request_id, attempt = headers["x-request-id"], int(headers["x-attempt"])
        triple = (request_id, attempt, self._sidecar.incarnation)
        self._fleet.runs.append(Run(self._sidecar.name, triple, _subject(asked)))
        self._parts, kind = _answer(asked)
        self.headers = (("content-type", kind),)
        self._arrived.set()

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        for part in self._parts:
            await self._work()
            yield part

    def abort(self) -> None:
        self._broken.set()

    async def close(self) -> None:
        self._upstream.calls.discard(self)

    async def _work(self) -> None:
        """Take some time; wait on while the connection is silent."""
        pause_s = self._fleet.rng.choice(self._fleet.work_s)
        while pause_s > 0 or self._upstream.silent:
            await self._wait(asyncio.Event(), pause_s or 0.5)
            pause_s = 0.0
        if self._broken.is_set():
            raise UpstreamError("broken", sent=True)

    async def _wait(self, event: asyncio.Event, limit_s: float | None = None) -> None:
        waits = {asyncio.create_task(e.wait()) for e in (event, self._broken)}
        try:
            await asyncio.wait(
                waits, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in waits:
                task.cancel()
        if self._broken.is_set():
            raise UpstreamError("broken", sent=True)


def _subject(asked: dict[str, Any]) -> str:
    return str(asked["messages"][0]["content"] if "messages" in asked else asked["bid"])


def _answer(asked: dict[str, Any]) -> tuple[list[bytes], str]:
    """Parts of the body and its content type."""
    subject = _subject(asked)
    if "bid" in asked:
        return [b'{"done":', msgspec.json.encode(subject), b"}"], "application/json"
    words = words_of(subject)
    if not asked.get("stream"):
        return [chat_body("".join(words))], "application/json"
    given = asked["messages"][1]["content"] if len(asked["messages"]) > 1 else ""
    while given:
        given = given.removeprefix(words.pop(0))
    events = [*(chat_event(word) for word in words), chat_event(None, "stop")]
    return [b"data: %b\n\n" % e for e in (*events, b"[DONE]")], "text/event-stream"


class CheckedDispatcher(Dispatcher):
    """Notes what is taken in though the configuration in force says to leave."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.taken_while_leaving: list[DispatchReq] = []

    def dispatch(self, req: DispatchReq) -> Attempt | Refused:
        leaving = self._name in self._store.config.leaving
        taken = super().dispatch(req)
        if leaving and not isinstance(taken, Refused):
            self.taken_while_leaving.append(req)
        return taken


class Sidecar:
    """One life of a sidecar, of the product's own parts."""

    def __init__(self, fleet: Fleet, name: str, life: int) -> None:
        self.name = name
        self.incarnation = f"{name}-life-{life:04}"
        self.alive = True
        self.closing = False
        self.seq = 0
        self.store = ConfigStore()
        self._fleet = fleet
        upstream = fleet.upstreams[name]
        kind = "completion" if POOLS[name] == "summary" else "service"
        cfg = SidecarCfg(
            upstream=name,
            pool=POOLS[name],
            kind=kind,
            max_running=2,
            max_queued=3,
            replay_bytes=1_000,
        )

        async def works() -> bool:
            return upstream.up

        calls = CallBuilder(cfg, self.store, UpstreamState, works, works)

        async def run(attempt: Attempt) -> None:
            call = calls.build(attempt.req, 0.0).unwrap()
            await upstream_run.run_upstream(attempt, call, self.incarnation)

        self.dispatcher = CheckedDispatcher(
            name, self.incarnation, cfg, self.store, run, lambda _req: 0
        )
        self.host = Host(self.incarnation)
        service = SidecarService(self.dispatcher, self.store, self.incarnation)
        service.register(self.host)  # type: ignore[arg-type]

    def record(self, now: float) -> UpstreamRecord:
        """The next announcement."""
        self.seq += 1
        self.dispatcher.gate.announced(self.seq, now)
        upstream = self._fleet.upstreams[self.name]
        return UpstreamRecord(
            name=self.name,
            incarnation=self.incarnation,
            seq=self.seq,
            address=self.name,
            zone="local",
            region="local",
            pool=POOLS[self.name],
            kind="completion" if POOLS[self.name] == "summary" else "service",
            model="m1",
            upstream_incarnation=str(upstream.life),
            ready=upstream.up and not self.closing,
            leaving=self.closing or self.name in self.store.config.leaving,
            lease_s=6.0,
        )


class Control:
    """The state of control behind one entry's unreliable way to it."""

    def __init__(self, fleet: Fleet, entry: str) -> None:
        self._fleet = fleet
        self._entry = entry

    async def ask(self, req: Any, timeout_s: float) -> Result[Any, Problem]:
        net = self._fleet.net
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    reply = await self._try(req, net)
                    if reply is not None:
                        return Ok(reply)
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return Err(problem(CLAIM_UNAVAILABLE, retry_after_s=1.0))

    async def _try(self, req: Any, net: Net) -> Any:
        await asyncio.sleep(net.delay())
        if self._entry in net.dead or self._fleet.control_down:
            return None
        if net.chance(net.faults.repeat):
            late_s = net.rng.uniform(0.0, 10.0)
            asyncio.get_running_loop().call_later(late_s, self._fleet.commit, req)
        if net.chance(net.faults.loss):
            return None
        reply = self._fleet.commit(req)
        await asyncio.sleep(net.delay())
        return None if net.chance(net.faults.loss) else reply


class Entry:
    """One life of an entry."""

    def __init__(self, fleet: Fleet, name: str, life: int) -> None:
        self.life_name = f"{name}-life-{life}"
        self.store = ConfigStore()
        self.directory = Directory()
        pool = ChannelPool(self._dial)  # type: ignore[arg-type]
        background = Background()
        self._net = fleet.net
        self.control = Control(fleet, self.life_name)
        self.deps = Deps(
            cfg=EntryCfg(silence_s=1.5),
            node=NodeCfg(name),
            fleet=FleetCfg(Path("unused")),
            store=self.store,
            directory=self.directory,
            pool=pool,
            policy=make_policy("affinity", random.Random(fleet.rng.random())),
            budget=RetryBudget(),
            background=background,
            config_sync=ConfigSync(self.store, pool, background),
            instruments=METRICS.instruments,
            freshness=Freshness(fleet.loop.time()),
        )

    def _dial(self, address: str) -> Channel:
        return Channel(self._net, self.life_name, address)

    def answering(self, job: Job) -> Answering:
        """As the entry's calls choose it."""
        if job.idempotency_key:
            return KeyedAnswer(self.deps, job, self.control)
        return Runner(self.deps, job, OpenGate())


@dataclass(slots=True)
class Caller:
    """One request of a caller, and what came of it."""

    job: Job
    subject: str
    life_name: str
    task: asyncio.Task[None] | None = None
    ends: list[str] = field(default_factory=list)
    problem: Problem | None = None
    head: Head | None = None
    events: list[bytes] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    async def read(self, entry: Entry) -> None:
        """Read the answer to its end and note how it ended."""
        try:
            answer = entry.answering(self.job).answer()
            async with contextlib.aclosing(answer) as parts:
                async for part in parts:
                    self._take(part)
        except ProblemError as exc:
            self.problem = exc.problem
            self.ends.append("problem")
        except asyncio.CancelledError:
            self.ends.append("gone")
        else:
            self.ends.append("whole")

    def _take(self, part: Head | Events) -> None:
        if isinstance(part, Head):
            if self.head is not None:
                self.faults.append("a second head")
            self.head = part
            return
        if self.head is None or part.offset != len(self.events):
            self.faults.append(f"offset {part.offset} after {len(self.events)} events")
        self.events.extend(part.events)

    def check(self) -> None:
        """What the caller got is the right answer or the beginning of it."""
        assert not self.faults, (self.job, self.faults)
        assert len(self.ends) <= 1, (self.job, self.ends)
        whole = self.ends == ["whole"]
        if not self.job.is_completion:
            right = b'{"done":%b}' % msgspec.json.encode(self.subject)
            assert b"".join(self.events) in ((right,) if whole else (right, b"")), self
            return
        given, right = self.text(), "".join(words_of(self.subject))
        assert given == right if whole else right.startswith(given), (given, self)

    def text(self) -> str:
        """The text that the caller has."""
        kind = "delta" if self.job.stream else "message"
        choices = [msgspec.json.decode(event)["choices"][0] for event in self.events]
        return "".join(choice[kind].get("content") or "" for choice in choices)


class Fleet:
    """Everything together, on a clock of its own; ``check`` after each step."""

    def __init__(self, seed: int = 0) -> None:
        self.loop = PausedClockLoop()
        self.rng = random.Random(seed)
        self.processes = Processes(self.loop)
        self.net = Net(self.rng, self.processes)
        self.net.observe = self._observe
        self.runs: list[Run] = []
        self.callers: list[Caller] = []
        self.never_runs: set[Triple] = set()
        self.control_down = False
        self.work_s = WORK_S
        self._state = ControlState()
        self.config: Config = make_config()
        self.upstreams = {name: Upstream() for name in UPSTREAMS}
        self.sidecars: dict[str, Sidecar] = {}
        self._lives = itertools.count(1)
        self._numbers = itertools.count(1)
        self._all_sidecars: dict[str, Sidecar] = {}
        self.entries: dict[str, Entry] = {}
        upstream_run.UpstreamCall = self._dial_upstream  # type: ignore
        for name in UPSTREAMS:
            self.start_sidecar(name)
        for name in ENTRIES:
            self.start_entry(name)
        self.processes.spawn("mesh", self._mesh())
        self.calm(2.0)

    def _dial_upstream(self, incarnation: str) -> MemoryCall:
        return MemoryCall(self, self._all_sidecars[incarnation])

    # Steps and faults.

    def calm(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def ask(
        self, entry: str, kind: str, subject: str = "", *, stream: bool = True
    ) -> Caller:
        """Send a request: ``lots``, ``bids`` or ``keyed``; a resend has a subject."""
        number = next(self._numbers)
        subject = subject or f"{kind}-{number}"
        is_chat = kind == "lots"
        asked = {"messages": [{"role": "user", "content": subject}], "stream": stream}
        body = asked if is_chat else {"bid": subject}
        profile = self.config.profiles["lots" if is_chat else "bids"]
        job = Job(
            request_id=f"req-{number}",
            workspace="a",
            profile=replace(profile, deadline_s=20.0),
            method="POST",
            path="/v1/chat/completions" if is_chat else "/bid",
            body=msgspec.json.encode(body),
            stream=is_chat and stream,
            idempotency_key=subject if kind == "keyed" else "",
        )
        node = self.entries[entry]
        caller = Caller(job, subject, node.life_name)
        work = caller.read(node)
        caller.task = self.processes.spawn(node.life_name, work)
        self.callers.append(caller)
        return caller

    def start_sidecar(self, name: str) -> None:
        sidecar = Sidecar(self, name, next(self._lives))
        self._all_sidecars[sidecar.incarnation] = sidecar
        self.sidecars[name] = sidecar
        self.net.hosts[name] = sidecar.host
        self.processes.spawn(sidecar.incarnation, sidecar.dispatcher.start())

    def kill_sidecar(self, name: str, *, told: float = 1.0) -> None:
        """kill -9; ``told`` is the chance that a caller of it hears so at once."""
        sidecar = self.sidecars[name]
        sidecar.alive = False
        self.net.dead.add(sidecar.incarnation)
        self.net.hosts.pop(name, None)
        self.net.cut(lambda channel: channel.ends[1] == name, told=told)
        self.processes.kill(sidecar.incarnation)
        for call in list(self.upstreams[name].calls):
            call.abort()

    def shut_sidecar(self, name: str) -> None:
        """Shut down in good order, then stay away until it is started again."""
        sidecar = self.sidecars[name]
        if sidecar.alive and not sidecar.closing:
            sidecar.closing = True
            self.processes.spawn(sidecar.incarnation, self._shut(sidecar))

    async def _shut(self, sidecar: Sidecar) -> None:
        await sidecar.dispatcher.drain(5.0)
        await sidecar.dispatcher.close()
        await asyncio.sleep(0.5)
        if self.sidecars[sidecar.name] is sidecar and sidecar.alive:
            self.loop.call_soon(self.kill_sidecar, sidecar.name)

    def start_entry(self, name: str) -> None:
        self.entries[name] = Entry(self, name, next(self._lives))

    def kill_entry(self, name: str) -> None:
        """kill -9, and another life at once."""
        dead = self.entries[name].life_name
        self.net.dead.add(dead)
        self.net.cut(lambda channel: channel.ends[0] == dead, told=1.0)
        self.processes.kill(dead)
        self.start_entry(name)

    def set_leaving(self, *names: str) -> None:
        revision = self.config.revision + 1
        self.config = replace(self.config, revision=revision, leaving=frozenset(names))

    def heal(self) -> None:
        """End all faults; what was held back comes now."""
        self.net.faults = type(self.net.faults)()
        self.net.cuts.clear()
        self.net.release()
        self.control_down = False
        self.set_leaving()
        for name, upstream in self.upstreams.items():
            upstream.silent = False
            upstream.back()
            if not self.sidecars[name].alive or self.sidecars[name].closing:
                self.kill_sidecar(name)
                self.start_sidecar(name)

    async def _mesh(self) -> None:
        """Bring announcements and configurations round, late and with losses."""
        while True:
            now = self.loop.time()
            for sidecar in self.sidecars.values():
                if sidecar.alive:
                    self._announce(sidecar, now)
            for node in (*self.entries.values(), *self.sidecars.values()):
                if not self.net.chance(self.net.faults.loss):
                    late_s = self.net.delay()
                    self.loop.call_later(late_s, node.store.offer, self.config)
            await asyncio.sleep(1.0)

    def _announce(self, sidecar: Sidecar, now: float) -> None:
        record = sidecar.record(now)
        for entry in self.entries.values():
            ends = (entry.life_name, sidecar.name)
            if ends in self.net.held or self.net.chance(self.net.faults.loss):
                continue
            late_s = self.net.delay()
            self.loop.call_later(late_s, _offer, entry.directory, record, now)

    def commit(self, req: Any) -> Any:
        """Apply one request to the state of control."""
        command = encode(Command(self.loop.time(), (encode(req),)))
        reply = decode(self._state.apply(self._state.index + 1, command))
        assert isinstance(reply, CommandReply)
        return decode(reply.replies[0])

    # Checks.

    def _observe(self, host: Host, req: Any, reply: Any) -> None:
        """Note which attempts a sidecar said never ran and never will."""
        if isinstance(req, CancelReq) and isinstance(reply, CancelReply):
            said = reply.not_run
        elif isinstance(req, DispatchReq) and isinstance(reply, Refused):
            said = reply.problem.not_run is True
        else:
            return
        if said:
            self.never_runs.add((req.request_id, req.attempt, req.incarnation))

    def check(self) -> None:
        """Every promise that can be judged by now."""
        assert not self.processes.errors, self.processes.errors
        ran = {run.triple for run in self.runs}
        assert not ran & self.never_runs, ran & self.never_runs
        assert len(ran) == len(self.runs), "an attempt started twice"
        ran_requests = {run.triple[0] for run in self.runs}
        bids = Counter(r.subject for r in self.runs if not r.subject.startswith("lots"))
        assert all(count == 1 for count in bids.values()), bids
        for caller in self.callers:
            caller.check()
            if caller.problem is not None and caller.problem.not_run is True:
                assert caller.job.request_id not in ran_requests, caller
        for sidecar in self._all_sidecars.values():
            assert not sidecar.dispatcher.taken_while_leaving, sidecar.name

    def finish(self) -> None:
        """Heal, wait, and see that every request ended and new ones are served."""
        self.heal()
        self.work_s = FAST_WORK_S
        self.calm(QUIET_S)
        self.check()
        for caller in self.callers:
            assert len(caller.ends) == 1, (caller.job, caller.ends)
        late = [
            self.ask(entry, kind)
            for entry in ENTRIES
            for kind in ("lots", "bids", "keyed")
        ]
        self.calm(QUIET_S)
        self.check()
        for caller in late:
            assert caller.ends == ["whole"], caller

    def close(self) -> None:
        """Stop all tasks and the clock."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.calm(1.0)
        self.loop.close()


def _offer(directory: Directory, record: UpstreamRecord, sent_at: float) -> None:
    now = asyncio.get_event_loop().time()
    directory.offer(record, now, age_s=now - sent_at)
