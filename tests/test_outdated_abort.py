"""Requests that wait inside an engine while its weights become too old."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.version.declarations import Config, Document
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
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
POLL_S = 0.01
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
        self.starts = 0
        self.closed_at = 0.0

    async def _serve(self, req: dict[str, str], body: bytes, writer: Writer) -> None:
        loop = asyncio.get_running_loop()
        start_at = loop.time() + self.wait_s
        while loop.time() < start_at:
            if self.server.is_closed_by_peer(writer):
                self.closed_at = loop.time()
                return
            await asyncio.sleep(POLL_S)
        self.starts += 1
        writer.write(stream_head(req["id"]) + chunk(event(1)) + b"0\r\n\r\n")


def announce(gateway: Gateway, upstream: RawUpstream, version: int) -> None:
    known = record(
        upstream.name,
        seq=2,
        address=upstream.address,
        model="m",
        weights_version=str(version),
    )
    gateway.directory.offer(known, asyncio.get_running_loop().time())


def name_version(gateway: Gateway, version: int) -> None:
    document = Document(1, b"{}")
    gateway.store.offer(Config(version, document=document, weights={"m": version}))


@pytest.mark.parametrize("named_after_s", [0.0, 1.0])
@pytest.mark.parametrize("path, status", [("/resumable/1", 200), ("/streams/1", 502)])
def test_request_that_waits_in_an_engine_never_starts_past_the_weights_bound(
    path: str, status: int, named_after_s: float
) -> None:
    async def main() -> None:
        slow = StartingEngine("slow", 1, wait_s=named_after_s + BOUND_S)
        other = StartingEngine("other", 2, wait_s=0.0)
        servers = slow.server, other.server
        async with running_gateway(
            declared(STREAM, RESUMABLE), *servers, weights_bound_s=BOUND_S
        ) as gateway:
            for engine in (slow, other):
                announce(gateway, engine.server, engine.version)
            gateway._upstreams.load_of("other").error_rate = 0.9
            loop = asyncio.get_running_loop()
            named_at = loop.time() + named_after_s
            loop.call_at(named_at, name_version, gateway, 2)
            await asyncio.sleep(0.0 if named_after_s else POLL_S)
            with logged("send_ended") as ends, logged("upstream_suspected") as suspects:
                got = await call(gateway, path)
            await asyncio.sleep(POLL_S * 5)
        assert (got.status, [line["end"] for line in ends]) == (status, ["outdated"])
        assert suspects == []
        assert len(slow.server.requests) == 1
        assert named_at < slow.closed_at < named_at + BOUND_S
        assert (slow.starts, other.starts) == (0, int(status == 200))

    run(main())


def test_request_is_not_sent_once_it_may_not_start_any_more() -> None:
    async def main() -> None:
        outdated = StartingEngine("u1", 1, wait_s=0.0)
        async with running_gateway(
            declared(STREAM), outdated.server, weights_bound_s=BOUND_S
        ) as gateway:
            announce(gateway, outdated.server, 1)
            conns = gateway._conns
            connect = conns.acquire

            async def learn_while_connecting(*args: Any, **kwargs: Any) -> HttpConn:
                conn = await connect(*args, **kwargs)
                now = asyncio.get_running_loop().time()
                gateway._named_weights.record({"m": 2}, now - BOUND_S)
                return conn

            conns.acquire = learn_while_connecting  # type: ignore[method-assign]
            with logged("send_ended") as ends:
                got = await call(gateway, "/streams/1")
        assert (got.status, [line["end"] for line in ends]) == (503, ["not_sent"])
        assert outdated.server.requests == []

    run(main())


def test_limit_of_a_failed_request_spares_the_next_one_on_its_connection() -> None:
    async def main() -> None:
        async def serve(req: dict[str, str], body: bytes, writer: Writer) -> None:
            writers.append(writer)
            if len(writers) == 1:
                writer.write(answer_bytes(req["id"], b"", "500 Internal Server Error"))
                return
            writer.write(stream_head(req["id"]) + chunk(event(1)))
            await asyncio.sleep(BOUND_S)
            writer.write(chunk(event(2)) + b"0\r\n\r\n")

        writers: list[Writer] = []
        engine = RawUpstream("u1", serve)
        async with running_gateway(
            declared(STREAM), engine, weights_bound_s=BOUND_S
        ) as gateway:
            announce(gateway, engine, 1)
            name_version(gateway, 2)
            failed = await call(gateway, "/streams/1")
            got = await call(gateway, "/streams/2")
        assert (failed.status, len(writers), len(set(writers))) == (500, 2, 1)
        assert (got.status, got.whole, got.body) == (200, True, event(1) + event(2))

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
            announce(gateway, engine, 1)
            name_version(gateway, 2)
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
            name_version(gateway, 2)
            stall = loop.call_later(START_S / 2, time.sleep, BOUND_S)
            got = await call(gateway, "/streams/1")
            stall.cancel()
        assert (got.status, got.whole, got.body) == (200, True, event(1) + event(2))

    with streaming_engine(pause_s=BOUND_S) as address:
        run(main(address))
