"""File operations as the storage needs them, behind a protocol.

Tests put a fake in place of :class:`OsFiles` which stops at any step and forgets
what was not synced.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Operations on one folder's files; all raise OSError as the system does."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents unless they are there."""
        ...

    def exists(self, path: Path) -> bool:
        """Whether a file is there."""
        ...

    def read(self, path: Path) -> bytes:
        """Return a file's whole content."""
        ...

    def append(self, path: Path, data: bytes) -> None:
        """Write at the end, creating the file; a failure may leave a part."""
        ...

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        ...

    def sync(self, path: Path) -> None:
        """Return once the file's content is on disk."""
        ...

    def sync_folder(self, path: Path) -> None:
        """Return once names created or changed in the folder are on disk."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Give a file a new name atomically, replacing what had it."""
        ...

    def remove(self, path: Path) -> None:
        """Remove a file if it is there."""
        ...

    def close(self) -> None:
        """Close what is kept open."""
        ...


class OsFiles:
    """The system's files; the file appended to last is kept open."""

    def __init__(self) -> None:
        self._path: Path | None = None
        self._fd = -1

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents unless they are there."""
        path.mkdir(parents=True, exist_ok=True)

    def exists(self, path: Path) -> bool:
        """Whether a file is there."""
        return path.exists()

    def read(self, path: Path) -> bytes:
        """Return a file's whole content."""
        return path.read_bytes()

    def append(self, path: Path, data: bytes) -> None:
        """Write at the end, creating the file; a failure may leave a part."""
        fd = self._open(path)
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        os.ftruncate(self._open(path), size)

    def sync(self, path: Path) -> None:
        """Return once the file's content is on disk."""
        os.fsync(self._open(path))

    def sync_folder(self, path: Path) -> None:
        """Return once names created or changed in the folder are on disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, source: Path, target: Path) -> None:
        """Give a file a new name atomically, replacing what had it."""
        self.close()
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it is there."""
        if path == self._path:
            self.close()
        path.unlink(missing_ok=True)

    def close(self) -> None:
        """Close the file kept open."""
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
