"""How long the request path waits for a connection to a sidecar."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.connection.rpc import CONNECT_TIMEOUT_MS, RpcChannel, RpcServer
from gooseberrydale.request import exchange as exchange_module
from gooseberrydale.request.exchange import Exchange, ExchangeLost
from gooseberrydale.request.retry import Cause
from tests.builders_sidecar import TOKEN, dispatch_req
from tests.relay import Relay, RelayMode
from tests.sidecar_harness import run

SILENCE_S = 3.0


@dataclass(frozen=True)
class Sidecar:
    address: str
    incarnation: str = "i"


def test_silent_sidecar_is_given_up_before_its_attempt_to_connect_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Far below the limit of an attempt, as time of a busy loop does not count.
    monkeypatch.setattr(exchange_module, "CONNECT_TIMEOUT_S", 0.1)

    async def main() -> None:
        server = RpcServer("127.0.0.1:0", TOKEN)
        await server.start()
        relay = Relay(server.port)
        await relay.start()
        await relay.set_mode(RelayMode.SILENT)
        pool = ChannelPool(lambda address: RpcChannel(address, TOKEN))
        exchange = Exchange(pool, Sidecar(relay.address), "r", 1, "w", SILENCE_S)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(ExchangeLost) as lost:
            await exchange.dispatch(dispatch_req("i"), None)
        assert lost.value.cause is Cause.NOT_SENT
        assert loop.time() < started_at + CONNECT_TIMEOUT_MS / 1_000
        exchange.stop()
        await pool.close()
        await relay.close()
        await server.close()

    run(main())
