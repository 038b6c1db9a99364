"""A plain service whose calls, such as bids, may not be repeated.

It runs whatever comes and keeps a record of every run, so that a test can tell
whether one ran twice.  Lives as long as its process.
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
    """One run of one call; ``finished`` tells whether its answer was made."""

    run: int
    method: str
    path: str
    request_id: str
    attempt: str
    body_digest: str
    finished: bool = False


class Service:
    """Runs calls after ``delay_s`` seconds and records them."""

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._incarnation = uuid.uuid4().hex
        self._runs: list[ServiceRun] = []

    async def serve(self, req: Request) -> Response:
        """Run one call; the run counts from here on, whether or not it ends."""
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
        """Say who this is."""
        return json_response({"incarnation": self._incarnation, "ready": True})

    async def record(self, _req: Request) -> Response:
        """Return every run."""
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
