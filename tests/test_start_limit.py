"""Requests that wait inside an engine while its weights become too old."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.version.declarations import Config, Document
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    call,
    chunk,
    declared,
    event,
    record,
    route,
    running_gateway,
    stream_head,
)
from tests.builders_logs import logged
from tests.sidecar_harness import run

BOUND_S = 3.0
STREAM = route(path_prefix="/streams/", streamed=True, timeout_s=6.0, name="streams")
RESUMABLE = route(
    path_prefix="/resumable/",
    streamed=True,
    resumable=True,
    max_runs=2,
    timeout_s=6.0,
    name="resumable",
)


class StartingEngine:
    """An engine that starts a request after ``wait_s`` and drops it if it is closed."""

    def __init__(self, name: str, version: int, wait_s: float) -> None:
        self.server = RawUpstream(name, self._serve)
        self.version = version
        self.wait_s = wait_s
        self.starts: list[float] = []

    async def _serve(self, req: dict[str, str], body: bytes, writer: Writer) -> None:
        await asyncio.sleep(self.wait_s)
        if self.server.is_closed_by_peer(writer):
            return
        self.starts.append(asyncio.get_running_loop().time())
        writer.write(stream_head(req["id"]) + chunk(event(1)) + b"0\r\n\r\n")


@pytest.mark.parametrize("path, status", [("/resumable/1", 200), ("/streams/1", 502)])
def test_request_that_waits_in_an_engine_never_starts_past_the_weights_bound(
    path: str, status: int
) -> None:
    async def main() -> None:
        slow = StartingEngine("slow", 1, wait_s=BOUND_S + 0.5)
        other = StartingEngine("other", 2, wait_s=0.0)
        servers = slow.server, other.server
        document = declared(STREAM, RESUMABLE)
        async with running_gateway(
            document, *servers, weights_bound_s=BOUND_S
        ) as gateway:
            now = asyncio.get_running_loop().time()
            for engine in (slow, other):
                known = record(
                    engine.server.name,
                    seq=2,
                    address=engine.server.address,
                    model="m",
                    weights_version=str(engine.version),
                )
                gateway.directory.offer(known, now)
            gateway._upstreams.load_of("other").error_rate = 0.9
            gateway.store.offer(
                Config(2, document=Document(1, b"{}"), weights={"m": 2})
            )
            with logged("send_ended") as lines:
                got = await call(gateway, path)
            await asyncio.sleep(1.0)
        assert (got.status, [line["end"] for line in lines]) == (status, ["outdated"])
        assert len(slow.server.requests) == 1
        assert (len(slow.starts), len(other.starts)) == (0, int(status == 200))

    run(main())


def test_started_stream_continues_past_the_weights_bound() -> None:
    async def main() -> None:
        async def serve(req: dict[str, str], body: bytes, writer: Writer) -> None:
            writer.write(stream_head(req["id"]) + chunk(event(1)))
            await asyncio.sleep(BOUND_S)
            writer.write(chunk(event(2)) + b"0\r\n\r\n")

        engine = RawUpstream("u1", serve)
        async with running_gateway(
            declared(STREAM), engine, weights_bound_s=BOUND_S
        ) as gateway:
            known = record(
                "u1", seq=2, address=engine.address, model="m", weights_version="1"
            )
            gateway.directory.offer(known, asyncio.get_running_loop().time())
            gateway.store.offer(
                Config(2, document=Document(1, b"{}"), weights={"m": 2})
            )
            got = await call(gateway, "/streams/1")
        assert (got.status, got.whole, got.body) == (200, True, event(1) + event(2))

    run(main())
