"""One attempt of a request on one sidecar, as a sequence of frames.

Lives for one attempt and owns its call.  It tells a call that broke from one that
fell silent; what follows is decided elsewhere.  It can be attached again, over a new
connection, to the same attempt.
"""

from __future__ import annotations

import asyncio
from typing import Any

import grpc.aio

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

ATTACHES_AT_ONE_OFFSET = 3
LATEST_ATTEMPT = -1


class ExchangeLost(Exception):
    """No more frames will come by this call; ``cause`` says why.

    ``replaced`` is True if the sidecar ended the call properly before the answer:
    a newer reader took over.
    """

    def __init__(self, cause: Cause, reason: str, *, replaced: bool = False) -> None:
        super().__init__(reason)
        self.cause = cause
        self.replaced = replaced


class DeadlinePassed(Exception):
    """The caller's deadline passed while the request waited."""


class Exchange:
    """Reads the frames of one attempt; ``dispatch`` or ``attach`` it first.

    ``attempt`` is ``LATEST_ATTEMPT`` if the number is not known.
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
        self._heard = False
        self._attached_at = -1
        self._attaches = 0

    @property
    def sent(self) -> bool:
        """Whether the attempt may have left this process."""
        return self._call is not None

    @property
    def attach_tried(self) -> bool:
        """Whether attaching was tried in vain since the last frame."""
        if self._attaches == 0:
            return False
        return not self._heard or self._attaches >= ATTACHES_AT_ONE_OFFSET

    async def dispatch(self, req: DispatchReq, until: float | None) -> None:
        """Send the attempt; if no connection stands it is known not to be sent."""
        self._channel = self._pool.take(self.sidecar)
        await self._connect(self._channel, until)
        self._start(self._channel, DISPATCH, req)

    def attach(self, offset: int) -> None:
        """Ask for the events from ``offset`` on over a new connection."""
        self._attaches = self._attaches + 1 if offset == self._attached_at else 1
        self._attached_at = offset
        if self._call is not None:
            self._call.cancel()
        if self._channel is None:
            self._channel = self._pool.take(self.sidecar)
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

    async def next(self, until: float | None) -> Frame:
        """The next frame of this request; ``until`` is in loop time.

        Raises :class:`ExchangeLost` or :class:`DeadlinePassed`.
        """
        try:
            async with SilenceLimit(self._silence_s, until):
                frame = await self._call.read()
        except TimeoutError:
            _check_deadline(until)
            raise ExchangeLost(Cause.SILENT, "no frame came") from None
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
        # A refusal to attach is not a sign of the attempt.
        self._heard = self._heard or not isinstance(frame, Refused)
        return frame  # type: ignore[no-any-return]

    def is_current(self, frame: Frame) -> bool:
        """Whether ``frame`` is from the incarnation of the sidecar that was asked."""
        if frame.request_id != self._request_id:
            return False
        if isinstance(frame, Heartbeat):
            return True
        return frame.incarnation == self.sidecar.incarnation

    def stop(self) -> None:
        """Drop the call; the sidecar goes on until it is told to cancel."""
        if self._call is not None:
            self._call.cancel()
        if self._channel is not None:
            self._pool.give_back(self._channel)
            self._channel = None

    async def _connect(self, channel: RpcChannel, until: float | None) -> None:
        try:
            async with SilenceLimit(self._silence_s, until):
                if await channel.connect():
                    return
        except TimeoutError:
            _check_deadline(until)
        self._channel = self._pool.replace(self.sidecar, channel)
        raise ExchangeLost(Cause.NOT_SENT, "no connection to the sidecar")

    def _start(
        self, channel: RpcChannel, method: Method, req: DispatchReq | AttachReq
    ) -> None:
        self._heard = False
        self._call = channel.call(method, req)


def _check_deadline(until: float | None) -> None:
    if until is not None and asyncio.get_running_loop().time() >= until:
        raise DeadlinePassed from None


def _is_cancelled() -> bool:
    """Whether the own task is cancelled, not only the call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
