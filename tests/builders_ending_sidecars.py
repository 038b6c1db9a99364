"""Builders for requests that end their upstreams, before entries and sidecars."""

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
from tests.builders_ending import BACK_S, HARMFUL
from tests.builders_entry import KEY_A, TOKEN, make_cfg, make_config
from tests.builders_mesh import Member, until
from tests.builders_sidecar import Request, TinyUpstream, Writer, send_body, sidecar_cfg

WORK_S = 0.05


@dataclass
class Falling:
    """An upstream that a harmful request ends; it is back after ``BACK_S``.

    ``tells_incarnations`` says whether its health call names the incarnation that
    answers.
    """

    tells_incarnations: bool = True
    incarnations: int = 1
    harmful: int = 0
    upstream: TinyUpstream = field(init=False)
    _writers: set[Writer] = field(default_factory=set)
    _back: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        self.upstream = TinyUpstream(self._answer)
        self._name_incarnation()

    async def close(self) -> None:
        """Stop for good."""
        if self._back is not None:
            self._back.cancel()
        await self.upstream.close()

    def _name_incarnation(self) -> None:
        if self.tells_incarnations:
            self.upstream.health = {
                "ready": True,
                "incarnation": f"incarnation{self.incarnations}",
            }

    async def _answer(self, req: Request, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            await asyncio.sleep(WORK_S)
            if HARMFUL not in req.body:
                await send_body(writer, b"done")
                return
            self.harmful += 1
            await self.upstream.close()
            for one in self._writers:
                one.transport.abort()
            self._back = asyncio.create_task(self._come_back())
        finally:
            self._writers.discard(writer)

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        self.incarnations += 1
        self._name_incarnation()
        await self.upstream.start()


@dataclass
class Deployment:
    """Entries, and upstreams with a sidecar each, that meet at one control."""

    control: Member
    stack: AsyncExitStack
    upstreams: list[Falling] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)

    @property
    def harmful(self) -> int:
        """How often a harmful request has reached an upstream."""
        return sum(one.harmful for one in self.upstreams)

    async def add_upstream(
        self, folder: pathlib.Path, *, tells_incarnations: bool
    ) -> None:
        """One more upstream with its sidecar."""
        falling = Falling(tells_incarnations)
        await falling.upstream.start()
        self.stack.push_async_callback(falling.close)
        url = falling.upstream.url
        cfg = sidecar_cfg(folder, url, pool="bidding", kind="service", drain_s=0.1)
        (folder / "token").write_text(TOKEN)
        fleet = replace(cfg.fleet, controls=(self.control.address,))
        node = NodeCfg(f"upstream-{len(self.upstreams)}")
        sidecar = Sidecar(replace(cfg, node=node, fleet=fleet))
        await sidecar.start()
        self.stack.push_async_callback(sidecar.close)
        self.upstreams.append(falling)

    async def add_entry(self) -> Entry:
        """One more entry, once it knows all upstreams."""
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
        """Place a bid, which may run once."""
        base = f"http://{entry.addresses['http']}"
        headers = {"Authorization": f"Bearer {KEY_A}"}
        async with httpx2.AsyncClient(base_url=base, headers=headers) as client:
            return await client.post("/services/bids/lots/42", content=body)


@asynccontextmanager
async def deployment(
    folder: pathlib.Path,
    *,
    upstreams: int = 4,
    entries: int = 2,
    tells_incarnations: bool,
) -> AsyncIterator[Deployment]:
    """A deployment that is ready for work."""
    async with AsyncExitStack() as stack:
        control = await Member("control", "c1", token=TOKEN).start()
        stack.push_async_callback(control.close)
        found = Deployment(control, stack)
        for _ in range(upstreams):
            await found.add_upstream(folder, tells_incarnations=tells_incarnations)
        for _ in range(entries):
            await found.add_entry()
        yield found
