"""A file that holds one message over a restart of the process.

Lives as long as the disk.  What it holds helps a restart and is agreed on with nobody,
so nobody waits for a write, and a file that can't be read counts as missing.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from gooseberrydale.connection.codec import CodecError, decode, encode
from gooseberrydale.log_events import NothingKept, NotKept, emit
from gooseberrydale.version.replication.files import OsFiles
from gooseberrydale.version.replication.records import frame, scan


class KeptFile:
    """One registered message at ``path``."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def write(self, told: Any) -> None:
        """Replace what the file holds; blocks until it is on the disk."""
        new = self._path.with_suffix(".new")
        try:
            with open(new, "wb") as file:
                file.write(frame(encode(told)))
                file.flush()
                os.fsync(file.fileno())
            os.replace(new, self._path)
            OsFiles().sync_folder(self._path.parent)
        except OSError as exc:
            emit(NotKept(self._path.name, str(exc)))

    def read(self) -> Any:
        """What the file holds; None if nothing can be read."""
        try:
            [payload] = scan(self._path.read_bytes()).payloads
            return decode(payload)
        except (OSError, ValueError, CodecError) as exc:
            emit(NothingKept(self._path.name, str(exc)))
            return None
