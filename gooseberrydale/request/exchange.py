"""Reads one attempt of a request from one sidecar as a sequence of frames.

An exchange belongs to one attempt and owns its call.  It distinguishes a call that
failed from one on which no frame arrives; the caller decides how to proceed.  It can
attach to the same attempt again over a new connection.
"""

from __future__ import annotations

import asyncio
from typing import Any

import grpc.aio
from loguru import logger

from gooseberrydale.connection.channels import ChannelPool, Endpoint
from gooseberrydale.connection.codec import CodecError
from gooseberrydale.connection.messages import (
    AttachReq,
    DispatchReq,
    Frame,
    Heartbeat,
    Refused,
)
from gooseberrydale.connection.rpc import ATTACH, DISPATCH, Method, RpcChannel
from gooseberrydale.request.retry import Cause
from gooseberrydale.request.silence_limit import SilenceLimit

CONNECT_TIMEOUT_S = 0.5
"""Leaves time to try another sidecar within the objective of most requests."""

MAX_ATTACHES_PER_OFFSET = 3
LATEST_ATTEMPT = -1


class ExchangeLost(Exception):
    """No more frames will arrive on this call, for the reason ``cause``.

    ``replaced`` is True if the sidecar closed the call normally before the end of the
    answer, which means that a newer reader took over.
    """

    def __init__(self, cause: Cause, reason: str, *, replaced: bool = False) -> None:
        super().__init__(reason)
        self.cause = cause
        self.replaced = replaced


class DeadlinePassed(Exception):
    """The deadline of the request passed while it waited for a frame."""


class Exchange:
    """Reads the frames of one attempt; call ``dispatch`` or ``attach`` first.

    ``attempt`` is ``LATEST_ATTEMPT`` if the number of the attempt is not known.
    """

    def __init__(
        self,
        pool: ChannelPool,
        sidecar: Endpoint,
        request_id: str,
        attempt: int,
        workspace: str,
        silence_s: float,
    ) -> None:
        self.sidecar = sidecar
        self._pool = pool
        self._request_id = request_id
        self._attempt = attempt
        self._workspace = workspace
        self._silence_s = silence_s
        self._channel: RpcChannel | None = None
        self._call: Any = None
        self._received_frame = False
        self._attach_offset = -1
        self._attach_count = 0

    @property
    def sent(self) -> bool:
        """Whether the attempt may have left this process."""
        return self._call is not None

    @property
    def attach_exhausted(self) -> bool:
        """Whether attaching again at the same offset is useless.

        This is so if no frame arrived since the last attach, or if the limit of
        attaches at one offset is reached.
        """
        if self._attach_count == 0:
            return False
        return not self._received_frame or self._attach_count >= MAX_ATTACHES_PER_OFFSET

    async def dispatch(self, req: DispatchReq, deadline: float | None) -> None:
        """Send the attempt to the sidecar.

        Without a connection nothing is sent, and ``ExchangeLost`` says ``NOT_SENT``.
        """
        self._channel = self._pool.acquire(self.sidecar)
        await self._connect(self._channel, deadline)
        self._start(self._channel, DISPATCH, req)

    def attach(self, offset: int) -> None:
        """Request the events from ``offset`` on over a new connection."""
        self._attach_count = (
            self._attach_count + 1 if offset == self._attach_offset else 1
        )
        self._attach_offset = offset
        if self._call is not None:
            self._call.cancel()
        if self._channel is None:
            self._channel = self._pool.acquire(self.sidecar)
        else:
            self._channel = self._pool.replace(self.sidecar, self._channel)
        req = AttachReq(
            request_id=self._request_id,
            incarnation=self.sidecar.incarnation,
            workspace=self._workspace,
            offset=offset,
            attempt=self._attempt,
        )
        self._start(self._channel, ATTACH, req)

    async def next(self, deadline: float | None) -> Frame:
        """Return the next frame; ``deadline`` is in loop time, None for none.

        Raises :class:`ExchangeLost` or :class:`DeadlinePassed`.
        """
        try:
            async with SilenceLimit(self._silence_s, deadline):
                frame = await self._call.read()
        except TimeoutError:
            _check_deadline(deadline)
            raise ExchangeLost(
                Cause.SILENT, "no frame arrived within the silence limit"
            ) from None
        except grpc.aio.AioRpcError as exc:
            reason = f"{exc.code().name}: {exc.details()}"
            raise ExchangeLost(Cause.LOST, reason) from exc
        except CodecError as exc:
            raise ExchangeLost(Cause.LOST, str(exc)) from exc
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            raise ExchangeLost(Cause.LOST, "the channel was closed") from None
        if frame is grpc.aio.EOF:
            raise ExchangeLost(Cause.LOST, "a newer reader took over", replaced=True)
        # A refused attach does not prove that the attempt still runs.
        self._received_frame = self._received_frame or not isinstance(frame, Refused)
        return frame  # type: ignore[no-any-return]

    def is_current(self, frame: Frame) -> bool:
        """Whether ``frame`` is of this request and of the expected incarnation."""
        if frame.request_id != self._request_id:
            return False
        if isinstance(frame, Heartbeat):
            return True
        return frame.incarnation == self.sidecar.incarnation

    def stop(self) -> None:
        """Close the call; the attempt continues until it is cancelled."""
        if self._call is not None:
            self._call.cancel()
        if self._channel is not None:
            self._pool.release(self._channel)
            self._channel = None

    async def _connect(self, channel: RpcChannel, deadline: float | None) -> None:
        try:
            limit_s = min(CONNECT_TIMEOUT_S, self._silence_s)
            async with SilenceLimit(limit_s, deadline):
                if await channel.connect():
                    return
        except TimeoutError:
            _check_deadline(deadline)
        logger.debug("no connection to the sidecar at {}", self.sidecar.address)
        self._channel = self._pool.replace(self.sidecar, channel)
        raise ExchangeLost(Cause.NOT_SENT, "no connection to the sidecar")

    def _start(
        self, channel: RpcChannel, method: Method, req: DispatchReq | AttachReq
    ) -> None:
        self._received_frame = False
        self._call = channel.call(method, req)


def _check_deadline(deadline: float | None) -> None:
    if deadline is not None and asyncio.get_running_loop().time() >= deadline:
        raise DeadlinePassed from None


def _is_cancelled() -> bool:
    """Whether the current task is being cancelled, and not only its call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
