"""The connection that sends messages to another replica, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.connection import peer_frames
from gooseberrydale.connection.rpc import REPLICATE, RpcServer
from gooseberrydale.process.control.peers import PeerLink
from gooseberrydale.version.replication.messages import Envelope, JoinReq, Member

TOKEN = "token-of-this-test"
BROKEN_SESSIONS = 3
MESSAGES = 40
TIMEOUT_S = 20.0
SENDER_TASK = "_consume_request_iterator"


def envelope(number: int) -> Envelope:
    return Envelope("cluster", Member("c1", str(number)), "", JoinReq())


@pytest.mark.parametrize("silent", [False, True], ids=["ended", "silent"])
def test_a_replaced_session_takes_no_messages_from_the_next_one(silent):
    """Messages must not be lost to a session that was replaced.

    The sending task of a session that the peer ended, or whose peer stopped answering,
    must not take messages from the queue that belong to the next session.
    """

    async def main():
        sessions = 0
        received: list[str] = []
        opened = asyncio.Event()

        async def receive(batches):
            nonlocal sessions
            sessions += 1
            if sessions <= BROKEN_SESSIONS:
                async for _ in batches:
                    if not silent:
                        return
            async for batch in batches:
                received.extend(e.source.identity for e in peer_frames.unpack(batch))
                opened.set()
                if batch.want_ack:
                    yield peer_frames.PeerAck()

        server = RpcServer("127.0.0.1:0", TOKEN)
        server.streaming(REPLICATE, receive)
        await server.start()
        link = PeerLink(f"127.0.0.1:{server.port}", TOKEN)
        link.start()
        async with asyncio.timeout(TIMEOUT_S):
            while not opened.is_set():
                link.send(envelope(-1))
                await asyncio.sleep(0.02)
            for number in range(MESSAGES):
                link.send(envelope(number))
                await asyncio.sleep(0.01)
            while str(MESSAGES - 1) not in received:
                await asyncio.sleep(0.01)
        senders = [t for t in asyncio.all_tasks() if SENDER_TASK in repr(t)]
        assert len(senders) == 1, senders
        await link.close()
        await server.close()
        return [identity for identity in received if identity != "-1"]

    assert asyncio.run(main()) == [str(n) for n in range(MESSAGES)]
