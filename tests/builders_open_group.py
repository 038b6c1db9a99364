"""Control processes of an open group that run inside the process of the test."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Callable
from typing import Any

from starlette.applications import Starlette

from gooseberrydale.connection.mesh import GATEWAY_ROLE
from gooseberrydale.process.cfg import Cfg, ControlCfg, FleetCfg, NodeCfg
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.control import Control, DeploymentInterface
from gooseberrydale.process.control.documents import Documents
from gooseberrydale.process.control.replica import ReplicaStatus
from gooseberrydale.process.membership import Mesh
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.directory import Directory
from tests.free_ports import free_address

TIMEOUT_S = 60.0


class NoEngines:
    """Engine interface through which no engine answers."""

    async def report(self, _engine: Any) -> None:
        return None

    async def order(self, _engine: Any, _order: Any) -> Any:
        raise AssertionError("no weights are named, so no order is expected")


class Replica:
    """A control process with the objects that its operators' interface receives."""

    def __init__(
        self, folder: pathlib.Path, address: str, seeds: tuple[str, ...], first: bool
    ) -> None:
        self.documents: Documents | None = None
        self.announcements: Announcements | None = None
        cfg = Cfg(
            node=NodeCfg(address),
            fleet=FleetCfg(trust_network=True, controls=seeds),
            control=ControlCfg(
                folder / address.replace(":", "-"),
                rpc=address,
                http="127.0.0.1:0",
                open_group=True,
                bootstrap=first,
                snapshot_entries=8,
            ),
        )
        interface = DeploymentInterface(self._make_app, NoEngines())
        self.control = Control(cfg, interface=interface)

    def _make_app(
        self, documents: Documents, announcements: Announcements
    ) -> Starlette:
        self.documents, self.announcements = documents, announcements
        return Starlette()

    async def declare_document(self, number: int) -> bool:
        """Declare a document; return whether it was acknowledged."""
        assert self.documents is not None
        body = b"document %d" % number
        return (await self.documents.declare(Document(number, body))).is_ok()

    async def number(self) -> int | None:
        """Return the number of the document read; None if it can't be confirmed."""
        assert self.documents is not None
        result = await self.documents.read()
        if result.is_err() or result.unwrap() is None:
            return None
        return result.unwrap().number

    async def start(self) -> Replica:
        await self.control.start()
        return self


async def until(condition: Callable[[], Any], timeout_s: float = TIMEOUT_S) -> None:
    """Return once ``condition``, which may be a coroutine function, is true."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)


class OpenGroup:
    """An open group whose replicas may be replaced, oldest first."""

    def __init__(self, folder: pathlib.Path, seeds: tuple[str, ...]) -> None:
        self.seeds = seeds
        self.replicas: dict[str, Replica] = {}
        self._folder = folder

    @classmethod
    async def start(cls, folder: pathlib.Path, count: int) -> OpenGroup:
        """Start ``count`` replicas; the first three are the seeds."""
        addresses = tuple(free_address() for _ in range(count))
        group = cls(folder, addresses[:3])
        for address in addresses:
            await group._add(address, group.seeds, first=True)
        return group

    @property
    def newest(self) -> Replica:
        """The replica that was started last."""
        return list(self.replicas.values())[-1]

    async def replace_oldest(self, address: str) -> None:
        """Remove the oldest replica; return once the group tolerates another loss."""
        gone = next(iter(self.replicas))
        await self.replicas.pop(gone).control.close()
        await self._add(address, tuple(self.replicas)[-3:], first=False)

        def is_repaired() -> bool:
            # While the lost voter is removed and none added yet, all others are needed.
            voters = self.voters() - {gone}
            return len(voters) == len(self.seeds) and self.newest_is_caught_up()

        await until(is_repaired)

    async def stop(self, *addresses: str) -> None:
        """Stop replicas; their disks are kept."""
        for address in addresses:
            await self.replicas.pop(address).control.close()

    async def restart(self, address: str) -> None:
        """Start a replica that was stopped, with its disk."""
        await self._add(address, self.seeds, first=False)

    def voters(self) -> set[str]:
        """The names of the voters, as the newest replica knows them."""
        return {member.name for member in status_of(self.newest).members}

    def newest_is_caught_up(self) -> bool:
        """Whether the newest replica has all that was committed before its start."""
        return status_of(self.newest).caught_up

    async def close(self) -> None:
        """Stop all replicas."""
        for replica in self.replicas.values():
            await replica.control.close()

    async def _add(self, address: str, seeds: tuple[str, ...], first: bool) -> None:
        replica = Replica(self._folder, address, seeds, first)
        self.replicas[address] = await replica.start()


def status_of(replica: Replica) -> ReplicaStatus:
    """Return the state of the replica's log."""
    log_replica = replica.control._replica
    assert log_replica is not None
    return log_replica.status


class Observer:
    """A process of another role: only its sessions with control, and its document."""

    def __init__(
        self, name: str, controls: tuple[str, ...], role: str = GATEWAY_ROLE
    ) -> None:
        self.store = ConfigStore()
        cfg = Cfg(NodeCfg(name), FleetCfg(trust_network=True, controls=controls))
        directory = Directory()
        self.confirmed = ConfirmedRevision()
        self.mesh = Mesh(
            cfg,
            role,
            directory,
            self.store,
            None,
            "",
            f"{name}-0001",
            confirmed=self.confirmed,
        )

    @property
    def number(self) -> int:
        """The number of the document in force here, 0 if there is none."""
        document = self.store.config.document
        return 0 if document is None else document.number

    def confirmed_age_s(self) -> float:
        """Seconds since the configuration in force here was known to be the newest."""
        now = asyncio.get_running_loop().time()
        return self.confirmed.age_s(self.store.revision, now)

    async def start(self) -> Observer:
        """Open the sessions."""
        await self.mesh.start()
        return self

    async def close(self) -> None:
        """End the sessions."""
        await self.mesh.close()
