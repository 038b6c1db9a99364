"""Fake peers of a measured process, with mesh sessions and records only."""

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
CONNECT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class Peer:
    """A fake mesh process with one session to the measured process.

    It announces ``records`` upstreams and renews their leases as sidecars would.
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
        """Open the session and start to renew the leases."""
        await self._node.start()
        self._task = asyncio.create_task(self._renew())
        await self._client.start()

    async def wait_connected(self) -> None:
        """Wait for the session; raise TimeoutError after CONNECT_TIMEOUT_S."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            while not self._client.connected:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close the session."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()
        await self._node.close()

    async def _renew(self) -> None:
        """Renew the records one after the other, each every third of its lease."""
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
    """Several peers that are started and closed together."""

    def __init__(
        self, count: int, role: str, address: str, records: int = 0, prefix: str = "p"
    ) -> None:
        self.all = [Peer(i, role, address, records, prefix) for i in range(count)]

    async def __aenter__(self) -> Peers:
        for peer in self.all:
            await peer.start()
        for peer in self.all:
            await peer.wait_connected()
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


def make_config(revision: int, workspaces: int, profiles: int) -> Config:
    """Return a configuration with this many workspaces and profiles."""
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
