"""What a gRPC server lets strangers send while it is too busy to refuse them."""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.rpc import HANDSHAKE_TIMEOUT_MS, QUOTA, RpcServer
from gooseberrydale.version.quotas.messages import QuotaTaken
from tests.builders_crowd import BYTES_PER_KIB
from tests.builders_crowd_rpc import RpcCrowd
from tests.callers import BackgroundLoop

MS_PER_S = 1_000.0
MEMBERS = 4
MAX_SENT_BYTES = 128 * BYTES_PER_KIB
"""Twice the window with which HTTP/2 begins (RFC 9113, section 6.9.2)."""


async def answer(_req: object) -> QuotaTaken:
    return QuotaTaken()


def test_a_busy_server_does_not_take_more_of_a_message_that_it_has_not_asked_for() -> (
    None
):
    """Guards against windows that grow with the speed of the connection."""

    async def main() -> None:
        server = RpcServer("127.0.0.1:0", "token-of-this-test")
        server.unary(QUOTA, answer)
        await server.start()
        load = BackgroundLoop()
        crowd = RpcCrowd(f"127.0.0.1:{server.port}", MEMBERS, QUOTA, "wrong")
        try:
            # Blocks the server's event loop: grpcio reads in threads of its own.
            load.run(crowd.start())
            assert crowd.connected == MEMBERS
            assert crowd.sent_bytes <= MEMBERS * MAX_SENT_BYTES
        finally:
            load.run(crowd.close())
            load.close()
            await server.close()

    asyncio.run(main())


def test_a_connection_that_sends_nothing_is_closed() -> None:
    """Guards against connections that keep descriptors for minutes."""

    async def main() -> None:
        server = RpcServer("127.0.0.1:0", "token-of-this-test")
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        # The server's own first frames come before.
        await asyncio.wait_for(reader.read(), 2 * HANDSHAKE_TIMEOUT_MS / MS_PER_S)
        writer.close()
        await server.close()

    asyncio.run(main())
