"""Mesh sessions connected in memory, for a paused clock."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from gooseberrydale.connection.mesh_node import Identity, MeshNode
from gooseberrydale.connection.mesh_session import MeshSession
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory

OPEN_S = 1.0


async def make_node(role: str, name: str, revision: int = 0) -> MeshNode:
    """Return the started node of a process without sessions."""
    store = ConfigStore(Config(revision=revision))
    node = MeshNode(Identity(role, name, f"{name}-1", "z1"), Directory(), store)
    await node.start()
    return node


class Pipe:
    """Two sessions connected in memory.

    ``sent`` records all messages by sender; those of a sender in ``silent`` are lost.
    """

    def __init__(self, opener: MeshNode, server: MeshNode) -> None:
        self.sent: dict[str, list[Any]] = {"opener": [], "server": []}
        self.silent: set[str] = set()
        ends = MeshSession(opener, opens=True), MeshSession(server, opens=False)
        to_server: asyncio.Queue[Any] = asyncio.Queue()
        to_opener: asyncio.Queue[Any] = asyncio.Queue()
        pumps = [
            self.pump(ends[0], to_server, "opener"),
            self.pump(ends[1], to_opener, "server"),
        ]
        self.senders = [asyncio.create_task(pump) for pump in pumps]
        self.opener = asyncio.create_task(ends[0].run(self.feed(to_opener), OPEN_S))
        self.server = asyncio.create_task(ends[1].run(self.feed(to_server), OPEN_S))

    async def pump(
        self, session: MeshSession, queue: asyncio.Queue[Any], side: str
    ) -> None:
        async for msg in session.outgoing():
            self.sent[side].append(msg)
            if side not in self.silent:
                queue.put_nowait(msg)

    async def feed(self, queue: asyncio.Queue[Any]) -> AsyncIterator[Any]:
        while True:
            yield await queue.get()

    def count(self, kind: type[Any]) -> int:
        """Return the number of messages of one kind, of both sides."""
        return sum(isinstance(m, kind) for msgs in self.sent.values() for m in msgs)
