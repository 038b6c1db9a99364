"""One attempt at the sidecar: buffers its answer between the upstream and a reader.

An attempt exists from its dispatch until its answer is no longer retained.  The task
that calls the upstream writes; the handler of a dispatch or an attach reads.  There is
one reader at a time.  A newer reader replaces an older one, since the connection of the
older one may have gone silent.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing

from gooseberrydale.connection.messages import (
    Accepted,
    Chunk,
    DispatchReq,
    End,
    Failed,
    Frame,
    Heartbeat,
    Load,
    Refused,
)
from gooseberrydale.connection.upstream_reply import Headers
from gooseberrydale.errors import InvariantError, Problem
from gooseberrydale.request.answer_memory import EVENT_BYTES
from gooseberrydale.request.replay import ReplayLog

HEARTBEAT_S = 1.0


class Attempt:
    """The answer of one attempt.

    ``on_head`` is called with the status and headers of the answer, ``on_first_part``
    when the first part of its body arrives.
    """

    def __init__(
        self,
        req: DispatchReq,
        replay_bytes: int,
        load: Callable[[], Load],
        revision: Callable[[], int],
    ) -> None:
        self.req = req
        self.key = (req.request_id, req.attempt)
        self.task: asyncio.Task[None] | None = None
        self.cached_tokens = 0
        self.started_at = 0.0
        self.on_head: Callable[[int, Headers], None] | None = None
        self.on_first_part: Callable[[], None] | None = None
        self.ended = False
        self.readers = 0
        self.idle_since = asyncio.get_running_loop().time()
        self._problem: Problem | None = None
        self._status: int | None = None
        self._headers: Headers = ()
        self._log = ReplayLog(req.first_offset, replay_bytes, EVENT_BYTES)
        self._load = load
        self._revision = revision
        self._reader_id = 0
        self._changed = asyncio.Event()
        self._has_capacity = asyncio.Event()

    # Used by the writer.

    @property
    def is_broken(self) -> bool:
        """Whether the attempt ended with an incomplete answer and may have run."""
        return self._problem is not None and self._problem.not_run is not True

    @property
    def has_head(self) -> bool:
        """Whether status and headers of the answer have arrived."""
        return self._status is not None

    def set_head(self, status: int, headers: Headers) -> None:
        """Set status and headers of the answer and notify the reader."""
        self._status = status
        self._headers = headers
        if self.on_head is not None:
            self.on_head(status, headers)
        self._changed.set()

    async def write(self, events: Sequence[bytes]) -> None:
        """Append events; wait while the replay buffer is full of unread events."""
        if self.on_first_part is not None:
            self.on_first_part()
            self.on_first_part = None
        for event in events:
            self._log.append(event)
        self._changed.set()
        while self._log.full:
            self._has_capacity.clear()
            await self._has_capacity.wait()

    def end(self, problem: Problem | None = None) -> None:
        """End the answer; ``problem`` is None if it is complete."""
        if self.ended:
            raise InvariantError(f"attempt {self.key} ended twice")
        if problem is None and self._status is None:
            raise InvariantError(
                f"attempt {self.key} ended as complete before its head arrived"
            )
        self.ended = True
        self._problem = problem
        self.idle_since = asyncio.get_running_loop().time()
        self._changed.set()

    # Used by readers.

    def holds(self, offset: int) -> bool:
        """Whether the events from ``offset`` on can still be read."""
        return self._log.holds(offset)

    async def frames(self, offset: int) -> AsyncGenerator[Frame, None]:
        """Yield the answer from ``offset`` on, with heartbeats while nothing arrives.

        A later call ends this one.
        """
        self._reader_id += 1
        reader_id = self._reader_id
        self._log.rewind(offset)
        self._changed.set()
        self.readers += 1
        try:
            async with aclosing(self._read(reader_id, offset)) as frames:
                async for frame in frames:
                    yield frame
        finally:
            self.readers -= 1
            self.idle_since = asyncio.get_running_loop().time()

    async def _read(self, reader_id: int, offset: int) -> AsyncGenerator[Frame, None]:
        head_sent = False
        while reader_id == self._reader_id:
            self._changed.clear()
            if self._status is not None and not head_sent:
                head_sent = True
                yield self._accepted(offset, self._status)
                continue
            chunk = self._next_chunk() if head_sent else None
            if chunk is not None:
                yield chunk
            elif self.ended:
                yield self._final_frame()
                return
            elif not await self._wait_for_change():
                yield Heartbeat(self.req.request_id, self._load())

    def _next_chunk(self) -> Chunk | None:
        offset, events = self._log.take()
        if not self._log.full:
            self._has_capacity.set()
        if not events:
            return None
        return Chunk(*self._attempt_ids(), offset, events)

    async def _wait_for_change(self) -> bool:
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _attempt_ids(self) -> tuple[str, int, str]:
        return self.req.request_id, self.req.attempt, self.req.incarnation

    def _accepted(self, offset: int, status: int) -> Accepted:
        return Accepted(
            *self._attempt_ids(),
            offset=offset,
            status=status,
            headers=self._headers,
            load=self._load(),
            cfg_revision=self._revision(),
            cached_tokens=self.cached_tokens,
        )

    def _final_frame(self) -> Frame:
        if self._problem is None:
            return End(*self._attempt_ids(), self._log.end, self._load())
        if self._status is None:
            return Refused(
                *self._attempt_ids(), self._problem, self._load(), self._revision()
            )
        return Failed(*self._attempt_ids(), self._log.end, self._problem, self._load())
