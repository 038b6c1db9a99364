"""Bounds the bytes that are held for callers who read their answers slowly.

There is one :class:`SlowReaders` per process.  The write buffer of a caller's
connection is watched from the moment something remains in it.  Nothing more is written
until it is empty, so it shrinks exactly if the caller reads.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from gooseberrydale.log_events import UnreadAnswersCut, emit

CHECK_S = 0.25

UNREAD_S = 5.0
"""Time after which a buffer from which nothing was read is cut.  Callers read each
event within some hundred milliseconds; a lost packet is repeated within three
seconds."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Most bytes held in all buffers together: an eighth of the memory that the process may
use, and the complete answers of some thousand callers."""

K = TypeVar("K")


@dataclass(frozen=True, slots=True)
class Unread:
    """A buffer with ``size`` bytes; nothing was read from it since ``since``."""

    size: int
    since: float


def observed(known: Unread | None, size: int, now: float) -> Unread:
    """Return the state of a buffer that has ``size`` bytes now."""
    if known is None or size < known.size:
        return Unread(size, now)
    return replace(known, size=size)


def buffers_to_cut(
    buffers: Mapping[K, Unread], now: float, max_bytes: int = MAX_HELD_BYTES
) -> list[K]:
    """Return the buffers to discard: those unread for too long, the oldest first.

    If all buffers hold more than ``max_bytes``, others follow until they don't.
    """
    held = sum(unread.size for unread in buffers.values())
    cut = []
    for key, unread in sorted(buffers.items(), key=lambda item: item[1].since):
        if unread.since > now - UNREAD_S and held <= max_bytes:
            break
        held -= unread.size
        cut.append(key)
    return cut


class SlowReaders:
    """Watches the write buffers of callers' connections."""

    def __init__(self) -> None:
        self._buffers: dict[asyncio.Transport, Unread] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def held_bytes(self) -> int:
        """The bytes that callers have not read yet, as of the last check."""
        return sum(unread.size for unread in self._buffers.values())

    async def start(self) -> None:
        """Start to check the buffers."""
        self._task = asyncio.create_task(self._observe())

    async def close(self) -> None:
        """Stop checking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def paused(self, transport: asyncio.Transport) -> None:
        """Watch a buffer, as not everything could be written at once."""
        self._buffers[transport] = Unread(transport.get_write_buffer_size(), _now())

    def resumed(self, transport: asyncio.Transport) -> None:
        """Stop watching a buffer that is empty, or whose connection has ended."""
        self._buffers.pop(transport, None)

    async def _observe(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            self._check()

    def _check(self) -> None:
        now = _now()
        for transport, known in self._buffers.items():
            size = transport.get_write_buffer_size()
            self._buffers[transport] = observed(known, size, now)
        cut = buffers_to_cut(self._buffers, now)
        if not cut:
            return
        size = sum(self._buffers[transport].size for transport in cut)
        for transport in cut:
            del self._buffers[transport]
            transport.abort()
        emit(UnreadAnswersCut(len(cut), size, self.held_bytes))


def _now() -> float:
    return asyncio.get_running_loop().time()
