"""An example service whose calls, such as bids, may not be repeated.

It runs every call and records each run, so that a test can detect a call that ran
twice.
"""

from __future__ import annotations

import asyncio
import hashlib
import uuid
from dataclasses import dataclass

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.example.http_json import json_response

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


@dataclass(slots=True)
class ServiceRun:
    """One run of a call; ``finished`` is set once its answer is ready."""

    run: int
    method: str
    path: str
    request_id: str
    attempt: str
    body_digest: str
    finished: bool = False


class Service:
    """Records each call and answers it after ``delay_s`` seconds."""

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._incarnation = uuid.uuid4().hex
        self._runs: list[ServiceRun] = []

    async def serve(self, req: Request) -> Response:
        """Run one call; the run is recorded at its start, even if it never finishes."""
        body = await req.body()
        run = ServiceRun(
            run=len(self._runs) + 1,
            method=req.method,
            path=req.url.path,
            request_id=req.headers.get("x-request-id", ""),
            attempt=req.headers.get("x-attempt", ""),
            body_digest=hashlib.sha256(body).hexdigest(),
        )
        self._runs.append(run)
        await asyncio.sleep(self._delay_s)
        run.finished = True
        return json_response(run)

    async def health(self, _req: Request) -> Response:
        """Return the incarnation of the service; it is always ready."""
        return json_response({"incarnation": self._incarnation, "ready": True})

    async def record(self, _req: Request) -> Response:
        """Return all recorded runs."""
        return json_response({"incarnation": self._incarnation, "runs": self._runs})


def service_app(delay_s: float = 0.0) -> Starlette:
    """Return the app of a service that takes ``delay_s`` seconds for each call."""
    service = Service(delay_s)
    return Starlette(
        routes=[
            Route("/health", service.health),
            Route("/record", service.record),
            Route("/{path:path}", service.serve, methods=METHODS),
        ]
    )
