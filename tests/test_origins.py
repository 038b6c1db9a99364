"""Where streams began: the store, its files, and the gateways that keep it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway import origin_file
from gooseberrydale.process.gateway.origin_file import OriginFile
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.origins import store as store_module
from gooseberrydale.version.origins.messages import OriginNotice
from gooseberrydale.version.origins.origin import UNKNOWN_SOFTWARE, StreamOrigin
from gooseberrydale.version.origins.owners import (
    DISK_OWNERS,
    MAX_DISK_LOAD,
    OWNERS,
    OriginKeeping,
    OriginOwners,
)
from gooseberrydale.version.origins.store import KEY_BYTES, OriginStore, stream_key
from gooseberrydale.version.replication.files import OsFiles
from tests.builders_gateway import POOL, record
from tests.sidecar_harness import run

ORIGIN = StreamOrigin(POOL, "v1")
ALLOWED = {
    "the same version": (ORIGIN, record(software="v1"), True),
    "another version": (ORIGIN, record(software="v2"), False),
    "a version that begins alike": (ORIGIN, record(software="v1.1"), False),
    "none announced": (ORIGIN, record(), False),
    "another pool": (ORIGIN, record(software="v1", pool="other"), False),
    "none announced by both": (StreamOrigin(POOL, ""), record(), True),
    "announced since": (StreamOrigin(POOL, ""), record(software="v1"), False),
    "both not known": (
        StreamOrigin(POOL, UNKNOWN_SOFTWARE),
        record(software=UNKNOWN_SOFTWARE),
        False,
    ),
}


@pytest.mark.parametrize("case", ALLOWED)
def test_stream_is_allowed_at_its_version_alone(case: str) -> None:
    origin, upstream, allowed = ALLOWED[case]
    assert isinstance(upstream, UpstreamRecord)
    assert origin.allows(upstream) is allowed


def notice(name: str, software: str = "v1", keep_s: float = 10.0) -> OriginNotice:
    return OriginNotice(stream_key("a", name), POOL, software, keep_s)


def test_origins_expire_and_the_oldest_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "MAX_ORIGINS", 3)
    store = OriginStore()
    for number in range(4):
        store.put(notice(f"r{number}", keep_s=10.0 + number), now=0.0)
    assert store.get(stream_key("a", "r0"), 0.0) is None
    assert store.get(stream_key("a", "r1"), 10.9) == ORIGIN
    assert store.get(stream_key("a", "r1"), 11.0) is None
    remaining = store.notice(stream_key("a", "r3"), 5.0)
    assert remaining == notice("r3", keep_s=8.0)
    store.expire(12.5)
    assert len(store) == 1


def test_keys_of_long_and_equal_request_ids_are_short_and_distinct() -> None:
    keys = {stream_key(workspace, "r" * 10_000) for workspace in ("", "a", "b")}
    assert [len(key) for key in keys] == [KEY_BYTES] * 3


def fleet(own: int, count: int, disks: int = 0, zones: int = 4) -> Fleet:
    peers = [
        GatewayPeer(
            f"g{number}",
            f"10.0.0.{number}:1",
            f"z{number % zones}",
            origins=OriginKeeping.DISK if number < disks else OriginKeeping.MEMORY,
        )
        for number in range(count)
    ]
    others = tuple(peer for peer in peers if peer is not peers[own])
    return Fleet(peers[own], others)


def owners_in(present: Fleet) -> OriginOwners:
    owners = OriginOwners()
    owners.update(present)
    return owners


def test_all_gateways_select_the_same_owners_in_different_zones() -> None:
    for number in range(50):
        key = stream_key("a", f"r{number}")
        selected = {owners_in(fleet(own, 8, disks=4)).of(key) for own in range(8)}
        [owners] = selected
        assert len(owners) == OWNERS
        assert len({owner.zone for owner in owners[:2]}) == 2
        assert [owner.origins for owner in owners[:2]] == [OriginKeeping.DISK] * 2


def test_owners_are_asked_by_gateways_whose_view_of_the_fleet_differs() -> None:
    for number in range(50):
        key = stream_key("a", f"r{number}")
        for disks in (0, 3):
            recorded = owners_in(fleet(0, 20, disks)).of(key)
            asked = owners_in(fleet(1, 21, disks)).asked(key)
            names = {peer.name for peer in asked} | {"g1"}
            assert len({owner.name for owner in recorded} & names) >= OWNERS - 1


def test_origins_fall_evenly_on_the_gateways_of_the_planned_size() -> None:
    owners = owners_in(fleet(0, 350, zones=8))
    counts: dict[str, int] = {}
    streams = 10_000
    for number in range(streams):
        for owner in owners.of(stream_key("a", f"r{number}")):
            counts[owner.name] = counts.get(owner.name, 0) + 1
    assert max(counts.values()) < 2 * streams * OWNERS / 350


DISKS = {"none": 0, "few": 6, "one in nine": 39, "half": 175, "all": 350}


@pytest.mark.parametrize("case", DISKS)
def test_gateways_with_a_disk_keep_a_bounded_multiple_of_the_mean(case: str) -> None:
    count, streams = 350, 2_000
    owners = owners_in(fleet(0, count, DISKS[case], zones=8))
    kept = [
        owner
        for number in range(streams)
        for owner in owners.of(stream_key("a", f"r{number}"))
    ]
    on_disk = sum(owner.origins == OriginKeeping.DISK for owner in kept)
    mean = len(kept) / count
    assert len(kept) == streams * OWNERS
    assert on_disk <= 1.2 * MAX_DISK_LOAD * mean * max(1, DISKS[case])
    assert on_disk >= streams * DISK_OWNERS or DISKS[case] <= DISKS["few"]


def test_gateways_of_earlier_releases_keep_no_origins() -> None:
    old = GatewayPeer("old", "10.0.0.9:1", "z1")
    present = fleet(0, 2)
    owners = owners_in(Fleet(present.own, (*present.others, old)))
    names = {owner.name for owner in owners.of(stream_key("a", "r"))}
    assert names == {"g0", "g1"}


KEEP_S = 0.2


class FullDisk(OsFiles):
    """Files on a disk that takes half of a write while ``full`` is set."""

    full = True

    def append(self, path: Path, data: bytes) -> None:
        if self.full:
            super().append(path, data[: len(data) // 2])
            raise OSError(28, "no space left")
        super().append(path, data)


async def written_to(folder: Path, *notices: OriginNotice, **kwargs: Any) -> OriginFile:
    file = OriginFile(folder, **kwargs)
    file.read()
    await file.start()
    for item in notices:
        file.append(item)
    return file


async def settled(file: OriginFile) -> None:
    """Wait until what was appended has been written, or failed to be."""
    await asyncio.sleep(5 * origin_file.WRITE_DELAY_S)
    await file.flush()


def read_from(folder: Path) -> set[OriginNotice]:
    return set(OriginFile(folder).read())


def test_stored_origins_are_read_again(tmp_path: Path) -> None:
    async def main() -> None:
        file = await written_to(tmp_path, notice("r1"), notice("r2", "v2"))
        await file.close()
        for _ in range(3):
            assert read_from(tmp_path) == {notice("r1"), notice("r2", "v2")}

    run(main())


def test_origins_are_written_before_the_process_ends(tmp_path: Path) -> None:
    async def main() -> None:
        await written_to(tmp_path, notice("r1"))
        await asyncio.sleep(2 * origin_file.WRITE_DELAY_S)
        while not (tmp_path / "origins").exists():
            await asyncio.sleep(0.001)
        assert read_from(tmp_path) == {notice("r1")}

    run(main())


def test_origins_after_a_torn_record_are_read(tmp_path: Path) -> None:
    async def main() -> None:
        file = await written_to(tmp_path, notice("r1"), notice("r2"))
        await file.close()
        path = tmp_path / "origins"
        path.write_bytes(path.read_bytes()[:-3])
        file = await written_to(tmp_path, notice("r3"))
        await file.close()
        assert read_from(tmp_path) == {notice("r1"), notice("r3")}

    run(main())


def test_files_hold_no_origins_that_expired_long_ago(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        file = await written_to(tmp_path)
        appended: dict[OriginNotice, float] = {}
        for number in range(40):
            item = notice(f"r{number}", keep_s=KEEP_S)
            appended[item] = loop.time()
            file.append(item)
            await file.flush()
            ended_at = loop.time()
            await asyncio.sleep(KEEP_S / 5)
        await file.close()
        stored = read_from(tmp_path)
        valid = {item for item, at in appended.items() if at + KEEP_S > ended_at}
        assert valid <= stored
        assert len(stored) <= 15

    run(main())


@pytest.mark.parametrize("damage", [b"", b"\0" * 64, b"not a record"])
def test_unreadable_files_hold_no_origins(tmp_path: Path, damage: bytes) -> None:
    async def main() -> None:
        (tmp_path / "origins").write_bytes(damage)
        assert read_from(tmp_path) == set()

    run(main())


def test_a_full_disk_loses_only_what_is_stored(tmp_path: Path) -> None:
    async def main() -> None:
        disk = FullDisk()
        disk.full = False
        file = await written_to(tmp_path, notice("r1"), files=disk)
        await settled(file)
        disk.full = True
        file.append(notice("r2"))
        await settled(file)
        disk.full = False
        file.append(notice("r3"))
        await file.close()
        disk.full = True
        known = {notice("r1"), notice("r3")}
        assert set(OriginFile(tmp_path, disk).read()) == known
        assert read_from(tmp_path) == known

    run(main())
