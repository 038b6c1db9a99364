"""The outermost layer of the HTTP interface: ids, draining, and faults.

Every answer carries a request id.  While the process drains, answers ask the caller
to open its next connection elsewhere; once it refuses, new requests get their final
answer at once.  A fault of the router itself becomes an answer without details.
"""

from __future__ import annotations

import enum
import random
from typing import Any

from loguru import logger
from starlette.datastructures import MutableHeaders
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from gooseberrydale.errors import (
    INTERNAL,
    SHUTTING_DOWN,
    InvariantError,
    Problem,
    problem,
)
from gooseberrydale.process.entry.responses import refusal
from gooseberrydale.process.instruments import Instruments

ID_BITS = 128
COME_BACK_S = 1.0
ALWAYS_SERVED = {"/livez", "/readyz", "/metrics"}


class Phase(enum.Enum):
    """How far the shutdown has come."""

    SERVING = "serving"
    UNREADY = "unready"
    REFUSING = "refusing"


class Gatekeeper:
    """Wraps the application; ``phase`` is set by the process."""

    def __init__(
        self, app: ASGIApp, instruments: Instruments, rng: random.Random
    ) -> None:
        self._app = app
        self._instruments = instruments
        self._rng = rng
        self.phase = Phase.SERVING
        self.open_requests = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        answer = _Answer(f"{self._rng.getrandbits(ID_BITS):032x}", self, send)
        scope.setdefault("state", {})["request_id"] = answer.request_id
        self.open_requests += 1
        try:
            await self._serve(answer, scope, receive)
        finally:
            self.open_requests -= 1

    async def _serve(self, answer: _Answer, scope: Scope, receive: Receive) -> None:
        if self.phase is Phase.REFUSING and scope["path"] not in ALWAYS_SERVED:
            why = problem(SHUTTING_DOWN, retry_after_s=COME_BACK_S)
            self._instruments.count_refusal(why.code)
            await answer.refuse(why, scope, receive)
            return
        try:
            await self._app(scope, receive, answer.send)
        except Exception as exc:
            logger.bind(request_id=answer.request_id).exception("request failed")
            if not answer.started:
                await answer.refuse(problem(INTERNAL, not_run=None), scope, receive)
            # Leaving the body open makes the caller see that it is not whole.
            if not answer.complete or isinstance(exc, InvariantError):
                raise


class _Answer:
    """Adds the headers that every answer carries."""

    def __init__(self, request_id: str, keeper: Gatekeeper, send: Send) -> None:
        self.request_id = request_id
        self.started = False
        self.complete = False
        self._keeper = keeper
        self._send = send

    async def send(self, message: Message) -> None:
        """Pass ``message`` on to the server."""
        if message["type"] == "http.response.start":
            self.started = True
            headers = MutableHeaders(scope=message)
            headers["x-request-id"] = self.request_id
            if self._keeper.phase is not Phase.SERVING:
                headers["connection"] = "close"
        await self._send(message)
        if message["type"] == "http.response.body":
            self.complete = not message.get("more_body", False)

    async def refuse(self, why: Problem, scope: Any, receive: Receive) -> None:
        """Send the final answer to a request that is refused."""
        await refusal(why, self.request_id)(scope, receive, self.send)
