"""Callers that read their answers slowly or not at all."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from gooseberrydale.process.gateway import slow_readers
from gooseberrydale.process.gateway.buffered_answers import MAX_ANSWER_BYTES
from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.process.gateway.slow_readers import (
    UNREAD_S,
    Unread,
    buffers_to_cut,
    observed,
)
from tests.builders_gateway import (
    HOST,
    KEY,
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    chunk,
    declared,
    route,
    running_gateway,
    stream_head,
    unchunked,
)
from tests.builders_logs import logged
from tests.builders_mesh import until
from tests.sidecar_harness import run

MB = 1024 * 1024
STREAM = route(path_prefix="/streams/", streamed=True, name="streams", timeout_s=20.0)
WHOLE = replace(route(), timeout_s=20.0)
LARGE = bytes(range(256)) * (24 * MB // 256)
ONE_READ = 256 * 1024
"""Most bytes that one read from a socket returns."""

KERNEL_BYTES = 12 * MB
"""More than the kernel buffers on both connections, which the gateway does not hold."""


async def stream(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer with a large stream, as fast as it is read."""
    writer.write(stream_head(req["id"]))
    for at in range(0, len(LARGE), 65_536):
        writer.write(chunk(LARGE[at : at + 65_536]))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def whole(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer with a large body of known length."""
    writer.write(answer_bytes(req["id"], LARGE))
    await writer.drain()


@contextmanager
def reader(gateway: Gateway, target: str) -> Iterator[socket.socket]:
    """Send a request on a socket with a small buffer, and read nothing yet."""
    host, _, port = gateway.addresses["http"].rpartition(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((host, int(port)))
        sock.setblocking(False)
        head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nId: r1\r\nKey: {KEY}\r\n"
        sock.sendall(f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
        yield sock


async def read_all(sock: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    parts = []
    while data := await loop.sock_recv(sock, MB):
        parts.append(data)
    return b"".join(parts)


def unsent(upstream: RawUpstream) -> int:
    """Return the bytes that the upstream could not write yet."""
    return sum(writer.transport.get_write_buffer_size() for writer in upstream.open)


@pytest.mark.parametrize("target", ["/streams/1", "/calls/1"])
def test_little_is_held_for_a_slow_reader_and_it_still_gets_its_answer(
    target: str,
) -> None:
    """Some dozen slow readers of large answers would use up the memory."""

    async def main() -> None:
        upstream = RawUpstream("u1", stream if target == "/streams/1" else whole)
        document = declared(STREAM, WHOLE)
        async with running_gateway(document, upstream) as gateway:
            with reader(gateway, target) as sock:
                await until(lambda: gateway._readers.held_bytes)
                [buffer] = gateway._readers._buffers
                # A buffer that is not empty is always watched.
                assert buffer.get_write_buffer_limits() == (0, 0)
                await asyncio.sleep(1.0)
                assert gateway._readers.held_bytes <= MAX_ANSWER_BYTES + ONE_READ
                if target == "/calls/1":
                    # The upstream is not read faster than the caller reads.
                    assert unsent(upstream) > len(LARGE) - KERNEL_BYTES
                data = await read_all(sock)
            body = data.partition(b"\r\n\r\n")[2]
            got = unchunked(body) if target == "/streams/1" else body
            assert got == LARGE
            await until(lambda: not gateway._readers.held_bytes)

    run(main())


@pytest.mark.parametrize("target", ["/streams/1", "/calls/1"])
def test_an_answer_that_stays_unread_is_cut(
    target: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It would hold memory, a descriptor and a slot of its upstream."""
    monkeypatch.setattr(slow_readers, "UNREAD_S", 0.6)

    async def main() -> None:
        upstream = RawUpstream("u1", stream if target == "/streams/1" else whole)
        document = declared(STREAM, WHOLE)
        with logged("unread_answers_cut") as lines:
            async with running_gateway(document, upstream) as gateway:
                with reader(gateway, target):
                    await until(lambda: lines)
                    assert not gateway._readers.held_bytes
                    # The connections of the caller and the upstream have ended.
                    await until(lambda: not gateway._gate.open)
                    await upstream.disconnected.wait()
        assert lines[0]["cut"] == 1

    run(main())


def test_an_answer_cut_off_at_its_deadline_does_not_stay_in_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing a connection waits until its buffer is read, without a limit."""
    monkeypatch.setattr(slow_readers, "UNREAD_S", 0.6)

    async def main() -> None:
        upstream = RawUpstream("u1", stream)
        document = declared(replace(STREAM, timeout_s=0.2))
        async with running_gateway(document, upstream) as gateway:
            with reader(gateway, "/streams/1"):
                await until(lambda: gateway._readers.held_bytes)
                await until(lambda: not gateway._gate.open)

    run(main())


def test_a_large_answer_that_breaks_off_is_not_sent_twice() -> None:
    """A second send would append its answer to the part that the caller has."""

    async def breaks_off(req: dict[str, str], body: bytes, writer: Writer) -> None:
        whole_answer = answer_bytes(req["id"], LARGE[:MB])
        writer.write(whole_answer[: MB // 2])
        await writer.drain()
        writer.close()

    async def main() -> None:
        upstreams = RawUpstream("u1", breaks_off), RawUpstream("u2", breaks_off)
        document = declared(replace(WHOLE, repeatable=True, max_runs=2))
        async with running_gateway(document, *upstreams) as gateway:
            got = await call(gateway)
        assert not got.whole
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run(main())


def test_a_buffer_that_shrinks_is_being_read() -> None:
    state = observed(None, 1_000, 10.0)
    assert observed(state, 1_000, 14.0) == Unread(1_000, 10.0)
    assert observed(state, 999, 14.0) == Unread(999, 14.0)


def test_buffers_unread_for_too_long_are_cut() -> None:
    buffers = {"old": Unread(10, 0.0), "new": Unread(10, 1.0)}
    assert buffers_to_cut(buffers, UNREAD_S - 0.1) == []
    assert buffers_to_cut(buffers, UNREAD_S + 0.1) == ["old"]


def test_all_buffers_together_are_bounded() -> None:
    """Many callers that read slowly, each within its own bound."""
    buffers = {number: Unread(100, float(number)) for number in range(4)}
    assert buffers_to_cut(buffers, 4.0, max_bytes=250) == [0, 1]
