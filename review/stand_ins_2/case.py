"""What the scripts of the cases share: the record, and running a case on a fleet."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable

from fleet import Fleet

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to a file, with the time in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {line}\n")
        self._file.flush()


class CannotRunError(Exception):
    """The case did not get as far as the disruption."""


def main(
    folder: pathlib.Path, run: Callable[[Fleet, Record], Awaitable[int]]
) -> None:
    """Start a fleet, run the case, end all processes, and exit with the result."""
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(pathlib.Path(temporary))
        try:
            fleet.start()
            result = asyncio.run(asyncio.wait_for(run(fleet, record), LIMIT_S))
        except Exception:
            record(traceback.format_exc())
            for process in fleet.processes.values():
                record(f"{process.name} logged at last: {process.log()[-600:]}")
            result = NOT_RUN
        finally:
            fleet.close()
    record(f"result: {result}")
    sys.exit(result)
