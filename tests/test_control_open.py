"""Control of an open group over real sockets and files, as its operators see it."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Callable
from typing import Any

from starlette.applications import Starlette

from gooseberrydale.process.cfg import Cfg, ControlCfg, FleetCfg, NodeCfg
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.control import Control, Surroundings
from gooseberrydale.process.control.documents import Documents
from gooseberrydale.process.control.ended_incarnations_cache import (
    EndedIncarnationsCache,
)
from gooseberrydale.process.control.upstream_cache import UpstreamCache
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from tests import builders_incarnations as incarnations
from tests.builders_files import free_address
from tests.builders_gateway import record

PATIENCE_S = 60.0


class NoEngines:
    """No engine answers."""

    async def report(self, _engine: Any) -> None:
        return None

    async def order(self, _engine: Any, _order: Any) -> Any:
        raise AssertionError("nothing is named")


class Replica:
    """One control process with what its operators' interface is given."""

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
        surroundings = Surroundings(self._make_app, NoEngines())
        self.control = Control(cfg, surroundings=surroundings)

    def _make_app(self, documents: Documents, news: Announcements) -> Starlette:
        self.documents, self.announcements = documents, news
        return Starlette()

    async def put(self, number: int) -> bool:
        """Declare a document; whether it was acknowledged."""
        assert self.documents is not None
        body = b"document %d" % number
        return (await self.documents.declare(Document(number, body))).is_ok()

    async def number(self) -> int | None:
        """The number read back; None if it can't be known."""
        assert self.documents is not None
        found = await self.documents.read()
        if found.is_err() or found.unwrap() is None:
            return None
        return found.unwrap().number

    async def start(self) -> Replica:
        await self.control.start()
        return self


async def until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)


def test_documents_by_any_replica_and_over_restarts_of_all(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        seeds = tuple(free_address() for _ in range(3))
        fourth = free_address()
        group = [
            await Replica(tmp_path, address, seeds, True).start()
            for address in (*seeds, fourth)
        ]
        await until(lambda: group[0].put(1))
        # Every replica takes documents and reads the newest, the standby as well.
        for number, replica in enumerate(group, start=2):
            await until(lambda: replica.put(number))
            for other in group:
                await until(lambda: read_back(other, number))
        store = group[3].control.store
        await until(lambda: store.config.document is not None)
        for replica in group:
            await replica.control.close()
        again = [await Replica(tmp_path, seeds[0], seeds, False).start()]
        # Alone it knows what was committed, but can't be sure that it is the newest.
        document = again[0].control.store.config.document
        assert document is not None and document.number == 5
        assert await again[0].number() is None
        again += [await Replica(tmp_path, a, seeds, False).start() for a in seeds[1:]]
        await until(lambda: read_back(again[2], 5))
        for replica in again:
            await replica.control.close()

    asyncio.run(main())


async def read_back(replica: Replica, number: int) -> bool:
    found = await replica.number()
    assert found is None or found >= number
    return found == number


def test_a_lost_disk_is_replaced_and_nothing_goes_back(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        seeds = tuple(free_address() for _ in range(3))
        group = {a: await Replica(tmp_path, a, seeds, True).start() for a in seeds}
        await until(lambda: group[seeds[0]].put(1))
        for number, lost in enumerate(seeds, start=2):
            await group[lost].control.close()
            (tmp_path / lost.replace(":", "-")).rename(tmp_path / f"lost-{number}")
            group[lost] = await Replica(tmp_path, lost, seeds, False).start()
            await until(lambda: group[lost].put(number))
            await until(lambda: is_member(group[lost]))
        assert await group[seeds[1]].number() == 4
        for replica in group.values():
            await replica.control.close()

    asyncio.run(main())


def is_member(replica: Replica) -> bool:
    found = replica.control._replica
    assert found is not None
    status = found.status
    identities = {member.identity for member in status.members}
    return status.identity in identities and status.caught_up


def test_upstreams_are_known_again_after_a_restart(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "upstreams"

    async def before() -> None:
        directory = Directory()
        cache = UpstreamCache(path, directory)
        await cache.start()
        news = Announcements(directory, 1.2)
        for name in ("u1", "u2"):
            news.renew(record(name))
        news.retire("u2")
        await asyncio.sleep(0.3)
        await cache.close()

    async def after() -> None:
        directory = Directory()
        cache = UpstreamCache(path, directory)
        await cache.start()
        now = asyncio.get_running_loop().time()
        assert [one.name for one in directory.ready("desk", now)] == ["u1"]
        # An announcement of the same incarnation is newer than the guess.
        Announcements(directory, 1.2).renew(record("u1", seq=2, ready=False))
        assert directory.ready("desk", now) == ()
        await cache.close()

    asyncio.run(before())
    asyncio.run(after())
    path.write_bytes(b"no record")
    asyncio.run(missing(path))


async def missing(path: pathlib.Path) -> None:
    directory = Directory()
    cache = UpstreamCache(path, directory)
    await cache.start()
    assert directory.records(asyncio.get_running_loop().time()) == ()
    await cache.close()


def test_a_request_stays_quarantined_when_all_processes_start_anew(
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
