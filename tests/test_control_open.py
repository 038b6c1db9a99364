"""Control processes of an open group, over real sockets and files."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from gooseberrydale.process.cfg import ControlCfg
from gooseberrydale.process.control import ended_incarnations_cache
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.control import open_raft
from gooseberrydale.process.control.ended_incarnations_cache import (
    EndedIncarnationsCache,
)
from gooseberrydale.process.control.upstream_cache import UpstreamCache
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import LostRuns
from tests import builders_incarnations as incarnations
from tests.builders_gateway import record
from tests.builders_open_group import Replica, status_of, until
from tests.free_ports import free_address


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
    status = status_of(replica)
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


@pytest.mark.parametrize(
    ("replicas", "zones", "voters"), [(1, 0, 3), (2, 0, 5), (0, 1, 3), (2, 1, 5)]
)
def test_voters_follow_from_the_replicas_and_the_zones_that_may_be_lost(
    tmp_path: pathlib.Path, replicas: int, zones: int, voters: int
) -> None:
    """Guards against a single voter where zones are tolerated instead of replicas."""
    cfg = ControlCfg(tmp_path, tolerated_losses=replicas, tolerated_zones=zones)
    raft = open_raft(("10.0.0.1:83",), cfg, "zone-1")
    assert raft.max_voters == voters
    assert raft.zone == ("zone-1" if zones else "")
