"""Listeners bound what each connection, and all of them together, hold."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import ssl
from collections.abc import AsyncIterator
from typing import Any

import pytest
from starlette.types import ASGIApp, Receive, Scope, Send

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http import client_account
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.draining_close import DISCARD_BYTES, DrainingClose
from gooseberrydale.process.http.protocol import (
    CONNECTION_BYTES,
    READ_BYTES,
    TLS_CONNECTION_BYTES,
    BoundedHttpProtocol,
)
from gooseberrydale.process.http.server import HttpServer
from tests.builders_logs import logged
from tests.builders_mesh import until
from tests.certificates import write_certificates
from tests.sidecar_harness import run

KIB = 1024
LIMIT = 512 * KIB
BODY = 100 * KIB
GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"


class LimitedProtocol(BoundedHttpProtocol):
    """A protocol whose application reads bodies of up to 200 KiB."""

    largest_body = 2 * BODY


class Application:
    """Reads each body and answers with its path once ``released`` is set."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.released.set()
        self.started: list[str] = []
        self.read: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        self.started.append(path)
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            if not message["more_body"]:
                break
        self.read.append(path)
        await self.released.wait()
        size = str(len(path)).encode()
        headers = [(b"content-length", size)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": path.encode()})


class Listener:
    """An HTTP server with an account, and its clients."""

    def __init__(self, app: ASGIApp | None = None, **limits: Any) -> None:
        self.app = Application()
        self.clients = ClientAccount(**limits)
        self._http = HttpServer(
            app or self.app, "127.0.0.1:0", TlsCfg(), LimitedProtocol, self.clients
        )
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        await self._http.start()

    async def close(self) -> None:
        for writer in self._writers:
            writer.close()
        await self._http.close(0.1)

    async def send(self, data: bytes) -> asyncio.StreamReader:
        """Connect and send ``data`` as far as it is read."""
        host, _, port = self._http.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        writer.write(data)
        return reader


@contextlib.asynccontextmanager
async def listening(
    app: ASGIApp | None = None, **limits: Any
) -> AsyncIterator[Listener]:
    listener = Listener(app, **limits)
    await listener.start()
    try:
        yield listener
    finally:
        await listener.close()


async def read_status(reader: asyncio.StreamReader) -> int:
    """Return the status of an answer, and skip the rest of it."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
    await reader.readexactly(length)
    return int(head.split()[1])


def test_requests_sent_ahead_are_read_one_at_a_time() -> None:
    async def main() -> None:
        async with listening() as listener:
            listener.app.released.clear()
            sent = b"".join(GET % number for number in range(50))
            reader = await listener.send(sent + POST % (50, 5) + b"words" + GET % 51)
            await until(lambda: bool(listener.app.read))
            await asyncio.sleep(0.05)
            assert listener.app.started == ["/0"]
            listener.app.released.set()
            for _ in range(52):
                assert await read_status(reader) == 200
            assert listener.app.read == [f"/{number}" for number in range(52)]

    run(main())


def test_what_is_sent_ahead_without_end_is_not_held() -> None:
    async def main() -> None:
        async with listening() as listener:
            listener.app.released.clear()
            await listener.send(b"".join(GET % n for n in range(300_000)))
            await until(lambda: listener.clients.held_bytes > READ_BYTES)
            await asyncio.sleep(0.1)
            assert listener.app.started == ["/0"]
            assert listener.clients.held_bytes < 2 * READ_BYTES + 200 * KIB

    run(main())


def test_the_largest_unfinished_body_is_refused_and_others_are_served() -> None:
    async def main() -> None:
        with logged("clients_refused") as lines:
            async with listening(max_bytes=LIMIT) as listener:
                unfinished = [
                    await listener.send(POST % (n, BODY) + b"x" * (BODY - 1))
                    for n in range(3)
                ]
                assert [await read_status(unfinished[0])] == [503]
                small = await listener.send(GET % 9)
                assert await read_status(small) == 200
                assert listener.app.read == ["/9"]
                assert listener.clients.held_bytes <= LIMIT
            assert lines[0]["reason"] == "memory"

    run(main())


def test_a_request_that_was_read_is_answered_and_what_follows_it_dropped() -> None:
    """A refusal must not end a request that the application may have passed on."""

    async def main() -> None:
        async with listening(max_bytes=LIMIT) as listener:
            listener.app.released.clear()
            ahead = POST % (1, 50) + b"x" * 50 + GET % 2 * 8_000
            readers = [await listener.send(ahead) for _ in range(4)]
            await until(lambda: len(listener.app.read) == 4)
            await asyncio.sleep(0.1)
            assert listener.clients.held_bytes <= LIMIT
            listener.app.released.set()
            for reader in readers:
                assert await read_status(reader) == 200

    run(main())


def test_an_announced_body_is_refused_unread_if_it_does_not_fit() -> None:
    async def main() -> None:
        async with listening(max_bytes=LIMIT) as listener:
            listener.app.released.clear()
            await listener.send(POST % (0, BODY) + b"x" * BODY)
            await until(lambda: bool(listener.app.read))
            refused = await listener.send(POST % (1, BODY))
            assert await read_status(refused) == 503
            assert listener.app.started == ["/0"]

    run(main())


class ResetTransport:
    """A transport whose client has reset the connection, which nobody has noticed."""

    aborted = False

    def is_closing(self) -> bool:
        return self.aborted

    def resume_reading(self) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        raise OSError("Transport endpoint is not connected")

    def close(self) -> None:
        pass

    def abort(self) -> None:
        self.aborted = True


def test_closing_a_connection_that_was_reset_raises_nothing() -> None:
    """Guards against an error that would end whatever refused the connection."""

    async def main() -> None:
        transport = ResetTransport()
        closing = DrainingClose(transport)
        closing.begin()
        assert transport.aborted
        closing.lost()

    run(main())


async def answer_early(scope: Scope, receive: Receive, send: Send) -> None:
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 401, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


@pytest.mark.parametrize("chunk", [b"zz\r\n", b"1\r\nx"])
def test_no_second_answer_follows_one_whose_body_still_arrives(chunk: bytes) -> None:
    """Guards against an answer that a client takes for that of its next request."""

    async def main() -> None:
        async with listening(answer_early) as listener:
            head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            reader = await listener.send(head)
            assert await read_status(reader) == 401
            listener._writers[0].write(chunk)
            await until(lambda: listener.clients.held_bytes > 0 or reader.at_eof())
            for conn in list(listener.clients._waiting):
                conn.refuse_held()
            assert await reader.read() == b""

    run(main())


def test_a_body_behind_its_answer_is_not_read_without_end() -> None:
    async def main() -> None:
        async with listening(answer_early) as listener:
            reader = await listener.send(POST % (1, 10) + b"x" * 10 + POST % (2, 2**30))
            assert await read_status(reader) == 401
            assert await read_status(reader) == 401
            listener._writers[0].write(b"x" * (DISCARD_BYTES + READ_BYTES))
            assert await reader.read() == b""

    run(main())


@pytest.mark.parametrize("secure", [False, True])
def test_large_answers_are_sent_whole_with_and_without_tls(
    secure: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against listeners that stall while their client reads."""
    size = 3_000_000
    cfg, context = TlsCfg(), None
    if secure:
        files = write_certificates(tmp_path, ["127.0.0.1"])
        cfg = TlsCfg(**files)
        context = ssl.create_default_context(cafile=files["ca_file"])

    async def answer(scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"%d" % size)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for last in range(3):
            part = b"x" * (size // 3)
            message = {"type": "http.response.body", "body": part}
            await send({**message, "more_body": last < 2})

    async def main() -> None:
        http = HttpServer(answer, "127.0.0.1:0", cfg, LimitedProtocol)
        await http.start()
        host, _, port = http.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
        writer.write(GET % 1 + GET % 2)
        for _ in range(2):
            assert await read_status(reader) == 200
        writer.close()
        await http.close(0.1)

    run(main())


@pytest.mark.parametrize("waited_s", [0.0, 1.0])
def test_idle_connections_make_room_for_others(
    waited_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Those that have just been opened are kept."""
    monkeypatch.setattr(client_account, "MIN_WAIT_S", 0.1)

    async def main() -> None:
        async with listening(max_fds=20) as listener:
            idle = [await listener.send(b"") for _ in range(13)]
            await until(lambda: listener.clients.connections == 13)
            await asyncio.sleep(waited_s)
            reader = await listener.send(GET % 1)
            assert await read_status(reader) == 200
            await asyncio.sleep(0.05)
            assert idle[0].at_eof() == bool(waited_s)
            assert not idle[-1].at_eof()

    run(main())


@pytest.mark.parametrize("secure", [False, True])
def test_connections_that_have_waited_longest_make_room_for_the_memory_of_others(
    secure: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against connections without requests, which hold nothing else."""
    cfg, ctx = TlsCfg(), None
    if secure:
        files = write_certificates(tmp_path, ["127.0.0.1"])
        cfg, ctx = TlsCfg(**files), ssl.create_default_context(cafile=files["ca_file"])
    size = TLS_CONNECTION_BYTES if secure else CONNECTION_BYTES
    app = Application()

    async def main() -> None:
        clients = ClientAccount(5 * size)
        http = HttpServer(app, "127.0.0.1:0", cfg, LimitedProtocol, clients)
        await http.start()
        host, _, port = http.address.rpartition(":")
        app.released.clear()
        conns = []
        for number in range(7):
            conns.append(await asyncio.open_connection(host, int(port), ssl=ctx))
            if number == 0:
                conns[0][1].write(GET % 0)
            await until(lambda: bool(app.started))
            await asyncio.sleep(0.05)
        app.released.set()
        # The first one has a request and is kept.
        assert await read_status(conns[0][0]) == 200
        for reader, _ in conns[1:3]:
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 5.0) == b""
        conns[-1][1].write(GET % 6)
        assert await read_status(conns[-1][0]) == 200
        for _, writer in conns:
            writer.close()
        await http.close(0.1)

    with logged("clients_refused") as lines:
        run(main())
    assert {line["reason"] for line in lines} == {"connections"}
