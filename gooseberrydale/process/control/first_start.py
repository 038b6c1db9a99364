"""Prepares the data folder of a stopped replica: init, recovery, and first start.

Init and recovery run in the process of the command line. The first start runs when a
replica starts whose settings make it a seed of a new cluster.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from pathlib import Path

from gooseberrydale.errors import ALREADY_STARTED, NOTHING_TO_RECOVER, problem
from gooseberrydale.process.control.folder_lock import FolderLock
from gooseberrydale.version.replication import bootstrap
from gooseberrydale.version.replication.file_storage import FileStorage
from gooseberrydale.version.replication.files import OsFiles
from gooseberrydale.version.replication.raft import Stored
from gooseberrydale.version.replication.storage import StorageError

CLUSTER_BITS = 64


def init_folder(folder: Path, name: str) -> str:
    """Create a new cluster with this replica as its first member; return its id.

    Run it on one replica only; the others start with empty folders and join. Raises
    StorageError if the folder already holds a log or is in use.
    """
    rng = random.SystemRandom()
    with FolderLock(folder):
        storage = _open(folder, name, rng)
        if storage.stored != Stored():
            raise StorageError(problem(ALREADY_STARTED, folder=folder))
        cluster = _new_cluster(rng)
        _write_and_close(storage, bootstrap.first_start(storage.me, cluster))
    return cluster


def init_shared_log(folder: Path, name: str, names: Iterable[str]) -> None:
    """Write the initial log shared by all seeds into an empty folder.

    Folders that already hold a log are left unchanged. All replicas in ``names`` do
    this at their first start. Raises StorageError if the folder can't be read.
    """
    storage = FileStorage(folder, OsFiles())
    storage.open(name, random.SystemRandom(), bootstrap.first_identity(name))
    if storage.stored == Stored():
        _write_and_close(storage, bootstrap.common_start(names))
    storage.close()


def recover_folder(folder: Path, name: str, *, force: bool) -> bootstrap.RecoveryReport:
    """Make this replica the only member after a majority of disks was lost.

    Without ``force`` nothing changes; the report says what would be retained and what
    may be lost. Raises StorageError if the folder holds no log or is in use.
    """
    rng = random.SystemRandom()
    with FolderLock(folder):
        storage = _open(folder, name, rng)
        if not storage.stored.entries and not storage.stored.snapshot.index:
            raise StorageError(problem(NOTHING_TO_RECOVER, folder=folder))
        report = bootstrap.describe(storage.stored)
        if force:
            cluster = _new_cluster(rng)
            stored = bootstrap.force_single(storage.stored, storage.me, cluster)
            _write_and_close(storage, stored)
    return report


def _open(folder: Path, name: str, rng: random.Random) -> FileStorage:
    storage = FileStorage(folder, OsFiles())
    storage.open(name, rng)
    return storage


def _new_cluster(rng: random.Random) -> str:
    return f"{rng.getrandbits(CLUSTER_BITS):016x}"


def _write_and_close(storage: FileStorage, stored: Stored) -> None:
    storage.save_snapshot(stored.snapshot, stored.state, stored.entries)
    storage.close()
