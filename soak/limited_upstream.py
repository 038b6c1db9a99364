"""A plain upstream with few slots that changes its speed, and records what it ran.

It speaks the HTTP of the deployment's upstreams: it refuses what it can't hold as not
executed, and states in each answer how slow it is.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from tests.builders_endless import OWN_ID

SLOTS = 6
QUEUE = 24
RUN_S = 0.15
"""Long enough that the callers of a soak run, on a busy machine, fill all slots."""

SECTION_BYTES = 16_384

Head = dict[str, str]


@dataclass
class LimitedUpstream:
    """Serves on loopback; ``runs`` has the id of each request at its start.

    ``bodies`` counts the runs by body.  ``overflows`` counts requests that arrived
    while ``SLOTS + QUEUE`` were held.  ``slowness`` multiplies the run time; ``stated``
    is what its answers say of it.  ``endless`` is what its answers begin with and what
    then follows without end, if set; such a request counts as one that ran.
    """

    name: str
    slowness: float = 1.0
    stated: float = 1.0
    runs: list[str] = field(default_factory=list)
    bodies: Counter[str] = field(default_factory=Counter)
    overflows: int = 0
    endless: tuple[bytes, bytes] | None = None
    address: str = ""

    def __post_init__(self) -> None:
        self._held = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").strip().split("\r\n")
                pairs = (line.partition(":") for line in lines)
                fields = {name.lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if self.endless is not None:
                    await self._answer_endlessly(fields, body.decode(), writer)
                    return
                writer.write(await self._answer(first, fields, body.decode()))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer_endlessly(
        self, fields: Head, body: str, writer: asyncio.StreamWriter
    ) -> None:
        assert self.endless is not None
        begin, repeated = self.endless
        request_id = fields.get("x-request-id", "")
        if request_id:
            self.runs.append(request_id)
            self.bodies[body] += 1
        writer.write(begin.replace(OWN_ID, request_id.encode()))
        data = repeated * (SECTION_BYTES // len(repeated))
        while self.endless is not None:
            writer.write(data)
            await writer.drain()

    async def _answer(self, first: str, fields: Head, body: str) -> bytes:
        request_id = fields.get("x-request-id", "")
        if "/v1/report" in first or not request_id:
            return self._message("404 Not Found", request_id)
        if self._held >= SLOTS + QUEUE:
            self.overflows += 1
            status = "503 Service Unavailable"
            return self._message(status, request_id, "x-not-executed: 1")
        self._held += 1
        try:
            async with self._slots:
                self.runs.append(request_id)
                self.bodies[body] += 1
                await asyncio.sleep(RUN_S * self.slowness)
                return self._message("200 OK", request_id)
        finally:
            self._held -= 1

    def _message(self, status: str, request_id: str, *headers: str) -> bytes:
        running = min(self._held, SLOTS)
        percent = round(self.stated * 100)
        load = f"{running},{self._held - running},{SLOTS},{percent}"
        lines = (
            f"HTTP/1.1 {status}",
            f"x-request-id: {request_id}",
            f"x-instance-id: {self.name}",
            "x-response-stamp: 1",
            f"x-load-report: {load}",
            "content-length: 0",
            *headers,
        )
        return "\r\n".join((*lines, "", "")).encode("latin-1")
