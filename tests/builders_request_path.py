"""A small fleet in memory, for long random runs of the request path.

The product's own code: the entry's ``Runner`` and ``KeyedAnswer`` with all that they
use, the sidecar's service, dispatcher and call to its upstream, and control's state.
Simulated: the network, the connections to upstreams, the upstreams and one control
replica.  ``Work.runs`` records all runs on upstreams; ``Fleet.check`` compares it with
the replies that callers and entries received.
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
# Longer than any delay of a message, any deadline and any call to an upstream.
SETTLE_S = 150.0
KEYS_RESENT = 4
STRANGER = "b"


@dataclass(slots=True)
class Caller:
    """One request of a caller, and its result."""

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
        """Read the answer to its end and record how it ended."""
        try:
            answer = entry.answering(self.job).answer()
            async with contextlib.aclosing(answer) as parts:
                async for part in parts:
                    self._add_part(part)
        except ProblemError as exc:
            self.problem = exc.problem
            self.ends.append("problem")
        except asyncio.CancelledError:
            self.ends.append("cancelled")
        else:
            self.ends.append("complete")

    def _add_part(self, part: Head | Events) -> None:
        if isinstance(part, Head):
            if self.head is not None:
                self.faults.append("second head received")
            self.head = part
            return
        if self.head is None or part.offset != len(self.events):
            self.faults.append(
                f"offset {part.offset} received after {len(self.events)}"
            )
        self.events.extend(part.events)

    def check(self) -> None:
        """Check that the caller got the expected answer, or the beginning of it."""
        assert not self.faults, (self.job, self.faults)
        assert len(self.ends) <= 1, (self.job, self.ends)
        complete = self.ends == ["complete"]
        if not self.job.is_completion:
            if complete or self.events:
                body = msgspec.json.decode(b"".join(self.events))
                assert body["done"] == self.subject, self
            return
        check_words(self.text().split(), self.subject, complete=complete)

    def text(self) -> str:
        """Return the text that the caller received."""
        kind = "delta" if self.job.stream else "message"
        choices = [msgspec.json.decode(event)["choices"][0] for event in self.events]
        return "".join(choice[kind].get("content") or "" for choice in choices)


class Fleet:
    """The whole fleet on a simulated clock; call ``check`` after each step."""

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
        self.run_for(2.0)

    def _dial_upstream(self, incarnation: str) -> MemoryCall:
        name = self._all_sidecars[incarnation].name
        return MemoryCall(self.work, self.upstreams[name], name, incarnation)

    # Steps and faults.

    def run_for(self, seconds: float) -> None:
        """Run the event loop for this time on the simulated clock."""
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
        """Send a request of kind ``lots``, ``bids`` or ``keyed``.

        ``subject`` is given to resend an earlier keyed call.
        """
        number = next(self._numbers)
        subject = subject or f"{kind}-{number}"
        is_chat = kind == "lots"
        chat = {"messages": [{"role": "user", "content": subject}], "stream": stream}
        body = chat if is_chat else {"bid": subject}
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
        """Try to attach to and to cancel an attempt of another workspace."""
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

    def kill_sidecar(self, name: str, *, notified: float = 1.0) -> None:
        """Like kill -9; each peer notices at once with probability ``notified``."""
        sidecar = self.sidecars[name]
        sidecar.alive = False
        self.net.dead.add(sidecar.incarnation)
        self.net.hosts.pop(name, None)
        self.net.cut(lambda channel: channel.ends[1] == name, notified=notified)
        self.processes.kill(sidecar.incarnation)
        for call in list(self.upstreams[name].calls):
            call.abort()

    def shut_sidecar(self, name: str) -> None:
        """Shut down gracefully; the sidecar is not started again."""
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
        """Like kill -9; starts another incarnation at once."""
        dead = self.entries[name].incarnation_name
        self.net.dead.add(dead)
        self.net.cut(lambda channel: channel.ends[0] == dead, notified=1.0)
        self.processes.kill(dead)
        self.start_entry(name)

    def set_leaving(self, *names: str) -> None:
        """Change the configuration; sidecars get it at once, entries later."""
        revision = self.config.revision + 1
        self.config = replace(self.config, revision=revision, leaving=frozenset(names))
        for sidecar in self.sidecars.values():
            sidecar.store.offer(self.config)

    def end_all_faults(self) -> None:
        """End all faults and deliver all messages that were held back."""
        self.net.faults = type(self.net.faults)()
        self.net.cuts.clear()
        self.net.release()
        self.control.down = False
        self.set_leaving()
        for name, upstream in self.upstreams.items():
            upstream.silent = False
            upstream.restart()
            if not self.sidecars[name].alive or self.sidecars[name].closing:
                self.kill_sidecar(name)
                self.start_sidecar(name)

    async def _mesh(self) -> None:
        """Distribute announcements and configurations, with delays and losses."""
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
        """Record the attempts that a sidecar reported as never to run."""
        if getattr(req, "workspace", "") == STRANGER:
            refused = isinstance(reply, Refused | CancelReply) and reply.problem
            assert refused, f"sidecar served an attempt of another workspace: {reply}"
            return
        if isinstance(req, CancelReq) and isinstance(reply, CancelReply):
            never_runs = reply.not_run
        elif isinstance(req, DispatchReq) and isinstance(reply, Refused):
            never_runs = reply.problem.not_run is True
        else:
            return
        if never_runs:
            self.never_runs.add((req.request_id, req.attempt, req.incarnation))

    def check(self) -> None:
        """Check every guarantee that can be checked at this point."""
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
            assert not sidecar.dispatcher.wrongly_accepted, sidecar.name

    def finish(self) -> None:
        """End all faults; check that every request ends and that new ones succeed."""
        self.end_all_faults()
        self.work.work_s = FAST_WORK_S
        self.run_for(SETTLE_S)
        self.check()
        for caller in self.callers:
            assert len(caller.ends) == 1, (caller.job, caller.ends)
        keys = [c.subject for c in self.callers if c.job.idempotency_key][-KEYS_RESENT:]
        resent = [self.ask(ENTRIES[0], "keyed", key) for key in dict.fromkeys(keys)]
        self.run_for(SETTLE_S)
        assert all(len(caller.ends) == 1 for caller in resent), resent
        new_callers = [
            self.ask(entry, kind)
            for entry in ENTRIES
            for kind in ("lots", "bids", "keyed")
        ]
        self.run_for(SETTLE_S)
        self.check()
        for caller in new_callers:
            assert caller.ends == ["complete"], caller

    def close(self) -> None:
        """Stop all tasks and the clock."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run_for(1.0)
        self.loop.close()


def _offer(directory: Directory, record: UpstreamRecord, sent_at: float) -> None:
    now = asyncio.get_event_loop().time()
    directory.offer(record, now, age_s=now - sent_at)
