"""A small fleet in memory for long random runs over the request path.

Real are the entry's ``Runner`` and ``KeyedAnswer`` with all that they use, the
sidecar's service, dispatcher and call to its upstream, and control's state.  Fake are
the network, the connection to an upstream, the upstreams and the one control replica.
``Work.runs`` is the record of all that ever ran; ``Fleet.check`` compares it with
what callers and entries were told.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import grpc.aio
import msgspec

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    AttachReq,
    CancelReply,
    CancelReq,
    DispatchReq,
    Refused,
)
from gooseberrydale.connection.rpc import ATTACH, CANCEL
from gooseberrydale.errors import Problem, ProblemError
from gooseberrydale.process.sidecar import upstream_run
from gooseberrydale.request.job import Events, Head, Job
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory
from tests.builders_entry import make_config
from tests.builders_memory_net import Channel, Host, Net, Processes
from tests.builders_memory_roles import POOLS, Control, Entry, Sidecar
from tests.builders_memory_upstream import (
    FAST_WORK_S,
    MemoryCall,
    Run,
    Triple,
    Upstream,
    Work,
    check_words,
)
from tests.clock import PausedClockLoop

ENTRIES = ("entry-0", "entry-1", "entry-2")
UPSTREAMS = tuple(POOLS)
# Longer than any message is held back, any deadline and any call to an upstream.
QUIET_S = 150.0
KEYS_RESENT = 4
STRANGER = "b"


@dataclass(slots=True)
class Caller:
    """One request of a caller, and what came of it."""

    job: Job
    subject: str
    incarnation_name: str
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
            if whole or self.events:
                body = msgspec.json.decode(b"".join(self.events))
                assert body["done"] == self.subject, self
            return
        check_words(self.text().split(), self.subject, whole=whole)

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
        self.work = Work(self.net)
        self.callers: list[Caller] = []
        self.never_runs: set[Triple] = set()
        self.control = Control()
        self.config: Config = make_config()
        self.upstreams = {name: Upstream() for name in UPSTREAMS}
        self.sidecars: dict[str, Sidecar] = {}
        self._incarnations = itertools.count(1)
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
        name = self._all_sidecars[incarnation].name
        return MemoryCall(self.work, self.upstreams[name], name, incarnation)

    # Steps and faults.

    def calm(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def ask(
        self,
        entry: str,
        kind: str,
        subject: str = "",
        *,
        stream: bool = True,
        deadline_s: float = 20.0,
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
            profile=replace(profile, deadline_s=deadline_s),
            method="POST",
            path="/v1/chat/completions" if is_chat else "/bid",
            body=msgspec.json.encode(body),
            stream=is_chat and stream,
            idempotency_key=subject if kind == "keyed" else "",
        )
        node = self.entries[entry]
        caller = Caller(job, subject, node.incarnation_name)
        work = caller.read(node)
        caller.task = self.processes.spawn(node.incarnation_name, work)
        self.callers.append(caller)
        return caller

    def ask_as_stranger(self, entry: str, which: int) -> None:
        """Attach to and cancel an attempt of another workspace."""
        if not self.work.runs:
            return
        run = self.work.runs[-1 - which % len(self.work.runs)]
        request_id, attempt, incarnation = run.triple
        incarnation_name = self.entries[entry].incarnation_name
        attach = AttachReq(request_id, incarnation, STRANGER, 0, attempt)
        cancel = CancelReq(request_id, attempt, incarnation, STRANGER)
        self.processes.spawn(
            incarnation_name, self._call(incarnation_name, run, ATTACH, attach)
        )
        self.processes.spawn(
            incarnation_name, self._call(incarnation_name, run, CANCEL, cancel)
        )

    async def _call(
        self, incarnation_name: str, run: Run, method: Any, req: Any
    ) -> None:
        channel = Channel(self.net, incarnation_name, run.upstream)
        call = channel.call(method, req, timeout_s=1.0)
        with contextlib.suppress(grpc.aio.AioRpcError):
            await (call.read() if method.server_streams else call)
        await channel.close()

    def start_sidecar(self, name: str) -> None:
        sidecar = Sidecar(
            name, next(self._incarnations), self.upstreams[name], self.net.sent_at
        )
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
        self.entries[name] = Entry(
            self.net, name, next(self._incarnations), self.control
        )

    def kill_entry(self, name: str) -> None:
        """kill -9, and another incarnation at once."""
        dead = self.entries[name].incarnation_name
        self.net.dead.add(dead)
        self.net.cut(lambda channel: channel.ends[0] == dead, told=1.0)
        self.processes.kill(dead)
        self.start_entry(name)

    def set_leaving(self, *names: str) -> None:
        """Change the configuration; sidecars have it at once, entries in time."""
        revision = self.config.revision + 1
        self.config = replace(self.config, revision=revision, leaving=frozenset(names))
        for sidecar in self.sidecars.values():
            sidecar.store.offer(self.config)

    def heal(self) -> None:
        """End all faults; what was held back comes now."""
        self.net.faults = type(self.net.faults)()
        self.net.cuts.clear()
        self.net.release()
        self.control.down = False
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
            ends = (entry.incarnation_name, sidecar.name)
            if ends in self.net.held or self.net.chance(self.net.faults.loss):
                continue
            late_s = self.net.delay()
            self.loop.call_later(late_s, _offer, entry.directory, record, now)

    # Checks.

    def _observe(self, host: Host, req: Any, reply: Any) -> None:
        """Note which attempts a sidecar said never ran and never will."""
        if getattr(req, "workspace", "") == STRANGER:
            refused = isinstance(reply, Refused | CancelReply) and reply.problem
            assert refused, f"a stranger was served: {reply}"
            return
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
        ran = {run.triple for run in self.work.runs}
        assert not ran & self.never_runs, ran & self.never_runs
        assert len(ran) == len(self.work.runs), "an attempt started twice"
        ran_requests = {run.triple[0] for run in self.work.runs}
        bids = Counter(
            r.subject for r in self.work.runs if not r.subject.startswith("lots")
        )
        assert all(count == 1 for count in bids.values()), bids
        for caller in self.callers:
            caller.check()
            if caller.problem is not None and caller.problem.not_run is True:
                assert caller.job.request_id not in ran_requests, caller
        for sidecar in self._all_sidecars.values():
            assert not sidecar.dispatcher.wrongly_taken, sidecar.name

    def finish(self) -> None:
        """Heal, wait, and see that every request ended and new ones are served."""
        self.heal()
        self.work.work_s = FAST_WORK_S
        self.calm(QUIET_S)
        self.check()
        for caller in self.callers:
            assert len(caller.ends) == 1, (caller.job, caller.ends)
        keys = [c.subject for c in self.callers if c.job.idempotency_key][-KEYS_RESENT:]
        again = [self.ask(ENTRIES[0], "keyed", key) for key in dict.fromkeys(keys)]
        self.calm(QUIET_S)
        assert all(len(caller.ends) == 1 for caller in again), again
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
