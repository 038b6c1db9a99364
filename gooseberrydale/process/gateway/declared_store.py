"""Decodes the document that is in force, and waits for newer ones.

There is one store per process.  A document that this release can't decode is logged as
an error and skipped; the previous one stays in force.  Documents are checked before
they are accepted, so such a document must have been accepted by another release.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from result import Err, Result

from gooseberrydale.errors import InvariantError, Problem
from gooseberrydale.log_events import DocumentInForce, DocumentUnreadable, emit
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.declared import Declared, KeyHolder
from gooseberrydale.version.route_table import RouteTable
from gooseberrydale.version.served_software import Served

DecodeDocument = Callable[[bytes], Result[Declared, Problem]]


class DeclaredStore:
    """Follows the configuration; ``table`` is None until the first document arrives."""

    def __init__(
        self,
        store: ConfigStore,
        decode: DecodeDocument,
        confirmed: ConfirmedRevision,
        bound_s: float,
    ) -> None:
        self._store = store
        self._confirmed = confirmed
        self._bound_s = bound_s
        self._decode = decode
        self._number = 0
        self._task: asyncio.Task[None] | None = None
        self.table: RouteTable | None = None
        self._arrived = asyncio.Event()
        self._changed = asyncio.Event()
        confirmed.subscribe(self._notify)

    @property
    def confirmed_age_s(self) -> float:
        """Seconds since the document in force was known to be the newest.

        Infinite if that was never known, or if a newer one is known.
        """
        config = self._store.config
        if config.document is not None and config.document.number != self._number:
            return math.inf
        now = asyncio.get_running_loop().time()
        return self._confirmed.age_s(config.revision, now)

    @property
    def is_current(self) -> bool:
        """Whether nothing newer than the document in force can bind this process.

        A newer one may have been committed since the last confirmation, but is not yet
        due to be in force everywhere.
        """
        return self.confirmed_age_s <= self._bound_s

    @property
    def software(self) -> Served:
        """The software versions of each pool in the configuration."""
        return self._store.config.software

    def cache_scope(self, holder: KeyHolder | None) -> str:
        """Return the scope of cached prefixes that a workspace may use now."""
        table = self.table
        if table is None:
            raise InvariantError("a request was routed without a document")
        return table.cache_scope(holder)

    async def wait_change(self, timeout_s: float) -> bool:
        """Wait for a document or a confirmation; return False after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait(self, timeout_s: float) -> RouteTable | None:
        """Return the declarations; wait up to ``timeout_s`` if none have arrived."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._arrived.wait()
        except TimeoutError:
            return None
        return self.table

    async def start(self) -> None:
        """Start following the configuration."""
        self._task = asyncio.create_task(self._follow())

    async def close(self) -> None:
        """Stop following the configuration."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        revision = 0
        while True:
            config = await self._store.wait_newer(revision)
            revision = config.revision
            if config.document is not None and config.document.number > self._number:
                self._take(config.document)

    def _take(self, document: Document) -> None:
        number = document.number
        match self._decode(document.body):
            case Err(why):
                emit(DocumentUnreadable(number, why.message))
            case declared:
                previous, self._number = self._number, number
                self.table = RouteTable(declared.unwrap(), document.cache_epoch)
                self._arrived.set()
                self._notify()
                emit(DocumentInForce(number, previous))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
