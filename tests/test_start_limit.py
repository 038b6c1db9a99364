"""Requests that wait inside an engine while its weights become too old."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

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
START_S = 0.5
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


@contextmanager
def streaming_engine(pause_s: float) -> Iterator[str]:
    """Yield the address of an engine that runs in a thread of its own.

    It starts each request after ``START_S`` and sends the next event ``pause_s`` later.
    """

    def serve(conn: socket.socket) -> None:
        with conn:
            data = b""
            while b"\r\n\r\n" not in data:
                received = conn.recv(65_536)
                if not received:
                    return
                data += received
            time.sleep(START_S)
            conn.sendall(stream_head("r1") + chunk(event(1)))
            time.sleep(pause_s)
            try:
                conn.sendall(chunk(event(2)) + b"0\r\n\r\n")
            except OSError:
                return

    def accept() -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(conn,), daemon=True).start()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=accept, daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        listener.shutdown(socket.SHUT_RDWR)


def test_stream_that_started_while_the_gateway_was_stalled_is_not_aborted() -> None:
    async def main(address: str) -> None:
        async with running_gateway(
            declared(STREAM), weights_bound_s=BOUND_S
        ) as gateway:
            loop = asyncio.get_running_loop()
            known = record("u1", seq=2, address=address, model="m", weights_version="1")
            gateway.directory.offer(known, loop.time())
            gateway.store.offer(
                Config(2, document=Document(1, b"{}"), weights={"m": 2})
            )
            stall = loop.call_later(START_S / 2, time.sleep, BOUND_S)
            got = await call(gateway, "/streams/1")
            stall.cancel()
        assert (got.status, got.whole, got.body) == (200, True, event(1) + event(2))

    with streaming_engine(pause_s=BOUND_S) as address:
        run(main(address))
