"""Connections of a gateway to its upstreams."""

from __future__ import annotations

import asyncio
import time

import pytest

from gooseberrydale.connection.http_conn import CONNECT_TIMEOUT_S, HttpConn
from gooseberrydale.connection.upstream_reply import UpstreamError


async def accept(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


def test_a_stall_of_this_process_is_no_silence_of_the_upstream() -> None:
    """A live upstream would be suspected, and all streams from it be cut."""

    async def scenario() -> None:
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        opening = asyncio.create_task(HttpConn.open(f"127.0.0.1:{port}"))
        await asyncio.sleep(0)
        # The loop does nothing for longer than the limit; the kernel connects.
        time.sleep(1.2 * CONNECT_TIMEOUT_S)
        (await opening).abort()
        server.close()

    asyncio.run(scenario())


def test_an_upstream_that_grants_no_connection_is_given_up_in_time() -> None:
    """Its queue of new connections is full, so the kernel drops what comes."""

    async def scenario() -> float:
        server = await asyncio.start_server(accept, "127.0.0.1", 0, backlog=0)
        await server.start_serving()
        listener = server.sockets[0]
        port = listener.getsockname()[1]
        asyncio.get_running_loop().remove_reader(listener.fileno())
        held = []
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(UpstreamError, match="no connection in time"):
            for _ in range(8):
                began = loop.time()
                held.append(await HttpConn.open(f"127.0.0.1:{port}"))
        took_s = loop.time() - began
        for conn in held:
            conn.abort()
        server.close()
        return took_s

    assert asyncio.run(scenario()) < 3 * CONNECT_TIMEOUT_S
