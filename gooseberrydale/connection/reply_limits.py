"""Bounds on response bodies that are read into memory, by call and for the process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

from gooseberrydale.connection.response_bounds import report_excess
from gooseberrydale.connection.upstream_reply import UpstreamError

KIB = 1024
MIB = 1024 * KIB

MAX_HEALTH_BYTES = 64 * KIB
"""A health response names an incarnation, a model and versions."""

MAX_REPORT_BYTES = 256 * KIB
"""An engine's report has a line for each of its models."""

MAX_LOAD_BYTES = MIB
"""A load response may list the ids of all requests that an engine holds."""

MAX_ORDER_BYTES = 64 * KIB
"""The response to an order, or to a question about one stored block, is a status."""

MAX_EVENTS_BYTES = 4 * MIB
"""A page of a store's events; the reader asks for the next one afterwards."""

MAX_CONTENT_BYTES = 16 * MIB
"""All blocks of a cache or a store, about 100 bytes each: 160,000 blocks."""

CHUNK_OVERHEAD_BYTES = 40
"""What a chunk of a body takes in memory beyond its bytes."""

MAX_HELD_BYTES = 32 * MIB
"""Most bytes that all calls of a process hold: a quarter of the memory of a node."""


@dataclass(slots=True)
class ReplyMemory:
    """Bytes of bodies that are being read; at most ``limit`` in total."""

    limit: int
    held: int = 0

    def take(self, size: int) -> bool:
        """Add ``size`` bytes; return False, and add nothing, if they are too many."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Remove ``size`` bytes."""
        self.held -= size


PROCESS_MEMORY = ReplyMemory(MAX_HELD_BYTES)
"""All calls of this process share it."""


async def read_reply(
    call: str,
    body: AsyncIterator[bytes],
    max_bytes: int,
    memory: ReplyMemory = PROCESS_MEMORY,
    kind: str = "",
) -> bytes:
    """Return a body of at most ``max_bytes``; raise :class:`UpstreamError` otherwise.

    One that is too long is counted by ``kind``, or by ``call`` without its query.  The
    caller resets the connection after an error.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        async for data in body:
            added = len(data) + CHUNK_OVERHEAD_BYTES
            if size + added > max_bytes:
                reason = report_excess(call, "body", max_bytes, size + added, kind)
                raise UpstreamError(reason, sent=True)
            if not memory.take(added):
                reason = report_excess(
                    call, "bodies", memory.limit, memory.held + added, kind
                )
                raise UpstreamError(reason, sent=True)
            size += added
            chunks.append(data)
        return b"".join(chunks)
    finally:
        memory.release(size)
