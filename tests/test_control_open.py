"""Control processes of an open group, over real sockets and files."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Callable
from typing import Any

import pytest
from starlette.applications import Starlette

from gooseberrydale.process.cfg import Cfg, ControlCfg, FleetCfg, NodeCfg
from gooseberrydale.process.control import ended_incarnations_cache
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.control import Control, DeploymentInterface
from gooseberrydale.process.control.documents import Documents
from gooseberrydale.process.control.ended_incarnations_cache import (
    EndedIncarnationsCache,
)
from gooseberrydale.process.control.upstream_cache import UpstreamCache
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import LostRuns
from tests import builders_incarnations as incarnations
from tests.builders_files import free_address
from tests.builders_gateway import record

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


async def until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)


def test_any_replica_serves_documents_and_they_survive_a_full_restart(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        seeds = tuple(free_address() for _ in range(3))
        fourth = free_address()
        group = [
            await Replica(tmp_path, address, seeds, True).start()
            for address in (*seeds, fourth)
        ]
        await until(lambda: group[0].declare_document(1))
        # Every replica, including the standby, accepts documents and reads the newest
        # one.
        for number, replica in enumerate(group, start=2):
            await until(lambda: replica.declare_document(number))
            for other in group:
                await until(lambda: read_back(other, number))
        store = group[3].control.store
        await until(lambda: store.config.document is not None)
        for replica in group:
            await replica.control.close()
        restarted = [await Replica(tmp_path, seeds[0], seeds, False).start()]
        # Without a quorum it has the committed document, but can't confirm that it is
        # the newest.
        document = restarted[0].control.store.config.document
        assert document is not None and document.number == 5
        assert await restarted[0].number() is None
        restarted += [
            await Replica(tmp_path, a, seeds, False).start() for a in seeds[1:]
        ]
        await until(lambda: read_back(restarted[2], 5))
        for replica in restarted:
            await replica.control.close()

    asyncio.run(main())


async def read_back(replica: Replica, number: int) -> bool:
    latest = await replica.number()
    assert latest is None or latest >= number
    return latest == number


def test_a_replica_with_a_lost_disk_rejoins_without_losing_documents(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        seeds = tuple(free_address() for _ in range(3))
        group = {a: await Replica(tmp_path, a, seeds, True).start() for a in seeds}
        await until(lambda: group[seeds[0]].declare_document(1))
        for number, lost in enumerate(seeds, start=2):
            await group[lost].control.close()
            (tmp_path / lost.replace(":", "-")).rename(tmp_path / f"lost-{number}")
            group[lost] = await Replica(tmp_path, lost, seeds, False).start()
            await until(lambda: group[lost].declare_document(number))
            await until(lambda: is_member(group[lost]))
        assert await group[seeds[1]].number() == 4
        for replica in group.values():
            await replica.control.close()

    asyncio.run(main())


def is_member(replica: Replica) -> bool:
    raft_replica = replica.control._replica
    assert raft_replica is not None
    status = raft_replica.status
    identities = {member.identity for member in status.members}
    return status.identity in identities and status.caught_up


def test_upstream_records_are_restored_after_a_restart(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "upstreams"

    async def before() -> None:
        directory = Directory()
        cache = UpstreamCache(path, directory)
        await cache.start()
        announcements = Announcements(directory, 1.2)
        for name in ("u1", "u2"):
            announcements.renew(record(name))
        announcements.retire("u2")
        await asyncio.sleep(0.3)
        await cache.close()

    async def after() -> None:
        directory = Directory()
        cache = UpstreamCache(path, directory)
        await cache.start()
        now = asyncio.get_running_loop().time()
        assert [upstream.name for upstream in directory.ready("desk", now)] == ["u1"]
        # An announcement of the same incarnation replaces the restored record.
        Announcements(directory, 1.2).renew(record("u1", seq=2, ready=False))
        assert directory.ready("desk", now) == ()
        await cache.close()

    asyncio.run(before())
    asyncio.run(after())
    path.write_bytes(b"no record")
    asyncio.run(check_unreadable_file(path))


async def check_unreadable_file(path: pathlib.Path) -> None:
    directory = Directory()
    cache = UpstreamCache(path, directory)
    await cache.start()
    assert directory.records(asyncio.get_running_loop().time()) == ()
    await cache.close()


def test_ends_age_across_restarts_of_all_processes(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise a quarantine would never end while control restarts within its time."""
    monkeypatch.setattr(ended_incarnations_cache, "REWRITE_INTERVAL_S", 0.2)
    path = tmp_path / "ended"

    async def before() -> None:
        table = EndedIncarnations()
        await EndedIncarnationsCache(path, table).start()
        now = asyncio.get_running_loop().time()
        table.report("u1", incarnations.lost(1), now)
        await asyncio.sleep(1.5)

    async def after() -> float:
        table = EndedIncarnations()
        cache = EndedIncarnationsCache(path, table)
        await cache.start()
        [ended] = table.since(0, asyncio.get_running_loop().time()).incarnations
        await cache.close()
        return ended.age_s

    asyncio.run(before())
    assert asyncio.run(after()) >= 1.0


def test_parts_stay_quarantined_after_a_restart_of_all_processes(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "ended"
    bad, sound = b"bad-part", b"soundone"

    async def before() -> None:
        table = EndedIncarnations()
        cache = EndedIncarnationsCache(path, table)
        await cache.start()
        now = asyncio.get_running_loop().time()
        for number in range(3):
            prompts = (
                (incarnations.request(number), bad),
                (incarnations.request(10 + number), sound),
            )
            table.report(f"u{number}", LostRuns(prompts=prompts), now)
        table.begun((sound,), now)
        await asyncio.sleep(0.3)
        await cache.close()

    async def after() -> None:
        table = EndedIncarnations()
        cache = EndedIncarnationsCache(path, table)
        await cache.start()
        assert [group.parts for group in table.harmful_parts] == [{bad}]
        await cache.close()

    asyncio.run(before())
    asyncio.run(after())


def test_a_request_stays_quarantined_after_a_restart_of_all_processes(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "ended"

    async def before() -> None:
        table = EndedIncarnations()
        cache = EndedIncarnationsCache(path, table)
        await cache.start()
        now = asyncio.get_running_loop().time()
        for incarnation in ("u1", "u2", "u3"):
            table.report(incarnation, incarnations.lost(1, 2), now)
        table.answered(incarnations.request(2), now)
        await asyncio.sleep(0.3)
        await cache.close()

    async def after(quarantined: tuple[bytes, ...]) -> None:
        table = EndedIncarnations()
        cache = EndedIncarnationsCache(path, table)
        await cache.start()
        assert table.quarantined() == quarantined
        await cache.close()

    asyncio.run(before())
    asyncio.run(after((incarnations.request(1),)))
    path.write_bytes(b"no record")
    asyncio.run(after(()))
