"""Builders for tests of requests that end their upstreams behind sidecars."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

import httpx2

from gooseberrydale.process.cfg import NodeCfg
from gooseberrydale.process.entry import Entry
from gooseberrydale.process.sidecar import Sidecar
from tests.builders_ending import HARMFUL, REPLACEMENT_S
from tests.builders_entry import KEY_A, TOKEN, chat_body, make_cfg, make_config
from tests.builders_mesh import Member, until
from tests.builders_sidecar import Request, TinyUpstream, Writer, send_body, sidecar_cfg

ANSWER_DELAY_S = 0.05


@dataclass
class CrashingUpstream:
    """An upstream that a harmful request ends; it restarts after ``REPLACEMENT_S``.

    ``names_incarnations`` says whether its health check names its incarnation.
    """

    names_incarnations: bool = True
    answer: bytes = b"done"
    incarnations: int = 1
    harmful: int = 0
    upstream: TinyUpstream = field(init=False)
    _writers: set[Writer] = field(default_factory=set)
    _restart_task: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        self.upstream = TinyUpstream(self._answer)
        self._name_incarnation()

    async def close(self) -> None:
        """Stop the upstream and don't restart it."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self.upstream.close()

    def _name_incarnation(self) -> None:
        if self.names_incarnations:
            self.upstream.health = {
                "ready": True,
                "incarnation": f"incarnation{self.incarnations}",
            }

    async def _answer(self, req: Request, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            await asyncio.sleep(ANSWER_DELAY_S)
            if HARMFUL not in req.body:
                await send_body(writer, self.answer)
                return
            self.harmful += 1
            await self.upstream.close()
            for open_writer in self._writers:
                open_writer.transport.abort()
            self._restart_task = asyncio.create_task(self._restart())
        finally:
            self._writers.discard(writer)

    async def _restart(self) -> None:
        await asyncio.sleep(REPLACEMENT_S)
        self.incarnations += 1
        self._name_incarnation()
        await self.upstream.start()


@dataclass
class Deployment:
    """Entries, and upstreams with a sidecar each, connected through one control.

    The upstreams answer ``completions``, or else bids.
    """

    control: Member
    stack: AsyncExitStack
    completions: bool = False
    upstreams: list[CrashingUpstream] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)

    @property
    def harmful(self) -> int:
        """The number of harmful requests that have reached an upstream."""
        return sum(upstream.harmful for upstream in self.upstreams)

    async def add_upstream(
        self, folder: pathlib.Path, *, names_incarnations: bool
    ) -> None:
        """Start another upstream with its sidecar."""
        crashing = CrashingUpstream(names_incarnations)
        pool, kind = "bidding", "service"
        if self.completions:
            crashing.answer, pool, kind = chat_body("done"), "summary", "completion"
        await crashing.upstream.start()
        self.stack.push_async_callback(crashing.close)
        url = crashing.upstream.url
        cfg = sidecar_cfg(folder, url, pool=pool, kind=kind, model="m1", drain_s=0.1)
        (folder / "token").write_text(TOKEN)
        fleet = replace(cfg.fleet, controls=(self.control.address,))
        node = NodeCfg(f"upstream-{len(self.upstreams)}")
        sidecar = Sidecar(replace(cfg, node=node, fleet=fleet))
        await sidecar.start()
        self.stack.push_async_callback(sidecar.close)
        self.upstreams.append(crashing)

    async def add_entry(self) -> Entry:
        """Start another entry and wait until it has records of all upstreams."""
        cfg = make_cfg((self.control.address,))
        entry = Entry(replace(cfg, node=NodeCfg(f"entry-{len(self.entries)}")))
        entry.store.offer(make_config())
        await entry.start()
        self.stack.push_async_callback(entry.close)
        self.entries.append(entry)
        loop = asyncio.get_running_loop()
        await until(
            lambda: len(entry.directory.records(loop.time())) == len(self.upstreams)
        )
        return entry

    async def bid(self, entry: Entry, body: bytes) -> httpx2.Response:
        """Send a bid, which must not run more than once."""
        base = f"http://{entry.addresses['http']}"
        headers = {"Authorization": f"Bearer {KEY_A}"}
        async with httpx2.AsyncClient(base_url=base, headers=headers) as client:
            return await client.post("/services/bids/lots/42", content=body)

    async def ask(self, entry: Entry, *messages: str) -> httpx2.Response:
        """Ask for a completion; the last message is the caller's question."""
        base = f"http://{entry.addresses['http']}"
        headers = {"Authorization": f"Bearer {KEY_A}"}
        content = [{"role": "user", "content": text} for text in messages]
        async with httpx2.AsyncClient(base_url=base, headers=headers) as client:
            return await client.post(
                "/v1/chat/completions", json={"model": "lots", "messages": content}
            )


@asynccontextmanager
async def deployment(
    folder: pathlib.Path,
    *,
    upstreams: int = 4,
    entries: int = 2,
    names_incarnations: bool,
    completions: bool = False,
) -> AsyncIterator[Deployment]:
    """Run a deployment whose entries have records of all upstreams."""
    async with AsyncExitStack() as stack:
        control = await Member("control", "c1", token=TOKEN).start()
        stack.push_async_callback(control.close)
        fleet = Deployment(control, stack, completions)
        for _ in range(upstreams):
            await fleet.add_upstream(folder, names_incarnations=names_incarnations)
        for _ in range(entries):
            await fleet.add_entry()
        yield fleet
