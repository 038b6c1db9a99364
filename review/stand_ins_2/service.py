"""Stand-in of an application service, by the rules of PROTOCOL.md.

It runs a few requests at once, queues a few more, rejects the rest as not executed, and
echoes the id of each request.  It can be made faulty in one way that the page names: for
a small part of its answers it sends additional bytes after the complete response, late,
at the point where the next response is expected.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable

from http_calls import call_json

HEARTBEAT_S = 1.2
SLOTS, QUEUE = 6, 24
WORK_S = 0.045
KEEP_ALIVE_S = 5


class Service:
    """One engine of a service; ``runs`` counts how often each request began to run."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        controls: list[str],
        record: Callable[[str], None],
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.runs: Counter[str] = Counter()
        # When each request began to run, by the event loop's clock.
        self.began: dict[str, float] = {}
        self.address = ""
        # After every answer whose number is a multiple of this, 0 for none.
        self.spoil_every = 0
        self.extra = b""
        self.answers = self.spoiled = 0
        self._controls = controls
        self._record = record
        self._held = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self._beats = asyncio.create_task(self._beat())

    def stop_announcing(self) -> None:
        """Send no more heartbeats; the engine serves on."""
        if self._beats is not None:
            self._beats.cancel()

    async def close(self) -> None:
        self.stop_announcing()
        if self._server is not None:
            self._server.close()

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            about = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._seq,
            }
            target = f"/v1/Instances.Heartbeat/{self.name}"
            for address in self._controls:
                answer = await call_json(address, "POST", target, about)
                if answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, *lines = head.decode("latin-1").strip().split("\r\n")
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                await reader.readexactly(int(fields.get("content-length", "0")))
                if extra:
                    writer.write(extra)
                    await writer.drain()
                    self._record(
                        f"{self.name} sends the additional bytes where the answer to"
                        f" {fields.get('x-request-id')} is expected"
                    )
                writer.write(await self._answer(fields))
                await writer.drain()
                self.answers += 1
                extra = b""
                if self.spoil_every and self.answers % self.spoil_every == 0:
                    self.spoiled += 1
                    extra = self.extra
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, fields: dict[str, str]) -> bytes:
        request = fields.get("x-request-id")
        if request is None:
            return self._message("400 Bad Request", None, b"{}", "X-Not-Executed: 1")
        if fields.get("x-expect-instance", self.name) != self.name:
            status = "421 Misdirected Request"
            return self._message(status, request, b"{}", "X-Not-Executed: 1")
        if self._held >= SLOTS + QUEUE:
            status = "503 Service Unavailable"
            return self._message(status, request, b"{}", "X-Not-Executed: 1")
        self._held += 1
        try:
            async with self._slots:
                self.runs[request] += 1
                self.began[request] = asyncio.get_running_loop().time()
                self._record(f"{self.name} runs {request}")
                await asyncio.sleep(WORK_S)
        finally:
            self._held -= 1
        body = json.dumps({"confirmed": request}).encode()
        return self._message("200 OK", request, body, f"X-Response-Stamp: stamp.{request}")

    def _message(self, status: str, request: str | None, body: bytes, *more: str) -> bytes:
        load = f"{min(self._held, SLOTS)},{max(0, self._held - SLOTS)},{SLOTS}"
        lines = [
            f"HTTP/1.1 {status}",
            *([] if request is None else [f"X-Request-Id: {request}"]),
            f"X-Instance-Id: {self.name}",
            f"X-Load-Report: {load}",
            f"Keep-Alive: timeout={KEEP_ALIVE_S}",
            f"Content-Length: {len(body)}",
            *more,
        ]
        return "\r\n".join((*lines, "", "")).encode("latin-1") + body
