"""Listeners with TLS bound the handshakes of their clients."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import ssl
from collections.abc import AsyncIterator

import pytest

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http import tls_handshakes
from gooseberrydale.process.http.server import HttpServer
from tests.builders_crowd import client_hello
from tests.builders_logs import logged
from tests.certificates import write_certificates
from tests.sidecar_harness import run
from tests.test_client_account import GET, Application, read_status

MAX_HANDSHAKES = 3


@contextlib.asynccontextmanager
async def listening(
    folder: pathlib.Path,
) -> AsyncIterator[tuple[str, int, ssl.SSLContext]]:
    """Yield the address of a listener with TLS, and a context that trusts it."""
    files = write_certificates(folder, ["127.0.0.1"])
    http = HttpServer(
        Application(),
        "127.0.0.1:0",
        TlsCfg(**files),
        max_handshakes=MAX_HANDSHAKES,
    )
    await http.start()
    host, _, port = http.address.rpartition(":")
    try:
        yield host, int(port), ssl.create_default_context(cafile=files["ca_file"])
    finally:
        await http.close(0.1)


async def status_of(host: str, port: int, ctx: ssl.SSLContext) -> int:
    reader, writer = await asyncio.open_connection(host, port, ssl=ctx)
    writer.write(GET % 1)
    try:
        return await read_status(reader)
    finally:
        writer.close()


@pytest.mark.parametrize("sent", [b"", client_hello()[:-1], client_hello()])
def test_handshakes_that_began_first_make_room_for_others(
    sent: bytes, tmp_path: pathlib.Path
) -> None:
    """Guards against clients that fill a process before it knows them."""

    async def main() -> None:
        with logged("clients_refused") as lines:
            async with listening(tmp_path) as (host, port, ctx):
                waiting = []
                for _ in range(MAX_HANDSHAKES + 2):
                    waiting.append(await asyncio.open_connection(host, port))
                    waiting[-1][1].write(sent)
                    await asyncio.sleep(0.02)
                assert await status_of(host, port, ctx) == 200
                for reader, _ in waiting[:2]:
                    with contextlib.suppress(ConnectionError):
                        await asyncio.wait_for(reader.read(), 5.0)
                last, _ = waiting[-1]
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(last.read(), 0.2)
                for _, writer in waiting:
                    writer.close()
        assert {line["reason"] for line in lines} == {"handshakes"}

    run(main())


def test_a_handshake_has_a_limited_time(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tls_handshakes, "HANDSHAKE_TIMEOUT_S", 1)

    async def main() -> None:
        async with listening(tmp_path) as (host, port, _):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(client_hello()[:-1])
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(reader.read(), 5.0)
            writer.close()

    run(main())


def test_what_arrives_together_with_the_end_of_a_handshake_is_read(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with listening(tmp_path) as (host, port, ctx):
            reader, writer = await asyncio.open_connection(host, port)
            incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
            tls = ctx.wrap_bio(incoming, outgoing, server_hostname=host)
            while True:
                try:
                    tls.do_handshake()
                    break
                except ssl.SSLWantReadError:
                    writer.write(outgoing.read())
                    incoming.write(await reader.read(65_536))
            tls.write(GET % 1)
            # One segment: the end of the handshake and the request.
            writer.write(outgoing.read())
            answer = b""
            while not answer.endswith(b"/1"):
                with contextlib.suppress(ssl.SSLWantReadError):
                    answer += tls.read(65_536)
                    continue
                data = await reader.read(65_536)
                assert data
                incoming.write(data)
            assert answer.startswith(b"HTTP/1.1 200 ")
            writer.close()

    run(main())
