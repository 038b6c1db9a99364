"""How a channel connects."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from gooseberrydale.connection.rpc import QUOTA, RpcChannel, RpcServer
from gooseberrydale.version.quotas.messages import QuotaTaken
from tests.relay import Relay, RelayMode

TOKEN = "token-of-this-test"
TEST_TIMEOUT_S = 20.0


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(main, TEST_TIMEOUT_S))


async def answer(_req: Any) -> QuotaTaken:
    return QuotaTaken()


@asynccontextmanager
async def relayed_channel(mode: RelayMode) -> AsyncIterator[RpcChannel]:
    """A channel to a server behind a relay in this mode."""
    server = RpcServer("127.0.0.1:0", TOKEN)
    server.unary(QUOTA, answer)
    await server.start()
    relay = Relay(server.port)
    await relay.start()
    await relay.set_mode(mode)
    channel = RpcChannel(relay.address, TOKEN)
    try:
        yield channel
    finally:
        await channel.close()
        await relay.close()
        await server.close()


def test_a_call_over_a_slow_path_does_not_fail_while_it_connects() -> None:
    """The shortest reconnect pause must not bound the time to connect."""

    async def main() -> None:
        async with relayed_channel(RelayMode.SLOW) as channel:
            assert await channel.call(QUOTA, QuotaTaken()) == QuotaTaken()

    run(main())
