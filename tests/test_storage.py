"""Log files after kills at each step, torn writes, damage and full disks."""

import errno
import random

import pytest

from gooseberrydale.version.replication import bootstrap
from gooseberrydale.version.replication.file_storage import FileStorage
from gooseberrydale.version.replication.files import OsFiles
from gooseberrydale.version.replication.messages import (
    Entry,
    HardState,
    Member,
    Membership,
    Snapshot,
)
from gooseberrydale.version.replication.raft import Stored
from gooseberrydale.version.replication.storage import (
    DiskDamagedError,
    DiskFailedError,
    DiskFullError,
)
from tests.builders_files import FOLDER, FakeFiles, Killed

MEMBERS = Membership((Member("c1", "a"),))
SNAPSHOT = Snapshot(4, 2, MEMBERS, b"machine")
STATES = [HardState("x", term) for term in (1, 2, 3)]


def entry(index, term=1):
    return Entry(index, term, data=b"%d" % index * 100)


def opened(files, name="c1", folder=FOLDER):
    storage = FileStorage(folder, files)
    storage.open(name, random.Random(1))
    return storage


def history():
    """Write steps, each with the content that must be stored after it."""
    entries = (entry(1), entry(2), entry(3))
    changed = (entry(1), entry(2), entry(3, 2), entry(4, 2), entry(5, 2))

    def first(storage):
        storage.save_state(STATES[0])
        storage.append(entries)
        storage.sync()

    def conflict(storage):
        storage.save_state(STATES[1])
        storage.truncate(3)
        storage.append(changed[2:])
        storage.sync()

    def compact(storage):
        storage.save_snapshot(SNAPSHOT, STATES[1], changed[4:])

    def more(storage):
        storage.append((entry(6, 2),))
        storage.sync()

    def install(storage):
        storage.save_snapshot(Snapshot(9, 3, MEMBERS, b"m"), STATES[2], ())

    return [
        (first, Stored(STATES[0], entries=entries)),
        (conflict, Stored(STATES[1], entries=changed)),
        (compact, Stored(STATES[1], SNAPSHOT, changed[4:])),
        (more, Stored(STATES[1], SNAPSHOT, (*changed[4:], entry(6, 2)))),
        (install, Stored(STATES[2], Snapshot(9, 3, MEMBERS, b"m"))),
    ]


def write_until_killed(files):
    """Return the last acknowledged content and the one being written when killed."""
    done, tried = None, Stored()
    try:
        storage = opened(files)
        done = Stored()
        for write, result in history():
            tried = result
            write(storage)
            done = result
    except Killed:
        pass
    return done, tried


def steps_of_history():
    files = FakeFiles()
    write_until_killed(files)
    return files.steps


def allowed(done, tried):
    """The contents allowed after a kill: old, new, or a new snapshot with old state."""
    mixed = Stored(done.state, tried.snapshot, tried.entries)
    no_entries = Stored(done.state, tried.snapshot)
    return [done, tried, mixed, no_entries]


@pytest.mark.parametrize("torn", [0, 1, 13, 150, 10_000])
@pytest.mark.parametrize("power", [False, True])
def test_kill_at_any_step_loses_nothing_acknowledged(power, torn):
    for kill_at in range(1, steps_of_history() + 1):
        files = FakeFiles(kill_at, cut=torn)
        done, tried = write_until_killed(files)
        left = files.after_power_loss(torn) if power else files.after_kill()
        found = opened(left).stored
        if done is None or not done.entries and not done.snapshot.index:
            continue
        if found not in allowed(done, tried):
            assert_prefix_of_try(found, done, tried)


def assert_prefix_of_try(found, done, tried):
    """Only a prefix of the records of a torn batch may remain."""
    assert found.snapshot == done.snapshot
    assert found.state in (done.state, tried.state)
    kept = found.entries
    assert kept == tried.entries[: len(kept)] or kept == done.entries[: len(kept)]
    common = [e for e, new in zip(done.entries, tried.entries) if e == new]
    assert kept[: len(common)] == tuple(common)


@pytest.mark.parametrize("kill_at", range(1, 12))
def test_folder_opens_after_a_kill_during_its_creation(kill_at):
    files = FakeFiles(kill_at)
    try:
        opened(files)
    except Killed:
        pass
    assert opened(files.after_power_loss()).me.name == "c1"


def log_of_two_batches():
    files = FakeFiles()
    storage = opened(files)
    for number in (1, 2):
        storage.append((entry(number),))
        storage.sync()
    return files, files.inodes[FOLDER / "log"]


@pytest.mark.parametrize("bit", range(0, 8 * 60, 7))
def test_flipped_bit_in_synced_data_is_reported_as_damage(bit):
    files, log = log_of_two_batches()
    data = bytearray(files.content[log])
    data[-len(data) // 2 + bit // 8] ^= 1 << bit % 8
    files.content[log] = bytes(data)
    with pytest.raises(DiskDamagedError, match="empty the data folder"):
        opened(files)


def test_zeroed_sector_at_the_end_is_truncated():
    files, log = log_of_two_batches()
    storage = opened(files)
    valid_bytes = len(files.content[log])
    storage.append((Entry(3, 1, data=b"x" * 2000),))
    storage.sync()
    files.content[log] = files.content[log][: valid_bytes + 600] + bytes(1500)
    assert [e.index for e in opened(files).stored.entries] == [1, 2]
    assert b"xx" not in files.content[log]


def test_zeroed_sector_before_a_synced_batch_is_reported_as_damage():
    files, log = log_of_two_batches()
    storage = opened(files)
    storage.append((Entry(3, 1, data=b"x" * 2000),))
    storage.sync()
    storage.append((entry(4),))
    storage.sync()
    data = bytearray(files.content[log])
    data[1024:1536] = bytes(512)
    files.content[log] = bytes(data)
    with pytest.raises(DiskDamagedError):
        opened(files)


@pytest.mark.parametrize("name", ["log", "snapshot", "identity"])
def test_changed_file_is_reported_as_damage(name):
    files, _ = log_of_two_batches()
    storage = opened(files)
    storage.save_snapshot(Snapshot(2, 1, MEMBERS, b"m"), STATES[0], ())
    inode = files.inodes[FOLDER / name]
    data = files.content[inode]
    files.content[inode] = data[:5] + bytes([data[5] ^ 1]) + data[6:]
    with pytest.raises(DiskDamagedError):
        opened(files)


def test_missing_log_is_reported_as_damage_and_not_recreated():
    files, _ = log_of_two_batches()
    files.remove(FOLDER / "log")
    with pytest.raises(DiskDamagedError, match="missing"):
        opened(files)


@pytest.mark.parametrize("space", [0, 5, 40])
def test_full_disk_loses_nothing_and_sync_can_be_repeated(space):
    files, _ = log_of_two_batches()
    storage = opened(files)
    storage.append((entry(3),))
    files.space = space
    with pytest.raises(DiskFullError, match="free space"):
        storage.sync()
    assert len(opened(files.after_kill()).stored.entries) == 2
    files.space = None
    storage.sync()
    assert len(opened(files.after_power_loss()).stored.entries) == 3


def test_full_disk_retains_the_previous_snapshot():
    files, _ = log_of_two_batches()
    storage = opened(files)
    files.space = 10
    with pytest.raises(DiskFullError):
        storage.save_snapshot(SNAPSHOT, STATES[1], ())
    assert opened(files.after_kill()).stored.snapshot == Snapshot()
    files.space = None
    storage.save_snapshot(SNAPSHOT, STATES[1], ())
    assert opened(files.after_power_loss()).stored.snapshot == SNAPSHOT


def test_failed_sync_raises():
    files, _ = log_of_two_batches()
    storage = opened(files)
    storage.append((entry(3),))
    files.fail = errno.EIO
    with pytest.raises(DiskFailedError, match="replace the disk"):
        storage.sync()


def test_folder_of_another_replica_gets_a_new_identity():
    files, _ = log_of_two_batches()
    before = opened(files).me
    foreign = opened(files, name="c2")
    assert foreign.me.name == "c2" and foreign.stored == Stored()
    assert files.exists(FOLDER / f"log.{before.identity}")


def test_real_files_return_what_was_written(tmp_path):
    storage = opened(OsFiles(), folder=tmp_path)
    for write, _ in history():
        write(storage)
    storage.close()
    again = opened(OsFiles(), folder=tmp_path)
    assert (again.me, again.stored) == (storage.me, history()[-1][1])
    again.close()


def test_recovery_retains_everything_on_the_disk():
    me = Member("c1", "a")
    stored = Stored(HardState("x", 5), SNAPSHOT, (entry(5, 2), entry(6, 4)))
    forced = bootstrap.force_single(stored, me, "y")
    assert forced.entries[:-1] == stored.entries
    assert forced.entries[-1].membership == Membership((me,))
    assert (forced.entries[-1].index, forced.state.term) == (7, 6)
    assert forced.state.cluster == "y"
    assert "after index 6" in bootstrap.describe(stored).warning


def storage_with_commit_notes(files, *indexes):
    """Append, sync and note each of these commit indexes."""
    storage = opened(files)
    for index in indexes:
        storage.append([entry(index)])
        storage.note_commit(index)
        storage.sync()
        storage.write_note()
    return storage


def test_last_commit_note_survives_power_loss():
    files = FakeFiles()
    storage_with_commit_notes(files, 1, 2, 3)
    assert opened(files.after_power_loss()).stored.commit == 3


@pytest.mark.parametrize("torn", [1, 10, 30])
def test_torn_commit_note_leaves_the_one_before(torn):
    files = FakeFiles()
    storage = storage_with_commit_notes(files, 1, 2)
    storage.note_commit(3)
    files.fail = errno.EIO
    storage.write_note()  # the failure is only logged
    files.fail = None
    assert opened(files.after_power_loss(torn)).stored.commit == 2


def test_commit_note_of_another_identity_is_ignored():
    files = FakeFiles()
    storage_with_commit_notes(files, 1, 2)
    storage = FileStorage(FOLDER, files)
    storage.open("c2", random.Random(2))
    assert storage.stored.commit == 0


def test_file_of_commit_notes_is_bounded():
    files = FakeFiles()
    storage = storage_with_commit_notes(files, 1)
    for index in range(2, 2_000):
        storage.note_commit(index)
        storage.write_note()
    inode = files.inodes[FOLDER / "commit"]
    assert len(files.content[inode]) < 64 * 1024
    assert opened(files.after_kill()).stored.commit == 1_999
