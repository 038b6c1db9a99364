"""Stand-in of a model engine that makes long streams and carries out orders.

It makes one event at a time, reports its runs, loads weights when it is ordered to, and
goes on with a stream at ``Last-Event-Id``.  Most engines drop a request when its channel
closes; one with ``drops`` False is one of the others, and finishes its run.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http_calls import call_json

HEARTBEAT_S = 1.2
LOAD_S = 0.42
TOKEN_S = 0.05


@dataclass
class Run:
    """One run of a request; ``ended`` is None while the engine works on it."""

    request: str
    engine: str
    began: float
    first_event: int
    ended: float | None = None


class StreamEngine:
    """One engine of ``service``, which serves ``model``."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        controls: list[str],
        record: Callable[[str], None],
        model: str,
        events: int,
        drops: bool = True,
        slots: int = 48,
        queue: int = 144,
    ) -> None:
        self.name, self.service, self.zone, self.model = name, service, zone, model
        self.events, self.drops = events, drops
        self.slots, self.queue = slots, queue
        self._slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.version = 1
        self.runs: list[Run] = []
        self.address = ""
        self._orders = 0
        self._busy = False
        self._loading: asyncio.Task[None] | None = None
        self._seq = 0
        self._controls = controls
        self._record = record
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self._beats = asyncio.create_task(self._beat())

    async def close(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    @property
    def active(self) -> int:
        return sum(run.ended is None for run in self.runs)

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            about = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._seq,
                "stage": "colocated",
                "models": self._models(),
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
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").strip().split("\r\n")
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                size = int(fields.get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._answer(first.split()[1], fields, body, reader, writer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        target: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        not_run = {"X-Not-Executed": "1"}
        if fields.get("x-expect-instance", self.name) != self.name:
            self._send(writer, fields, 421, b"{}", not_run)
        elif target.startswith("/v1/report"):
            report = {
                "stage": "colocated",
                "models": self._models(),
                "busy": self._busy,
                "seq": self._orders,
                "queued": self.waiting,
                "active": self.active,
                "kvUsed": 0,
                "kvTotal": 122994,
                "handles": 0,
            }
            self._send(writer, fields, 200, json.dumps(report).encode())
        elif target == "/v1/order":
            self._send(writer, fields, self._order(json.loads(body)), b"{}")
        elif "x-request-id" not in fields:
            self._send(writer, fields, 400, b"{}", not_run)
        elif fields.get("x-expect-version", str(self.version)) != str(self.version):
            self._send(writer, fields, 421, b"{}", not_run)
        elif self._busy or self.waiting >= self.queue:
            self._send(writer, fields, 503, b"{}", not_run)
        else:
            await self._wait_and_run(fields, reader, writer)

    def _order(self, order: dict[str, Any]) -> int:
        if self._busy or order.get("precondition", self._orders) != self._orders:
            return 409
        if order["version"] <= self.version:
            return 200
        self._orders += 1
        self._busy = True
        self._record(f"{self.name} carries out {order['op']} {order['version']}")
        self._loading = asyncio.create_task(self._load(order))
        return 202

    async def _load(self, order: dict[str, Any]) -> None:
        while order.get("mode") == "wait" and self.active:
            await asyncio.sleep(0.02)
        await asyncio.sleep(LOAD_S)
        self.version = order["version"]
        self._busy = False
        self._record(f"{self.name} serves version {self.version}")

    async def _wait_and_run(
        self,
        fields: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request once there is a slot; leave it if its channel closes before."""
        self.waiting += 1
        try:
            while self._slots.locked():
                await asyncio.sleep(0.01)
                if reader.at_eof():
                    raise EOFError
                if self._busy:
                    refused = {"X-Not-Executed": "1"}
                    self._send(writer, fields, 503, b"{}", refused)
                    return
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await self._run(fields, reader, writer)
        finally:
            self._slots.release()

    async def _run(
        self,
        fields: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        request = fields["x-request-id"]
        first = int(fields.get("last-event-id", "0")) + 1
        run = Run(request, self.name, loop.time(), first)
        self.runs.append(run)
        self._record(f"{self.name} begins {request} at event {first}")
        extra = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Response-Stamp": f"stamp.{request}",
            "X-Weight-Versions": str(self.version),
        }
        is_open = True
        self._send(writer, fields, 200, None, extra)
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(TOKEN_S)
                is_open = is_open and not (reader.at_eof() or writer.is_closing())
                if not is_open and self.drops:
                    raise EOFError
                if is_open:
                    event = f"id: {number}\ndata: token {number}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if not is_open:
                raise EOFError
            writer.write(b"0\r\n\r\n")
        finally:
            run.ended = loop.time()
            self._record(
                f"{self.name} ends {request}, its channel is"
                f" {'open' if is_open else 'closed'}"
            )

    def _send(
        self,
        writer: asyncio.StreamWriter,
        fields: dict[str, str],
        status: int,
        body: bytes | None,
        extra: dict[str, str] | None = None,
    ) -> None:
        """Send a head, and a body of known length unless it is None."""
        headers = {
            "X-Instance-Id": self.name,
            "X-Load-Report": f"{self.active},{self.waiting},{self.slots}",
            **(extra or {}),
        }
        if body is not None:
            headers["Content-Length"] = str(len(body))
        if "x-request-id" in fields:
            headers["X-Request-Id"] = fields["x-request-id"]
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join((*lines, "", "")).encode("latin-1") + (body or b""))
