"""The file operations that the log's storage uses, behind a protocol.

Tests replace :class:`OsFiles` by a fake that simulates crashes at any operation and
loses data that was not synced.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Operations on the files of one folder; all raise OSError on failure."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents unless they exist."""
        ...

    def exists(self, path: Path) -> bool:
        """Whether the file exists."""
        ...

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        ...

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file, created if missing; a failure may write only some bytes."""
        ...

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        ...

    def sync(self, path: Path) -> None:
        """Return once the file's content is on disk."""
        ...

    def sync_folder(self, path: Path) -> None:
        """Return once files created or renamed in the folder are on disk."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file atomically, replacing a file of the new name."""
        ...

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        ...

    def close(self) -> None:
        """Close any open file."""
        ...


class OsFiles:
    """Files of the operating system; the last written file stays open."""

    def __init__(self) -> None:
        self._path: Path | None = None
        self._fd = -1

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents unless they exist."""
        path.mkdir(parents=True, exist_ok=True)

    def exists(self, path: Path) -> bool:
        """Whether the file exists."""
        return path.exists()

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file, created if missing; a failure may write only some bytes."""
        fd = self._open(path)
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        os.ftruncate(self._open(path), size)

    def sync(self, path: Path) -> None:
        """Return once the file's content is on disk."""
        os.fsync(self._open(path))

    def sync_folder(self, path: Path) -> None:
        """Return once files created or renamed in the folder are on disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file atomically, replacing a file of the new name."""
        self.close()
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        if path == self._path:
            self.close()
        path.unlink(missing_ok=True)

    def close(self) -> None:
        """Close the open file, if any."""
        if self._path is not None:
            os.close(self._fd)
            self._path = None

    def _open(self, path: Path) -> int:
        if path != self._path:
            self.close()
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._fd = os.open(path, flags, 0o600)
            self._path = path
        return self._fd
