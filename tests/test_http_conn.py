"""Opening of HTTP connections from a gateway to its upstreams."""

from __future__ import annotations

import asyncio
import time

import pytest

from gooseberrydale.connection.http_conn import CONNECT_TIMEOUT_S, HttpConn
from gooseberrydale.connection.upstream_reply import UpstreamError


async def accept(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


def test_a_stalled_event_loop_does_not_fail_a_connection() -> None:
    """The event loop stalls for longer than the time limit while the kernel connects.

    If the stall counted as silence, a healthy upstream would be suspected and all its
    streams would be aborted.
    """

    async def scenario() -> None:
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        opening = asyncio.create_task(HttpConn.open(f"127.0.0.1:{port}"))
        await asyncio.sleep(0)
        # Blocks the loop for longer than the limit; the kernel connects meanwhile.
        time.sleep(1.2 * CONNECT_TIMEOUT_S)
        (await opening).abort()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:-1", "h..h:1", "x"])
def test_an_address_that_no_upstream_can_have_is_unreachable(address: str) -> None:
    """Guards against answers of 500 for an upstream's malformed address."""

    async def scenario() -> None:
        with pytest.raises(UpstreamError, match="cannot connect") as caught:
            await HttpConn.open(address)
        assert not caught.value.sent

    asyncio.run(scenario())


def test_connecting_to_an_upstream_with_a_full_backlog_times_out() -> None:
    """The accept queue is full, so the kernel drops further connection attempts."""

    async def scenario() -> float:
        server = await asyncio.start_server(accept, "127.0.0.1", 0, backlog=0)
        await server.start_serving()
        listener = server.sockets[0]
        port = listener.getsockname()[1]
        asyncio.get_running_loop().remove_reader(listener.fileno())
        open_conns = []
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(UpstreamError, match="connecting timed out"):
            for _ in range(8):
                started_at = loop.time()
                open_conns.append(await HttpConn.open(f"127.0.0.1:{port}"))
        took_s = loop.time() - started_at
        for conn in open_conns:
            conn.abort()
        server.close()
        return took_s

    assert asyncio.run(scenario()) < 3 * CONNECT_TIMEOUT_S
