"""Sends the answer to one caller's request over HTTP.

The answer is produced and sent in a task of its own, which is cancelled between two
events when the caller disconnects, or when the entry shuts down and the caller is to
continue the stream at another entry.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Send

from gooseberrydale.errors import (
    OUTCOME_UNKNOWN,
    SHUTTING_DOWN,
    STREAM_HANDED_OVER,
    Problem,
    ProblemError,
    problem,
)
from gooseberrydale.process.entry.responses import refusal
from gooseberrydale.process.error_body import error_object
from gooseberrydale.process.instruments import Instruments
from gooseberrydale.request.event_id import EventId
from gooseberrydale.request.job import AnswerSource, Events, Head, Part

SSE_HEADERS = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
    (b"x-accel-buffering", b"no"),
)
DROPPED_HEADERS = {
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "server",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
}
DONE_EVENT = b"data: [DONE]\n\n"
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class CallInfo:
    """Identifies a request in responses and metrics.

    ``may_resend`` is true if the caller may safely send the same request again: it is
    repeatable or carries an Idempotency-Key.
    """

    request_id: str
    profile: str
    may_resend: bool


class Call:
    """Sends the answer to one request; call ``serve`` once."""

    def __init__(
        self,
        source: AnswerSource,
        info: CallInfo,
        instruments: Instruments,
        req: Request,
        send: Send,
    ) -> None:
        self._source = source
        self._info = info
        self._instruments = instruments
        self._scope = req.scope
        self._receive = req.receive
        self._send = send
        self._task: asyncio.Task[None] | None = None
        self._head: Head | None = None
        self._last_id: EventId | None = None
        self._handing_over = False
        self._started_at = asyncio.get_running_loop().time()
        self._has_sent_data = False

    async def serve(self) -> None:
        """Send the answer, unless the caller disconnects or the call is handed over."""
        self._task = asyncio.create_task(self._run())
        disconnect = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait(
                {self._task, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect.cancel()
            self._task.cancel()
            await asyncio.gather(disconnect, self._task, return_exceptions=True)
        if not self._task.cancelled():
            self._task.result()
        elif self._handing_over:
            await self._end_after_hand_over()
        else:
            self._count("caller_gone")

    def hand_over(self) -> None:
        """End the call, so that the caller can continue at another entry."""
        self._handing_over = True
        if self._is_streaming or not self._info.may_resend:
            self._source.hand_over()
        if self._task is not None:
            self._task.cancel()

    @property
    def _is_streaming(self) -> bool:
        return self._head is not None and self._head.streamed

    async def _run(self) -> None:
        try:
            async with contextlib.aclosing(self._source.answer()) as parts:
                async for part in parts:
                    await self._send_part(part)
        except ProblemError as exc:
            await self._end_with_error(exc.problem)
            return
        if self._is_streaming:
            await self._send_body(DONE_EVENT, more=False)
        self._count("ok")

    async def _send_part(self, part: Part) -> None:
        if isinstance(part, Head):
            self._head = part
            if part.streamed:
                await self._send_start()
        elif self._is_streaming:
            await self._send_events(part)
        else:
            await self._send_complete(part)

    async def _send_events(self, part: Events) -> None:
        if not part.events:
            return
        lines = []
        for offset, event in enumerate(part.events, part.offset):
            event_id = EventId(
                part.upstream, part.incarnation, self._info.request_id, offset
            )
            lines.append(b"id: %b\ndata: %b\n\n" % (str(event_id).encode(), event))
        data = b"".join(lines)
        await self._send_body(data, more=True)
        self._last_id = event_id
        self._record_sent(len(data))

    async def _send_complete(self, part: Events) -> None:
        assert self._head is not None
        body = b"".join(part.events)
        self._record_sent(len(body))
        response = Response(body, status_code=self._head.status)
        for name, value in self._head.headers:
            if name.lower() not in DROPPED_HEADERS:
                response.headers.append(name, value)
        await response(self._scope, self._receive, self._send)

    def _record_sent(self, size: int) -> None:
        tally = self._instruments.tally
        tally.chunks += 1
        tally.chunk_bytes += size
        if not self._has_sent_data:
            self._has_sent_data = True
            elapsed_s = asyncio.get_running_loop().time() - self._started_at
            self._instruments.observe_ttft(self._info.profile, elapsed_s)

    def _count(self, outcome: str) -> None:
        self._instruments.count_request(self._info.profile, outcome)

    async def _end_with_error(self, reason: Problem) -> None:
        self._count(reason.code)
        if self._is_streaming:
            await self._send_body(self._error_event(reason), more=False)
            return
        response = refusal(reason, self._info.request_id)
        await response(self._scope, self._receive, self._send)

    async def _end_after_hand_over(self) -> None:
        if self._is_streaming:
            reason = problem(STREAM_HANDED_OVER, not_run=False, retry_after_s=0.0)
        elif self._info.may_resend:
            reason = problem(SHUTTING_DOWN, not_run=None, retry_after_s=RETRY_AFTER_S)
        else:
            reason = problem(OUTCOME_UNKNOWN, not_run=None)
        await self._end_with_error(reason)

    def _error_event(self, reason: Problem) -> bytes:
        data = msgspec.json.encode(error_object(reason, self._info.request_id))
        # Without an id the client could not resume after its last data event.
        id_line = f"id: {self._last_id}\n".encode() if self._last_id else b""
        return b"%bdata: %b\n\n" % (id_line, data)

    async def _send_start(self) -> None:
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": list(SSE_HEADERS),
            }
        )

    async def _send_body(self, body: bytes, *, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    async def _wait_for_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
