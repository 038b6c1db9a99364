"""Lock that allows only one process at a time to use a replica's data folder.

The operating system releases the lock when the process ends, however it ends. Without
it, recovering the folder of a running replica, or starting a replica twice, would write
two logs into one file.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from gooseberrydale.errors import FOLDER_IN_USE, problem
from gooseberrydale.version.replication.storage import StorageError

LOCK_FILE = "lock"


class FolderLock:
    """Exclusive lock on a folder; raises StorageError if another process holds it."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._fd = os.open(folder / LOCK_FILE, flags, 0o600)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(self._fd)
            raise StorageError(problem(FOLDER_IN_USE, folder=folder)) from exc

    def __enter__(self) -> FolderLock:
        return self

    def __exit__(self, *_exc: object) -> None:
        self.release()

    def release(self) -> None:
        """Release the folder for other processes."""
        os.close(self._fd)
