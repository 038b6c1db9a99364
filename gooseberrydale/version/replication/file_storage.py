"""A replica's log in files under one data folder.

``identity`` names the replica, ``snapshot`` holds the newest snapshot, ``log`` the
hard state and the entries after it.  ``log`` only grows until a snapshot replaces
it; each batch opens with a :class:`SyncMark`, which proves that what stands before
it was synced.  The other files are replaced as a whole.
"""

from __future__ import annotations

import errno
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import NoReturn, TypeVar

from gooseberrydale.connection.codec import CodecError, decode, encode, message
from gooseberrydale.errors import DISK_DAMAGED, DISK_FAILED, DISK_FULL, problem
from gooseberrydale.log_events import CommitNotNoted, emit
from gooseberrydale.version.replication.files import Files
from gooseberrydale.version.replication.messages import (
    Entry,
    HardState,
    Member,
    Snapshot,
)
from gooseberrydale.version.replication.raft import Stored
from gooseberrydale.version.replication.records import Scan, find_after, frame, scan
from gooseberrydale.version.replication.storage import (
    DiskDamagedError,
    DiskFailedError,
    DiskFullError,
)

T = TypeVar("T")

IDENTITY_BITS = 64
MAX_NOTE_BYTES = 32 * 1024
NO_SPACE = {errno.ENOSPC, errno.EDQUOT}


@message
@dataclass(frozen=True, slots=True)
class SyncMark:
    """Everything before ``offset`` of this file was synced."""

    offset: int


@message
@dataclass(frozen=True, slots=True)
class CommitNote:
    """Entries up to ``index`` were known to be committed, in the log of ``owner``."""

    owner: str
    index: int


@message
@dataclass(frozen=True, slots=True)
class TruncateMark:
    """The entries from ``index`` on are gone."""

    index: int


class FileStorage:
    """Storage in a folder; ``open`` before anything else.

    ``me`` and ``stored`` are what was found.  Raises the errors of ``storage``.
    """

    def __init__(self, folder: Path, files: Files) -> None:
        self._folder = folder
        self._files = files
        self._log = folder / "log"
        self._snapshot = folder / "snapshot"
        self._identity = folder / "identity"
        self._commit = folder / "commit"
        self._noted = 0
        self._note_bytes = 0
        self._collected: list[bytes] = []
        self._size = 0
        self.me = Member("", "")
        self.stored = Stored()

    def open(self, name: str, rng: Random, identity: str = "") -> None:
        """Read the folder; a new or foreign one gets a new identity.

        That is ``identity`` if it is given, else a random one.  Files of a replica
        with another name are kept aside.
        """
        self._files.make_folder(self._folder)
        if self._files.exists(self._identity):
            self.me = self._read_one(self._identity, Member)
            if self.me.name != name:
                self._set_aside()
        if not self._files.exists(self._identity):
            identity = identity or f"{rng.getrandbits(IDENTITY_BITS):016x}"
            self._create(Member(name, identity))
        stored = self._load()
        self.stored = replace(stored, commit=self._load_commit())

    def _set_aside(self) -> None:
        # The identity goes last, so that a crash on the way is found again.
        for path in (self._log, self._snapshot, self._identity):
            if self._files.exists(path):
                self._files.rename(path, path.with_suffix(f".{self.me.identity}"))
        self._files.sync_folder(self._folder)

    def _create(self, me: Member) -> None:
        # A log without an identity stems from a crash here and was never used.
        self._files.remove(self._snapshot)
        self._replace_log(HardState(), ())
        self._replace(self._identity, frame(encode(me)))
        self.me = me

    # Reading.

    def _load(self) -> Stored:
        snapshot = Snapshot()
        if self._files.exists(self._snapshot):
            snapshot = self._read_one(self._snapshot, Snapshot)
        state, entries = self._load_log()
        kept = self._after(snapshot, entries)
        if len(kept) < len(entries):
            self._replace_log(state, kept)
        return Stored(state, snapshot, kept)

    def _load_commit(self) -> int:
        """The last commit noted by this identity; 0 if there is none.

        Notes are appended, so one that is torn leaves those before it.
        """
        if not self._files.exists(self._commit):
            return 0
        data = self._files.read(self._commit)
        self._note_bytes = len(data)
        found = 0
        for payload in scan(data).payloads:
            note = self._decode(self._commit, payload)
            if isinstance(note, CommitNote) and note.owner == self.me.identity:
                found = note.index
        return found

    def _read_one(self, path: Path, kind: type[T]) -> T:
        """Read a file of one record, which is replaced as a whole, so never torn."""
        found = scan(self._files.read(path))
        if len(found.payloads) != 1:
            raise self._damaged(path, "its record doesn't fit its checksum")
        msg = self._decode(path, found.payloads[0])
        if not isinstance(msg, kind):
            raise self._damaged(path, f"it holds no {kind.__name__}")
        return msg

    def _load_log(self) -> tuple[HardState, tuple[Entry, ...]]:
        if not self._files.exists(self._log):
            raise self._damaged(self._log, "it is missing")
        data = self._files.read(self._log)
        found = scan(data)
        self._check_tail(data, found)
        self._size = found.end
        if found.end < len(data):
            self._files.truncate(self._log, found.end)
            self._files.sync(self._log)
        return self._replay(found.payloads)

    def _check_tail(self, data: bytes, found: Scan) -> None:
        if found.damaged:
            raise self._damaged(self._log, f"bad record at byte {found.end}")
        for payload in find_after(data, found.end):
            mark = self._decode(self._log, payload)
            if isinstance(mark, SyncMark) and mark.offset > found.end:
                raise self._damaged(self._log, f"bad record at byte {found.end}")

    def _replay(self, payloads: Sequence[bytes]) -> tuple[HardState, tuple[Entry, ...]]:
        state = HardState()
        entries: list[Entry] = []
        for payload in payloads:
            match self._decode(self._log, payload):
                case HardState() as state:
                    pass
                case TruncateMark(index):
                    entries = [entry for entry in entries if entry.index < index]
                case Entry() as entry:
                    if entries and entry.index != entries[-1].index + 1:
                        raise self._damaged(self._log, f"gap before {entry.index}")
                    entries.append(entry)
        return state, tuple(entries)

    def _after(
        self, snapshot: Snapshot, entries: tuple[Entry, ...]
    ) -> tuple[Entry, ...]:
        """The entries that stand; a crash may have left a log from before."""
        newer = tuple(entry for entry in entries if entry.index > snapshot.index)
        if not newer:
            return ()
        if newer[0].index != snapshot.index + 1:
            raise self._damaged(self._log, f"gap after {snapshot.index}")
        at = [entry for entry in entries if entry.index == snapshot.index]
        if at and at[0].term != snapshot.term:
            return ()
        return newer

    def _decode(self, path: Path, payload: bytes) -> object:
        try:
            msg: object = decode(payload)
        except CodecError as exc:
            raise self._damaged(path, str(exc)) from exc
        return msg

    def _damaged(self, path: Path, reason: str) -> DiskDamagedError:
        return DiskDamagedError(problem(DISK_DAMAGED, file=path, reason=reason))

    # Writing.

    def append(self, entries: Sequence[Entry]) -> None:
        """Collect entries that follow the last one."""
        self._collected.extend(frame(encode(entry)) for entry in entries)

    def truncate(self, index: int) -> None:
        """Collect the removal of the entries from ``index`` on."""
        self._collected.append(frame(encode(TruncateMark(index))))

    def note_commit(self, index: int) -> None:
        """Collect a note of the commit, for ``write_note``."""
        self._noted = index

    def write_note(self) -> None:
        """Put the note on disk, after all that was synced.

        Without it a restart takes longer, so a failure is logged and passed over.
        """
        if not self._noted:
            return
        note = frame(encode(CommitNote(self.me.identity, self._noted)))
        self._noted = 0
        try:
            if self._note_bytes > MAX_NOTE_BYTES:
                self._files.remove(self._commit)
                self._note_bytes = 0
            self._files.append(self._commit, note)
            self._files.sync(self._commit)
            if not self._note_bytes:
                self._files.sync_folder(self._folder)
            self._note_bytes += len(note)
        except OSError as exc:
            emit(CommitNotNoted(str(exc)))

    def save_state(self, state: HardState) -> None:
        """Collect the hard state."""
        self._collected.append(frame(encode(state)))

    def sync(self) -> None:
        """Put everything collected on disk, with one sync."""
        if not self._collected:
            return
        mark = frame(encode(SyncMark(self._size)))
        data = mark + b"".join(self._collected)
        try:
            self._files.append(self._log, data)
            self._files.sync(self._log)
        except OSError as exc:
            self._undo(exc)
        self._size += len(data)
        self._collected.clear()

    def _undo(self, cause: OSError) -> NoReturn:
        """Cut a part that was written; the next try writes it all again."""
        try:
            self._files.truncate(self._log, self._size)
        except OSError as exc:
            raise self._failed(self._log, exc) from exc
        raise self._failed(self._log, cause) from cause

    def save_snapshot(
        self, snapshot: Snapshot, state: HardState, entries: Sequence[Entry]
    ) -> None:
        """Replace all that is stored, atomically and synced.

        The snapshot goes first; with it an older log is still understood.
        """
        self._replace(self._snapshot, frame(encode(snapshot)))
        self._replace_log(state, entries)
        self._collected.clear()

    def _replace_log(self, state: HardState, entries: Sequence[Entry]) -> None:
        records = [frame(encode(SyncMark(0))), frame(encode(state))]
        records += [frame(encode(entry)) for entry in entries]
        data = b"".join(records)
        self._replace(self._log, data)
        self._size = len(data)

    def _replace(self, path: Path, data: bytes) -> None:
        new = path.with_suffix(".new")
        try:
            self._files.remove(new)
            self._files.append(new, data)
            self._files.sync(new)
            self._files.rename(new, path)
            self._files.sync_folder(self._folder)
        except OSError as exc:
            raise self._failed(path, exc) from exc

    def _failed(self, path: Path, exc: OSError) -> DiskFullError | DiskFailedError:
        if exc.errno in NO_SPACE:
            return DiskFullError(problem(DISK_FULL, folder=self._folder))
        return DiskFailedError(problem(DISK_FAILED, file=path, reason=exc))

    def close(self) -> None:
        """Close the files; what was not synced is forgotten."""
        self._files.close()
