"""Builders for tests of the sidecar: settings, dispatches, and a minimal upstream."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.process.cfg import Cfg, FleetCfg, NodeCfg, SidecarCfg

TOKEN = "token-of-the-tests"

# Paths that the sidecar polls; the upstream answers 404 unless a test clears the tuple.
WATCHED = ("/load", "/cache/events", "/cache/snapshot")

Writer = asyncio.StreamWriter
Answer = Callable[["Request", Writer], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class TinyUpstream:
    """A minimal HTTP server whose ``answer`` writes the raw response to a request.

    ``GET /health`` is answered with ``health``.  ``requests`` holds all requests but
    polls; ``disconnected`` counts connections that the client closed before the answer
    was complete.
    """

    def __init__(self, answer: Answer, health: dict[str, Any] | None = None) -> None:
        self.answer = answer
        self.health = health if health is not None else {"ready": True}
        self.requests: list[Request] = []
        self.connections = 0
        self.disconnected = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.connections += 1
        try:
            while (req := await _read_request(reader)) is not None:
                await self._reply(req, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _reply(
        self, req: Request, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        if req.target == "/health":
            await send_body(writer, json.dumps(self.health).encode())
            return
        if req.target in WATCHED:
            await send_body(writer, b"", "404 Not Found")
            return
        self.requests.append(req)
        answer = asyncio.create_task(self.answer(req, writer))  # type: ignore[arg-type]
        disconnect = asyncio.create_task(reader.read(1))
        await asyncio.wait([answer, disconnect], return_when=asyncio.FIRST_COMPLETED)
        # Writing to a closed connection may fail before reading returns its end.
        if not answer.done() or answer.exception() is not None:
            self.disconnected += 1
        answer.cancel()
        disconnect.cancel()
        await asyncio.wait([answer, disconnect])


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(size))


async def send_body(
    writer: Writer, body: bytes, status: str = "200 OK", kind: str = "application/json"
) -> None:
    """Write a response with a body of known length."""
    head = f"HTTP/1.1 {status}\r\ncontent-type: {kind}\r\n"
    writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()


async def send_events(writer: Writer, events: list[bytes], done: bool = True) -> None:
    """Write a complete event stream, or one without its end marker."""
    await start_stream(writer)
    for event in events:
        await send_event(writer, event)
    if done:
        await send_event(writer, b"[DONE]")
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def start_stream(writer: Writer) -> None:
    """Write the head of an event stream."""
    writer.write(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    await writer.drain()


async def send_event(writer: Writer, event: bytes) -> None:
    """Write one event as one HTTP chunk."""
    data = b"data: " + event + b"\n\n"
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
    await writer.drain()


@asynccontextmanager
async def tiny_upstream(answer: Answer) -> AsyncIterator[TinyUpstream]:
    """Run a :class:`TinyUpstream`."""
    upstream = TinyUpstream(answer)
    await upstream.start()
    try:
        yield upstream
    finally:
        await upstream.close()


def sidecar_cfg(folder: pathlib.Path, upstream: str, **settings: Any) -> Cfg:
    """Settings of a sidecar on a free port, with short shutdown times."""
    token_file = folder / "token"
    token_file.write_text(TOKEN + "\n")
    defaults: dict[str, Any] = {
        "upstream": upstream,
        "pool": "pool-a",
        "model": "model-a",
        "rpc": "127.0.0.1:0",
        "drain_s": 10.0,
        "notice_s": 0.0,
    }
    return Cfg(
        node=NodeCfg(name="upstream-1"),
        fleet=FleetCfg(token_file=token_file),
        sidecar=SidecarCfg(**{**defaults, **settings}),
    )


def dispatch_req(incarnation: str, **fields: Any) -> DispatchReq:
    """A dispatch of a streamed chat completion."""
    defaults: dict[str, Any] = {
        "request_id": "req-1",
        "attempt": 1,
        "incarnation": incarnation,
        "workspace": "workspace-a",
        "profile": "profile-a",
        "method": "POST",
        "path": "/v1/chat/completions",
        "body": b'{"messages":[{"role":"user","content":"hi"}],"stream":true}',
        "stream": True,
    }
    return DispatchReq(**{**defaults, **fields})
