"""The redirecting server of an instance without a disk, over real sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path

from gooseberrydale.process.cfg import Cfg, ControlCfg, FleetCfg, NodeCfg
from gooseberrydale.process.control.signpost import CHECK_VALIDITY_S, Signpost
from tests.builders_gateway import ReceivedAnswer, read_answer
from tests.free_ports import free_port
from tests.sidecar_harness import run


async def post(signpost: Signpost, target: str) -> ReceivedAnswer:
    """Send a POST request for ``target`` to ``signpost``; return the answer."""
    host, _, port = signpost.addresses["http"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = f"POST {target} HTTP/1.1", "Host: x", "Content-Length: 0"
    writer.write("\r\n".join((*lines, "Connection: close", "", "")).encode())
    reply = await read_answer(reader)
    writer.close()
    return reply


def test_requests_are_redirected_to_a_replica_that_answers() -> None:
    async def main() -> None:
        unreachable = f"127.0.0.1:{free_port()}"
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        listening = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        own = f"127.0.0.1:{free_port()}"
        cfg = Cfg(
            node=NodeCfg("c9"),
            fleet=FleetCfg(controls=(own, unreachable, listening), trust_network=True),
            control=ControlCfg(data_dir=Path(), http=own, signpost=True),
        )
        signpost = Signpost(cfg)
        await signpost.start()
        await asyncio.sleep(0.1)
        for _ in range(3):
            reply = await post(signpost, "/some/call/i-1")
            assert reply.status == 307
            assert reply.headers["location"] == f"http://{listening}/some/call/i-1"
        server.close()
        await asyncio.sleep(2 * CHECK_VALIDITY_S)
        assert (await post(signpost, "/some/call")).status == 503
        await signpost.close()

    run(main())


def test_replicas_are_checked_only_when_requests_arrive() -> None:
    async def main() -> None:
        accepted = 0

        async def accept(_: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
            nonlocal accepted
            accepted += 1
            w.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        listening = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        own = f"127.0.0.1:{free_port()}"
        cfg = Cfg(
            node=NodeCfg("c9"),
            fleet=FleetCfg(controls=(own, listening), trust_network=True),
            control=ControlCfg(data_dir=Path(), http=own, signpost=True),
        )
        signpost = Signpost(cfg)
        await signpost.start()
        await asyncio.sleep(3 * CHECK_VALIDITY_S)
        assert accepted == 0
        await asyncio.gather(*(post(signpost, "/some/call") for _ in range(20)))
        assert accepted == 1
        await signpost.close()
        server.close()

    run(main())
