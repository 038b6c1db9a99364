"""The outermost ASGI layer of an entry: request ids, draining, and faults.

Every response carries a request id.  While the process drains, responses ask the caller
to close the connection, so that its next one goes to another entry; in the last phase
new requests are refused immediately.  An unhandled exception is logged and answered
without details.
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
RETRY_AFTER_S = 1.0
ALWAYS_SERVED = {"/livez", "/readyz", "/metrics"}


class Phase(enum.Enum):
    """The phase of the entry's shutdown.

    While ``UNREADY`` the readiness check fails, but requests are still served.
    """

    SERVING = "serving"
    UNREADY = "unready"
    REFUSING = "refusing"


class EntryMiddleware:
    """Wraps the application; the entry sets ``phase`` during its shutdown."""

    def __init__(
        self, app: ASGIApp, instruments: Instruments, rng: random.Random
    ) -> None:
        self._app = app
        self._instruments = instruments
        self._rng = rng
        self.phase = Phase.SERVING
        self.open_requests = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        response = _Response(f"{self._rng.getrandbits(ID_BITS):032x}", self, send)
        scope.setdefault("state", {})["request_id"] = response.request_id
        self.open_requests += 1
        try:
            await self._serve(response, scope, receive)
        finally:
            self.open_requests -= 1

    async def _serve(self, response: _Response, scope: Scope, receive: Receive) -> None:
        if self.phase is Phase.REFUSING and scope["path"] not in ALWAYS_SERVED:
            reason = problem(SHUTTING_DOWN, retry_after_s=RETRY_AFTER_S)
            self._instruments.count_refusal(reason.code)
            await response.refuse(reason, scope, receive)
            return
        try:
            await self._app(scope, receive, response.send)
        except Exception as exc:
            logger.bind(request_id=response.request_id).exception("request failed")
            if not response.started:
                await response.refuse(problem(INTERNAL, not_run=None), scope, receive)
            # Raising leaves the body unfinished: the caller sees that it is incomplete.
            if not response.complete or isinstance(exc, InvariantError):
                raise


class _Response:
    """Sends a response and adds the headers that every response carries."""

    def __init__(
        self, request_id: str, middleware: EntryMiddleware, send: Send
    ) -> None:
        self.request_id = request_id
        self.started = False
        self.complete = False
        self._middleware = middleware
        self._send = send

    async def send(self, message: Message) -> None:
        """Send ``message`` to the HTTP server."""
        if message["type"] == "http.response.start":
            self.started = True
            headers = MutableHeaders(scope=message)
            headers["x-request-id"] = self.request_id
            if self._middleware.phase is not Phase.SERVING:
                headers["connection"] = "close"
        await self._send(message)
        if message["type"] == "http.response.body":
            self.complete = not message.get("more_body", False)

    async def refuse(self, reason: Problem, scope: Any, receive: Receive) -> None:
        """Send the error response to a refused request."""
        await refusal(reason, self.request_id)(scope, receive, self.send)
