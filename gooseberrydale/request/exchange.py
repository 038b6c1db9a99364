"""One attempt of a request on one sidecar, as a sequence of frames.

Lives for one attempt.  It hides a lost connection: when no frame, not even a
heartbeat, came for a while, or the call broke, it attaches to the same answer over
a new connection.  Only when that fails too is the attempt lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc.aio

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.connection.codec import CodecError
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    Accepted,
    AttachReq,
    Chunk,
    DispatchReq,
    Frame,
    Heartbeat,
    Refused,
)
from gooseberrydale.connection.rpc import ATTACH, DISPATCH, Method
from gooseberrydale.errors import Problem

ANY_ATTEMPT = -1


class AttemptLost(Exception):
    """The sidecar can't be reached or no longer knows the attempt.

    ``started`` is True if the sidecar is known to have accepted the attempt.
    ``problem`` is the sidecar's refusal to attach, if it gave one.
    """

    def __init__(
        self, reason: str, started: bool, problem: Problem | None = None
    ) -> None:
        super().__init__(reason)
        self.started = started
        self.problem = problem


class DeadlinePassed(Exception):
    """The caller's deadline passed while the request waited for a frame."""


class _ConnLost(Exception):
    """The call broke or fell silent."""


class Exchange:
    """Reads the frames of one attempt.

    ``position`` returns the offset of the next event that is wanted.
    """

    def __init__(
        self,
        pool: ChannelPool,
        upstream: UpstreamRecord,
        first: DispatchReq | AttachReq,
        position: Callable[[], int],
        silence_s: float,
    ) -> None:
        self.upstream = upstream
        self.accepted = isinstance(first, AttachReq)
        self.dropped = 0
        self.attached = 0
        self._pool = pool
        self._request_id = first.request_id
        self._workspace = first.workspace
        self._attempt = first.attempt if isinstance(first, DispatchReq) else ANY_ATTEMPT
        self._position = position
        self._silence_s = silence_s
        self._channel = pool.get(upstream.address, upstream.incarnation)
        self._attached_at: int | None = None
        self._call: Any = None
        self._first = first

    @property
    def attempt(self) -> int:
        """Number of the attempt; learnt from the first frame after an attach."""
        return self._attempt

    async def next(self, until: float | None) -> Frame:
        """The next frame of this attempt; ``until`` is in loop time.

        Raises :class:`AttemptLost` or :class:`DeadlinePassed`.
        """
        if self._call is None:
            self._start(_method(self._first), self._first)
        while True:
            try:
                frame = await self._read(until)
            except _ConnLost as exc:
                self.attach(str(exc))
                continue
            if self._is_mine(frame):
                return self._note(frame)
            self.dropped += 1

    def attach(self, reason: str) -> None:
        """Ask for the answer again over a new connection, from the position on.

        Raises :class:`AttemptLost` if that was done before at the same position.
        """
        position = self._position()
        if self._attached_at == position:
            raise AttemptLost(reason, self.accepted)
        self._attached_at = position
        self.attached += 1
        self.stop()
        self._channel = self._pool.replace(
            self.upstream.address, self.upstream.incarnation, self._channel
        )
        req = AttachReq(
            request_id=self._request_id,
            incarnation=self.upstream.incarnation,
            workspace=self._workspace,
            offset=position,
        )
        self._start(ATTACH, req)

    def stop(self) -> None:
        """Drop the call; the sidecar goes on until it is told to cancel."""
        if self._call is not None:
            self._call.cancel()

    def _start(self, method: Method, req: DispatchReq | AttachReq) -> None:
        self._call = self._channel.call(method, req)

    async def _read(self, until: float | None) -> Frame:
        now = asyncio.get_running_loop().time()
        wait_s = self._silence_s
        if until is not None:
            wait_s = min(wait_s, until - now)
        try:
            async with asyncio.timeout(wait_s):
                frame = await self._call.read()
        except TimeoutError:
            if until is not None and asyncio.get_running_loop().time() >= until:
                raise DeadlinePassed from None
            raise _ConnLost("no frame came") from None
        except (grpc.aio.AioRpcError, CodecError) as exc:
            raise _ConnLost(_reason(exc)) from exc
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            raise _ConnLost("the channel was closed") from None
        if frame is grpc.aio.EOF:
            raise _ConnLost("the call ended before the answer")
        return frame  # type: ignore[no-any-return]

    def _is_mine(self, frame: Frame) -> bool:
        if frame.request_id != self._request_id:
            return False
        if isinstance(frame, Heartbeat):
            return True
        if frame.incarnation != self.upstream.incarnation:
            return False
        return self._attempt in (ANY_ATTEMPT, frame.attempt)

    def _note(self, frame: Frame) -> Frame:
        if isinstance(frame, Heartbeat):
            return frame
        if isinstance(frame, Refused) and self._attached_at is not None:
            raise AttemptLost("attach refused", self.accepted, frame.problem)
        if isinstance(frame, Accepted | Chunk):
            self.accepted = True
            self._attempt = frame.attempt
        return frame


def _method(req: DispatchReq | AttachReq) -> Method:
    return DISPATCH if isinstance(req, DispatchReq) else ATTACH


def _reason(exc: grpc.aio.AioRpcError | CodecError) -> str:
    if isinstance(exc, grpc.aio.AioRpcError):
        return f"{exc.code().name}: {exc.details()}"
    return str(exc)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
