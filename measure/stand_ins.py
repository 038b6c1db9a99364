"""Peers of a role under measure that only speak the mesh: sessions and records."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.mesh_client import MeshClient
from gooseberrydale.connection.mesh_node import Identity, MeshNode
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import (
    Config,
    Profile,
    ProfileKind,
    Workspace,
)
from gooseberrydale.version.directory import Directory, new_incarnation
from tests.fleet import FLEET_TOKEN, key_digest

LEASE_S = 6.0
RENEWALS_PER_LEASE = 3
CONNECT_BOUND_S = 30.0
POLL_S = 0.05


class Peer:
    """One process of the mesh with one session to the subject.

    It carries ``records`` upstreams, whose leases it renews as their sidecars would.
    """

    def __init__(
        self, number: int, role: str, address: str, records: int, prefix: str
    ) -> None:
        self._rng = random.Random(number)
        self._directory = Directory()
        self.store = ConfigStore()
        incarnation = new_incarnation(time.time_ns(), self._rng)
        identity = Identity(role, f"{prefix}{number}", incarnation, "zone-1")
        self._node = MeshNode(identity, self._directory, self.store)
        self._client = MeshClient(address, FLEET_TOKEN, None, self._node, self._rng)
        self._records = [_record(prefix, number, i) for i in range(records)]
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the session and begin to renew."""
        await self._node.start()
        self._task = asyncio.create_task(self._renew())
        await self._client.start()

    async def connected(self) -> None:
        """Return once the subject was heard; raises TimeoutError past the bound."""
        async with asyncio.timeout(CONNECT_BOUND_S):
            while not self._client.connected:
                await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """End the session."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()
        await self._node.close()

    async def _renew(self) -> None:
        """Renew the records one after the other, each a third of its lease apart."""
        if not self._records:
            return
        loop = asyncio.get_running_loop()
        pause_s = LEASE_S / RENEWALS_PER_LEASE / len(self._records)
        for record in self._records:
            self._directory.offer(replace(record, seq=1), loop.time())
        due = loop.time()
        for seq in itertools.count(2):
            for record in self._records:
                due += pause_s
                await asyncio.sleep(due - loop.time())
                self._directory.offer(replace(record, seq=seq), loop.time())


class Peers:
    """Several peers, started together."""

    def __init__(
        self, count: int, role: str, address: str, records: int = 0, prefix: str = "p"
    ) -> None:
        self.all = [Peer(i, role, address, records, prefix) for i in range(count)]

    async def __aenter__(self) -> Peers:
        for peer in self.all:
            await peer.start()
        for peer in self.all:
            await peer.connected()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await asyncio.gather(*(peer.close() for peer in self.all))


def _record(prefix: str, peer: int, number: int) -> UpstreamRecord:
    incarnation = new_incarnation(time.time_ns(), random.Random(f"{peer}/{number}"))
    return UpstreamRecord(
        name=f"upstream-{prefix}-{peer}-{number}",
        incarnation=incarnation,
        seq=0,
        address="127.0.0.1:1",
        zone="zone-1",
        region="local",
        pool="engines",
        kind="completion",
        model="model-a",
        weights_version="1",
        upstream_incarnation=incarnation,
        lease_s=LEASE_S,
    )


def config(revision: int, workspaces: int, profiles: int) -> Config:
    """Return a configuration of a given size."""
    return Config(
        revision=revision,
        profiles={
            f"profile-{i}": Profile(
                f"profile-{i}", ProfileKind.COMPLETION, "engines", "model-a"
            )
            for i in range(profiles)
        },
        workspaces={
            f"workspace-{i}": Workspace(
                f"workspace-{i}", key_digests=(key_digest(f"key-{i}"),)
            )
            for i in range(workspaces)
        },
    )
