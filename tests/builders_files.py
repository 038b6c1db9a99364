"""In-memory files that simulate kills, power loss and disk errors."""

import errno
from pathlib import Path


class Killed(BaseException):
    """Simulates the kill of the process."""


class FakeFiles:
    """In-memory implementation of ``Files`` that counts its operations.

    Operation number ``kill_at`` raises :class:`Killed` before it has an effect; if it
    is an append, its first ``cut`` bytes are still written.  ``space`` is the number of
    bytes left on the disk, ``fail`` the errno with which a sync fails.
    """

    def __init__(self, kill_at=None, cut=0):
        self.kill_at = kill_at
        self.cut = cut
        self.steps = 0
        self.space = None
        self.fail = None
        self.content = {}
        self.synced = {}
        self.names = {}  # path -> inode, as of the last sync_folder
        self.inodes = {}
        self._next = 0

    def _step(self):
        self.steps += 1
        if self.steps == self.kill_at:
            raise Killed

    def _inode(self, path):
        if path not in self.inodes:
            self._next += 1
            self.inodes[path] = self._next
            self.content[self._next] = b""
            self.synced[self._next] = b""
        return self.inodes[path]

    def make_folder(self, _path):
        pass

    def exists(self, path):
        return path in self.inodes

    def read(self, path):
        return self.content[self.inodes[path]]

    def append(self, path, data):
        inode = self._inode(path)
        try:
            self._step()
        except Killed:
            self.content[inode] += data[: self.cut]
            raise
        if self.space is not None and len(data) > self.space:
            self.content[inode] += data[: self.space]
            self.space = 0
            raise OSError(errno.ENOSPC, "no space")
        self.content[inode] += data

    def truncate(self, path, size):
        self._step()
        inode = self._inode(path)
        self.content[inode] = self.content[inode][:size]

    def sync(self, path):
        self._step()
        if self.fail is not None:
            raise OSError(self.fail, "sync failed")
        self.synced[self._inode(path)] = self.content[self._inode(path)]

    def sync_folder(self, _path):
        self._step()
        self.names = dict(self.inodes)

    def rename(self, source, target):
        self._step()
        self.inodes[target] = self.inodes.pop(source)

    def remove(self, path):
        self._step()
        self.inodes.pop(path, None)

    def close(self):
        pass

    def after_kill(self):
        """The files after the process was killed: everything written remains."""
        new = FakeFiles()
        new.inodes = dict(self.inodes)
        new.content = dict(self.content)
        new.synced = dict(self.content)
        new.names = dict(self.inodes)
        new._next = self._next
        return new

    def after_power_loss(self, torn=0):
        """The files after a power loss: synced data and ``torn`` bytes of the rest."""
        new = self.after_kill()
        new.inodes = dict(self.names)
        for inode, synced in self.synced.items():
            written = self.content[inode]
            if written.startswith(synced):
                kept = written[: len(synced) + torn]
            else:
                kept = synced
            new.content[inode] = kept
        return new


FOLDER = Path("/not/there")
