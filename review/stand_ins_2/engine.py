"""Stand-in of a model engine, by the rules of PROTOCOL.md.

An engine keeps the parts of prompts by cache salt, model and the parts before them, and
remembers which request made each.  It checks the instance and the version that a
request expects.  It reports itself to control, as engines do.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from http_calls import call_json

HEARTBEAT_S = 1.2


@dataclass
class Made:
    """A cached part and what made it."""

    request: str
    tenant: str
    version: int
    salt: str


@dataclass
class Run:
    """A request that an engine ran; ``reused`` are the parts that it found cached."""

    engine: str
    request: str
    tenant: str
    salt: str
    reused: list[Made] = field(default_factory=list)


class Engine:
    """One engine of ``service``, which serves ``model``."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        controls: list[str],
        record: Callable[[str], None],
        model: str = "",
    ) -> None:
        self.name, self.service, self.zone, self.model = name, service, zone, model
        self.version = 1
        self.runs: list[Run] = []
        self.parts: dict[tuple[str, ...], Made] = {}
        self.address = ""
        self.seq = 0
        self.state = "ready"
        self._orders = 0
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

    def about_itself(self) -> dict[str, Any]:
        about: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 48,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
        }
        if self.model:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            about |= {"stage": "colocated", "models": models}
        return about

    async def _beat(self) -> None:
        while True:
            self.seq += 1
            target = f"/v1/Instances.Heartbeat/{self.name}"
            for address in self._controls:
                answer = await call_json(address, "POST", target, self.about_itself())
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
                method, target, _ = first.split()
                await self._answer(method, target, fields, body, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        expected = fields.get("x-expect-instance", self.name)
        if expected != self.name:
            self._send(writer, fields, 421, b"{}", {"X-Not-Executed": "1"})
        elif target.startswith("/v1/report"):
            about = self.about_itself()
            report = {
                "stage": "colocated",
                "models": about.get("models", []),
                "busy": False,
                "seq": self._orders,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 122994,
                "handles": 0,
            }
            self._send(writer, fields, 200, json.dumps(report).encode())
        elif target == "/v1/order":
            self._order(json.loads(body), fields, writer)
        elif "x-request-id" not in fields:
            self._send(writer, fields, 400, b"{}", {"X-Not-Executed": "1"})
        elif fields.get("x-expect-version", str(self.version)) != str(self.version):
            self._send(writer, fields, 421, b"{}", {"X-Not-Executed": "1"})
        else:
            await self._run(fields, writer)

    def _order(
        self, order: dict[str, Any], fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        status = 409
        if order.get("precondition", self._orders) == self._orders:
            status = 202
            self._orders += 1
            self.version = order["version"]
            self.parts.clear()
        self._send(writer, fields, status, b"{}")

    async def _run(self, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request = fields["x-request-id"]
        tenant, salt = fields.get("x-tenant", ""), fields.get("x-cache-salt", "")
        run = Run(self.name, request, tenant, salt)
        chain: tuple[str, ...] = (salt, self.model)
        still_cached = True
        for part in fields.get("x-prefix-hash", "").split(","):
            if not part:
                continue
            chain = (*chain, part.partition(":")[0])
            made = self.parts.get(chain)
            still_cached = still_cached and made is not None
            if still_cached and made is not None:
                run.reused.append(made)
            else:
                self.parts[chain] = Made(request, tenant, self.version, salt)
        self.runs.append(run)
        makers = sorted({f"{made.request} of {made.tenant}" for made in run.reused})
        self._record(
            f"engine {self.name} runs {request} of tenant {tenant!r}, salt {salt!r},"
            f" with {len(run.reused)} cached parts made by {makers}"
        )
        await asyncio.sleep(0.02)
        events = "".join(f"id: {n}\ndata: token {n}\n\n" for n in range(1, 4))
        extra = {
            "Content-Type": "text/event-stream",
            "X-Response-Stamp": f"stamp.{request}",
            "X-Weight-Versions": str(self.version),
        }
        self._send(writer, fields, 200, events.encode(), extra)

    def _send(
        self,
        writer: asyncio.StreamWriter,
        fields: dict[str, str],
        status: int,
        body: bytes,
        extra: dict[str, str] | None = None,
    ) -> None:
        headers = {
            "X-Instance-Id": self.name,
            "X-Load-Report": "0,0,48",
            "Content-Length": str(len(body)),
            **(extra or {}),
        }
        if "x-request-id" in fields:
            headers["X-Request-Id"] = fields["x-request-id"]
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join((*lines, "", "")).encode("latin-1") + body)
