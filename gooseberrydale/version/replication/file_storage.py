"""Stores a replica's log in files of one data folder.

``identity`` names the replica, ``snapshot`` holds the newest snapshot, ``log`` the hard
state and the entries after the snapshot, ``commit`` the notes of the commit index.
``log`` is only appended to until a snapshot replaces it.  Each batch in it starts with
a :class:`SyncMark`, which proves that everything before it was synced.  ``identity``
and ``snapshot`` are always replaced as a whole.
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
NO_SPACE_ERRNOS = {errno.ENOSPC, errno.EDQUOT}


@message
@dataclass(frozen=True, slots=True)
class SyncMark:
    """Everything before ``offset`` of this file was synced."""

    offset: int


@message
@dataclass(frozen=True, slots=True)
class CommitNote:
    """Entries up to ``index`` are committed; written by the identity ``owner``."""

    owner: str
    index: int


@message
@dataclass(frozen=True, slots=True)
class TruncateMark:
    """The entries from ``index`` on were removed from the log."""

    index: int


class FileStorage:
    """Storage in a data folder; call ``open`` first.

    ``open`` sets ``me`` and ``stored`` to what the folder contains.  Methods raise the
    errors of the ``storage`` module.
    """

    def __init__(self, folder: Path, files: Files) -> None:
        self._folder = folder
        self._files = files
        self._log = folder / "log"
        self._snapshot = folder / "snapshot"
        self._identity = folder / "identity"
        self._commit = folder / "commit"
        self._commit_to_note = 0
        self._note_bytes = 0
        self._buffered: list[bytes] = []
        self._size = 0
        self.me = Member("", "")
        self.stored = Stored()

    def open(self, name: str, rng: Random, identity: str = "") -> None:
        """Read the folder; create a new identity if there is none for ``name``.

        The new identity is ``identity`` if that is given, else random.  Files of a
        replica with another name are renamed and retained.
        """
        self._files.make_folder(self._folder)
        if self._files.exists(self._identity):
            self.me = self._read_record_file(self._identity, Member)
            if self.me.name != name:
                self._rename_foreign_files()
        if not self._files.exists(self._identity):
            identity = identity or f"{rng.getrandbits(IDENTITY_BITS):016x}"
            self._create(Member(name, identity))
        stored = self._load()
        self.stored = replace(stored, commit=self._load_commit())

    def _rename_foreign_files(self) -> None:
        # Rename the identity last: if the process is killed before, the next start
        # tries again.
        for path in (self._log, self._snapshot, self._identity):
            if self._files.exists(path):
                self._files.rename(path, path.with_suffix(f".{self.me.identity}"))
        self._files.sync_folder(self._folder)

    def _create(self, me: Member) -> None:
        # A log without an identity is left from a crash in this method; it is unused.
        self._files.remove(self._snapshot)
        self._replace_log(HardState(), ())
        self._replace(self._identity, frame(encode(me)))
        self.me = me

    # Reading.

    def _load(self) -> Stored:
        snapshot = Snapshot()
        if self._files.exists(self._snapshot):
            snapshot = self._read_record_file(self._snapshot, Snapshot)
        state, entries = self._load_log()
        newer = self._entries_after(snapshot, entries)
        if len(newer) < len(entries):
            self._replace_log(state, newer)
        return Stored(state, snapshot, newer)

    def _load_commit(self) -> int:
        """The last commit index noted by this identity; 0 if there is none.

        Notes are appended, so a torn note doesn't affect those before it.
        """
        if not self._files.exists(self._commit):
            return 0
        data = self._files.read(self._commit)
        self._note_bytes = len(data)
        commit = 0
        for payload in scan(data).payloads:
            note = self._decode(self._commit, payload)
            if isinstance(note, CommitNote) and note.owner == self.me.identity:
                commit = note.index
        return commit

    def _read_record_file(self, path: Path, kind: type[T]) -> T:
        """Read a file of one record; it is replaced as a whole, so it is never torn."""
        scanned = scan(self._files.read(path))
        if len(scanned.payloads) != 1:
            raise self._damaged(path, "it is not one record with a valid checksum")
        msg = self._decode(path, scanned.payloads[0])
        if not isinstance(msg, kind):
            raise self._damaged(path, f"its record is not a {kind.__name__}")
        return msg

    def _load_log(self) -> tuple[HardState, tuple[Entry, ...]]:
        if not self._files.exists(self._log):
            raise self._damaged(self._log, "it is missing")
        data = self._files.read(self._log)
        scanned = scan(data)
        self._check_tail(data, scanned)
        self._size = scanned.end
        if scanned.end < len(data):
            self._files.truncate(self._log, scanned.end)
            self._files.sync(self._log)
        return self._replay(scanned.payloads)

    def _check_tail(self, data: bytes, scanned: Scan) -> None:
        """Raise unless what follows the last valid record is a torn write."""
        if scanned.damaged:
            raise self._damaged(self._log, f"bad record at byte {scanned.end}")
        for payload in find_after(data, scanned.end):
            mark = self._decode(self._log, payload)
            if isinstance(mark, SyncMark) and mark.offset > scanned.end:
                raise self._damaged(self._log, f"bad record at byte {scanned.end}")

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
                        raise self._damaged(
                            self._log, f"gap before entry {entry.index}"
                        )
                    entries.append(entry)
        return state, tuple(entries)

    def _entries_after(
        self, snapshot: Snapshot, entries: tuple[Entry, ...]
    ) -> tuple[Entry, ...]:
        """The entries after the snapshot.

        A crash may have left a log that is older than the snapshot.
        """
        newer = tuple(entry for entry in entries if entry.index > snapshot.index)
        if not newer:
            return ()
        if newer[0].index != snapshot.index + 1:
            raise self._damaged(
                self._log, f"gap after entry {snapshot.index}, the snapshot's last"
            )
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
        """Buffer entries to append to the log."""
        self._buffered.extend(frame(encode(entry)) for entry in entries)

    def truncate(self, index: int) -> None:
        """Buffer the removal of the entries from ``index`` on."""
        self._buffered.append(frame(encode(TruncateMark(index))))

    def note_commit(self, index: int) -> None:
        """Record the commit index for the next ``write_note``."""
        self._commit_to_note = index

    def write_note(self) -> None:
        """Write and sync the last commit index passed to ``note_commit``.

        A failure is only logged: a lost note makes the next restart take longer.
        """
        if not self._commit_to_note:
            return
        note = frame(encode(CommitNote(self.me.identity, self._commit_to_note)))
        self._commit_to_note = 0
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
        """Buffer the hard state."""
        self._buffered.append(frame(encode(state)))

    def sync(self) -> None:
        """Write everything buffered to disk, with one sync."""
        if not self._buffered:
            return
        mark = frame(encode(SyncMark(self._size)))
        data = mark + b"".join(self._buffered)
        try:
            self._files.append(self._log, data)
            self._files.sync(self._log)
        except OSError as exc:
            self._roll_back(exc)
        self._size += len(data)
        self._buffered.clear()

    def _roll_back(self, cause: OSError) -> NoReturn:
        """Remove what was partly written; the next ``sync`` writes the batch again."""
        try:
            self._files.truncate(self._log, self._size)
        except OSError as exc:
            raise self._failed(self._log, exc) from exc
        raise self._failed(self._log, cause) from cause

    def save_snapshot(
        self, snapshot: Snapshot, state: HardState, entries: Sequence[Entry]
    ) -> None:
        """Replace the snapshot and the log; both are synced.

        The snapshot is replaced first, because an older log can still be read with it.
        """
        self._replace(self._snapshot, frame(encode(snapshot)))
        self._replace_log(state, entries)
        self._buffered.clear()

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
        if exc.errno in NO_SPACE_ERRNOS:
            return DiskFullError(problem(DISK_FULL, folder=self._folder))
        return DiskFailedError(problem(DISK_FAILED, file=path, reason=exc))

    def close(self) -> None:
        """Close the files; what was not synced is discarded."""
        self._files.close()
