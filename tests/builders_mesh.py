"""Builders of upstream records and mesh members for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.rpc import RpcServer
from gooseberrydale.process.cfg import Cfg, FleetCfg, NodeCfg
from gooseberrydale.process.membership import Mesh, PeerState
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory

TOKEN = "token-of-the-tests"
LEASE_S = 6.0
BOUND_S = 20.0


def record(name: str = "u1", incarnation: str = "i1", **fields: Any) -> UpstreamRecord:
    """Return the record of a ready upstream of pool ``p``."""
    base = UpstreamRecord(
        name=name,
        incarnation=incarnation,
        seq=1,
        address="10.0.0.1:8090",
        zone="z1",
        region="r1",
        pool="p",
        kind="completion",
        lease_s=LEASE_S,
    )
    return replace(base, **fields)


class Member:
    """A member of the mesh that runs inside the process of the test."""

    def __init__(
        self,
        role: str,
        name: str,
        *,
        incarnation: int = 1,
        controls: tuple[str, ...] = (),
        entries: tuple[str, ...] = (),
        revision: int = 0,
        port: int = 0,
        token: str = TOKEN,
    ) -> None:
        self.incarnation = f"{name}-{incarnation:04d}"
        self.directory = Directory()
        self.store = ConfigStore(Config(revision=revision))
        self.own: UpstreamRecord | None = None
        if role == "sidecar":
            self.own = record(name, self.incarnation)
        self.acks: list[PeerState] = []
        cfg = Cfg(NodeCfg(name), FleetCfg(Path("unused"), controls, entries))
        self.mesh = Mesh(
            cfg,
            role,
            self.directory,
            self.store,
            lambda: self.own,
            token,
            self.incarnation,
            on_ack=self.acks.append,
        )
        self._serves = role != "sidecar"
        self._rpc = RpcServer(f"127.0.0.1:{port}", token)

    @property
    def port(self) -> int:
        """The port of the listener, once started."""
        return self._rpc.port

    @property
    def address(self) -> str:
        """The address of the listener, once started."""
        return f"127.0.0.1:{self._rpc.port}"

    async def start(self) -> Member:
        """Open sessions, and first serve them if the role is not a sidecar."""
        if self._serves:
            self.mesh.register(self._rpc)
            await self._rpc.start()
        await self.mesh.start()
        return self

    async def close(self) -> None:
        """End all sessions and close the listener."""
        await self.mesh.close()
        await self._rpc.close()

    def seq(self, name: str) -> int:
        """Return the ``seq`` of the current record of ``name``, 0 if there is none."""
        current = self.directory.get(name, asyncio.get_running_loop().time())
        return current.seq if current is not None else 0

    def ready(self) -> list[tuple[str, str]]:
        """Return names and incarnations of the upstreams that are ready."""
        now = asyncio.get_running_loop().time()
        return [(r.name, r.incarnation) for r in self.directory.ready("p", now)]


async def until(condition: Callable[[], object], bound_s: float = BOUND_S) -> None:
    """Return once ``condition`` is true; raise TimeoutError after ``bound_s``."""
    async with asyncio.timeout(bound_s):
        while not condition():
            await asyncio.sleep(0.005)
