"""The document in force, decoded; lives as long as the process.

A document that this release can't decode is passed over with an error line, and the
one before it stays in force: it was checked when it was put in force, so only a
process of another release can have let it through.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Result

from gooseberrydale.errors import Problem
from gooseberrydale.log_events import (
    DocumentInForce,
    DocumentUnreadable,
    WeightsNamed,
    emit,
)
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declared import Declared
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.route_table import RouteTable

DecodeDocument = Callable[[bytes], Result[Declared, Problem]]


class DeclaredStore:
    """Follows the configuration; ``table`` is None before the first document."""

    def __init__(self, store: ConfigStore, decode: DecodeDocument) -> None:
        self._store = store
        self._decode = decode
        self._number = 0
        self._task: asyncio.Task[None] | None = None
        self.table: RouteTable | None = None
        self.weights = NamedWeights()
        self._known = asyncio.Event()

    async def wait(self, timeout_s: float) -> RouteTable | None:
        """The declarations in force, waited for if there are none yet."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._known.wait()
        except TimeoutError:
            return None
        return self.table

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._follow())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        revision = 0
        while True:
            config = await self._store.wait_newer(revision)
            revision = config.revision
            now = asyncio.get_running_loop().time()
            for model, version in self.weights.note(config.weights, now):
                emit(WeightsNamed(model, version))
            if config.document is not None and config.document.number > self._number:
                self._take(config.document.number, config.document.body)

    def _take(self, number: int, body: bytes) -> None:
        match self._decode(body):
            case Err(why):
                emit(DocumentUnreadable(number, why.message))
            case found:
                before, self._number = self._number, number
                self.table = RouteTable(found.unwrap())
                self._known.set()
                emit(DocumentInForce(number, before))
