"""Gateways and upstreams of several software versions, and streams that break off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gooseberrydale.process.cfg import NodeCfg
from gooseberrydale.process.gateway.gateway import Gateway, gateway_record
from gooseberrydale.version.declared import Declared
from tests.builders_gateway import (
    KEY,
    RawUpstream,
    ReceivedAnswer,
    Script,
    Writer,
    call,
    declared,
    event,
    record,
    reset,
    route,
    running_gateway,
)
from tests.builders_streams import EVENT_STREAM, HEAD
from tests.free_ports import free_port

EVENTS = 4
TARGET = "/resumable/1"
BREAK_DELAY_S = 0.05
"""Time in which a caller or gateway reads what was written before a reset."""
RESUMABLE = route(
    path_prefix="/resumable/",
    streamed=True,
    resumable=True,
    max_runs=4,
    timeout_s=6.0,
    name="resumable",
)


def written(software: str, first: int, last: int = EVENTS) -> bytes:
    """Return events that name the software that wrote them."""
    numbers = range(first, last + 1)
    return b"".join(
        event(number).replace(b"word", software.encode() + b"-") for number in numbers
    )


def stream_of(
    software: str, breaks_after: int | None = None, *, breaks_all: bool = False
) -> Script:
    """Answer each request with the rest of the stream, as ``software`` writes it.

    A stream is reset after event ``breaks_after`` if that is set, where 0 is before the
    first event; one that goes on from an event only if ``breaks_all`` is, and only
    before that event.
    """

    async def script(req: dict[str, str], _body: bytes, writer: Writer) -> None:
        first = int(req.get("last-event-id", "0")) + 1
        is_new = first == 1 or (breaks_all and first <= (breaks_after or 0))
        stop = breaks_after if is_new else None
        head = HEAD.format(req["id"], EVENT_STREAM) + "connection: close\r\n\r\n"
        last = EVENTS if stop is None else stop
        writer.write(head.encode() + written(software, first, last))
        if stop is None:
            writer.close()
        else:
            await asyncio.sleep(BREAK_DELAY_S)
            reset(writer)

    return script


@dataclass
class VersionedUpstream(RawUpstream):
    """An upstream that announces the version of its software."""

    software: str = ""


def upstream(
    name: str,
    software: str,
    breaks_after: int | None = None,
    *,
    breaks_all: bool = False,
) -> VersionedUpstream:
    """Return an upstream that runs ``software``; see :func:`stream_of`."""
    script = stream_of(software, breaks_after, breaks_all=breaks_all)
    return VersionedUpstream(name, script, software=software)


@dataclass(frozen=True)
class Fleet:
    """Gateways that know each other, and the upstreams that they know."""

    gateways: list[Gateway]

    def announce(self, *upstreams: VersionedUpstream, **fields: Any) -> None:
        """Give all gateways the records of ``upstreams``."""
        now = asyncio.get_running_loop().time()
        for item in upstreams:
            known = {"seq": 2, "address": item.address, "software": item.software}
            announced = record(item.name, **{**known, **fields})
            for gateway in self.gateways:
                gateway.directory.offer(announced, now)

    async def begin(
        self,
        first: VersionedUpstream,
        *later: VersionedUpstream,
        index: int = 0,
        restarted_with: str | None = None,
    ) -> ReceivedAnswer:
        """Have ``first`` begin stream ``first``; announce the others while it runs.

        ``first`` is announced anew as restarted, if ``restarted_with`` names software.
        """
        self.announce(first)
        gateway = self.gateways[index]
        begun = asyncio.create_task(call(gateway, TARGET, request_id="first"))
        while not first.requests:
            await asyncio.sleep(0.001)
        self.announce(*later)
        if restarted_with is not None:
            self.announce(first, incarnation="2", software=restarted_with)
        return await begun

    async def end(self, index: int) -> None:
        """End a gateway."""
        await self.gateways[index].close()

    async def take_up(
        self,
        after: int,
        index: int = 0,
        resumes: str | None = "first",
        key: str = KEY,
    ) -> ReceivedAnswer:
        """Continue stream ``resumes`` after an event, as its caller would."""
        headers = [f"Last-Event-Id: {after}"]
        headers += [] if resumes is None else [f"Resumes: {resumes}"]
        extra = "\r\n".join(headers)
        return await call(
            self.gateways[index], TARGET, request_id="second", extra=extra, key=key
        )


@asynccontextmanager
async def running_fleet(
    *upstreams: VersionedUpstream,
    count: int = 1,
    document: Declared | None = None,
    data_dir: Path | None = None,
    software: tuple[str, ...] | None = None,
    **settings: Any,
) -> AsyncIterator[Fleet]:
    """Run ``count`` gateways, and the upstreams without announcing them.

    The configuration lists the versions ``software``, or else those of all upstreams.
    If ``data_dir`` is set, each gateway stores data in a folder of its own below it.
    """
    async with AsyncExitStack() as stack:
        for item in upstreams:
            await item.start()
            stack.push_async_callback(item.close)
        gateways, records = [], []
        listed = software
        if listed is None:
            listed = tuple(dict.fromkeys(item.software for item in upstreams))
        for number in range(count):
            name, gossip = f"g{number}", f"127.0.0.1:{free_port()}"
            if data_dir is not None:
                settings["data_dir"] = data_dir / name
            running = running_gateway(
                document or declared(RESUMABLE),
                name=name,
                gossip=gossip,
                software=listed,
                **settings,
            )
            gateways.append(await stack.enter_async_context(running))
            records.append(gateway_record(NodeCfg(name), gossip, "1"))
        for gateway in gateways:
            for known in records:
                gateway.directory.offer(known, asyncio.get_running_loop().time())
        yield Fleet(gateways)
        await asyncio.gather(*(gateway.close() for gateway in gateways))
