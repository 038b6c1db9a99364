"""One attempt at the sidecar: its answer so far, and whoever reads it.

Lives from the dispatch until the answer is no longer kept.  The task that talks to
the upstream writes; the handler of a dispatch or an attach reads.  There is one
reader at a time, and a newer one takes over from an older one, whose connection
may have gone silent.
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
from gooseberrydale.request.replay import ReplayLog

HEARTBEAT_S = 1.0


class Attempt:
    """The answer of one attempt, from the writer's and from the reader's side."""

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
        self._log = ReplayLog(req.first_offset, replay_bytes)
        self._load = load
        self._revision = revision
        self._turn = 0
        self._news = asyncio.Event()
        self._room = asyncio.Event()

    # The writer's side.

    @property
    def broke(self) -> bool:
        """Whether it has ended without its whole answer, and may have run."""
        return self._problem is not None and self._problem.not_run is not True

    @property
    def answered(self) -> bool:
        """True once the head of the answer is known."""
        return self._status is not None

    def head(self, status: int, headers: Headers) -> None:
        """Set status and headers of the answer."""
        self._status = status
        self._headers = headers
        if self.on_head is not None:
            self.on_head(status, headers)
        self._news.set()

    async def write(self, events: Sequence[bytes]) -> None:
        """Append events; wait while the reader is too far behind."""
        if self.on_first_part is not None:
            self.on_first_part()
            self.on_first_part = None
        for event in events:
            self._log.append(event)
        self._news.set()
        while self._log.full:
            self._room.clear()
            await self._room.wait()

    def end(self, problem: Problem | None = None) -> None:
        """End the answer: whole, or for the reason of ``problem``."""
        if self.ended:
            raise InvariantError(f"attempt {self.key} ended twice")
        if problem is None and self._status is None:
            raise InvariantError(f"attempt {self.key} ended whole before its head")
        self.ended = True
        self._problem = problem
        self.idle_since = asyncio.get_running_loop().time()
        self._news.set()

    # The reader's side.

    def holds(self, offset: int) -> bool:
        """True if a reader may go on at ``offset``."""
        return self._log.holds(offset)

    async def frames(self, offset: int) -> AsyncGenerator[Frame, None]:
        """Yield the answer from ``offset`` on, with heartbeats in between."""
        self._turn += 1
        turn = self._turn
        self._log.rewind(offset)
        self._news.set()
        self.readers += 1
        try:
            async with aclosing(self._read(turn, offset)) as frames:
                async for frame in frames:
                    yield frame
        finally:
            self.readers -= 1
            self.idle_since = asyncio.get_running_loop().time()

    async def _read(self, turn: int, offset: int) -> AsyncGenerator[Frame, None]:
        head_sent = False
        while turn == self._turn:
            self._news.clear()
            if self._status is not None and not head_sent:
                head_sent = True
                yield self._accepted(offset, self._status)
                continue
            chunk = self._next_chunk() if head_sent else None
            if chunk is not None:
                yield chunk
            elif self.ended:
                yield self._last_frame()
                return
            elif not await self._wait_news():
                yield Heartbeat(self.req.request_id, self._load())

    def _next_chunk(self) -> Chunk | None:
        offset, events = self._log.take()
        if not self._log.full:
            self._room.set()
        if not events:
            return None
        return Chunk(*self._triple(), offset, events)

    async def _wait_news(self) -> bool:
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await self._news.wait()
        except TimeoutError:
            return False
        return True

    def _triple(self) -> tuple[str, int, str]:
        return self.req.request_id, self.req.attempt, self.req.incarnation

    def _accepted(self, offset: int, status: int) -> Accepted:
        return Accepted(
            *self._triple(),
            offset=offset,
            status=status,
            headers=self._headers,
            load=self._load(),
            cfg_revision=self._revision(),
            cached_tokens=self.cached_tokens,
        )

    def _last_frame(self) -> Frame:
        if self._problem is None:
            return End(*self._triple(), self._log.end, self._load())
        if self._status is None:
            return Refused(
                *self._triple(), self._problem, self._load(), self._revision()
            )
        return Failed(*self._triple(), self._log.end, self._problem, self._load())
