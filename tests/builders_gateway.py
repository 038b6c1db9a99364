"""Builders for gateway tests: declarations, prompts, raw upstreams and callers."""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from result import Ok, Result

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem
from gooseberrydale.process.cfg import Cfg, FleetCfg, GatewayCfg, MetricsCfg, NodeCfg
from gooseberrydale.process.gateway.declared_store import DecodeDocument
from gooseberrydale.process.gateway.gateway import Dialect, Gateway
from gooseberrydale.process.gateway.store_follower import FollowReply
from gooseberrydale.request.gateway_call import (
    AnswerHead,
    CallerRequest,
    Prompt,
    PromptPart,
    RawHeaders,
    Terms,
)
from gooseberrydale.version.declarations import Config, Document
from gooseberrydale.version.declared import (
    CallerLimits,
    Declared,
    EngineSize,
    KeyHolder,
    Pool,
    Route,
    Share,
)
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.upstream_limits import UpstreamLimits
from tests.free_ports import free_port

HOST = "shop.example"
KEY = "a-key"
POOL = "desk"


def route(**fields: Any) -> Route:
    """Return a route of plain requests that must not be repeated."""
    defaults: dict[str, Any] = {
        "name": "calls",
        "host": HOST,
        "path_prefix": "/calls/",
        "shares": (Share(POOL, 1.0),),
        "timeout_s": 2.0,
        "objective_s": 0.4,
    }
    return Route(**{**defaults, **fields})


def declared(*routes: Route, **fields: Any) -> Declared:
    """Return a document with one pool and one workspace."""
    defaults: dict[str, Any] = {
        "number": 1,
        "routes": routes or (route(),),
        "pools": {POOL: Pool(POOL, 100, EngineSize(48, 100_000))},
        "workspaces": (KeyHolder("a", (KEY,)),),
        "limits": CallerLimits(body_bytes=1_000),
    }
    return Declared(**{**defaults, **fields})


MODEL = {"kind": "completion", "model": "m", "weights_version": "1"}
"""What an upstream announces that holds the model of the prompts below."""


def record(name: str = "u1", **fields: Any) -> UpstreamRecord:
    """Return the record of an announced upstream."""
    defaults: dict[str, Any] = {
        "name": name,
        "incarnation": "",
        "seq": 1,
        "address": "127.0.0.1:1",
        "zone": "local",
        "region": "",
        "pool": POOL,
        "kind": "service",
        "lease_s": 30.0,
        "slots": 6,
    }
    return UpstreamRecord(**{**defaults, **fields})


def prompt(*parts: tuple[str, int], own: int = 100, new: int = 10) -> Prompt:
    """Return a prompt with shared parts, followed by a part of its own."""
    all_parts = (*(PromptPart(*part) for part in parts), PromptPart("own", own))
    return Prompt("m", sum(part.tokens for part in all_parts), new, all_parts)


def prompt_of(*parts: str) -> Prompt:
    """Return a prompt of parts with ten tokens each; the last is the request's own."""
    return Prompt(
        model="m",
        tokens=10 * len(parts),
        max_new_tokens=5,
        parts=tuple(PromptPart(part, 10) for part in parts),
    )


class PlainWire:
    """A minimal set of headers, named after the values that they hold."""

    def read_call(
        self, method: str, target: bytes, headers: RawHeaders
    ) -> Result[CallerRequest, Problem]:
        values = dict(headers)
        wait = values.get(b"wait")
        last = values.get(b"last-event-id")
        resumes = values.get(b"resumes")
        parts = values.get(b"parts", b"").decode().split(",")
        return Ok(
            CallerRequest(
                request_id=values[b"id"].decode(),
                method=method,
                target=target.decode(),
                host=values[b"host"].decode().partition(":")[0],
                headers=((b"host", values[b"host"]), (b"id", values[b"id"])),
                key=values[b"key"].decode() if b"key" in values else None,
                wait_s=float(wait) if wait is not None else None,
                last_event_id=last.decode() if last is not None else None,
                resumes=resumes.decode() if resumes is not None else None,
                prompt=prompt_of(*parts) if b"parts" in values else None,
            )
        )

    def request_headers(self, call: CallerRequest, terms: Terms) -> RawHeaders:
        own = [(b"instance", terms.instance.encode())]
        if terms.last_event_id is not None:
            own.append((b"last-event-id", terms.last_event_id.encode()))
        return (*call.headers, *own)

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerHead:
        values = dict(headers)
        return AnswerHead(
            status=status,
            headers=headers,
            request_id=values[b"id"].decode() if b"id" in values else None,
            signed=b"signed" in values,
            not_run=b"not-run" in values,
            encoded=b"content-encoding" in values,
            limit_per_s=float(values[b"limit"]) if b"limit" in values else None,
            retry_after_s=(
                float(values[b"retry-after"]) if b"retry-after" in values else None
            ),
            leaving=b"leaving" in values,
        )


def no_scope(_holder: KeyHolder | None) -> str:
    """Return the scope of cached prefixes where all workspaces share them."""
    return ""


class NoStore:
    """A store that never answers."""

    async def follow(self, address: str, since: int) -> FollowReply | None:
        return None

    async def read_all(self, address: str) -> FollowReply | None:
        return None


def no_limits() -> UpstreamLimits:
    """Return the empty limits of a gateway that is alone in its fleet."""
    fleet = Fleet(GatewayPeer("g1", "127.0.0.1:1", "local"))
    return UpstreamLimits(lambda: fleet)


Writer = asyncio.StreamWriter
Script = Callable[[dict[str, str], bytes, Writer], Awaitable[None]]


@dataclass
class RawUpstream:
    """An HTTP server whose ``script`` writes the bytes that follow each request.

    ``disconnected`` is set once one of its connections has ended.
    """

    name: str
    script: Script
    requests: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    connections: int = 0
    port: int = 0
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    open: dict[Writer, asyncio.StreamReader] = field(default_factory=dict)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()

    def end(self) -> None:
        """End as a killed process does: stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.open:
            writer.transport.abort()

    def is_closed_by_peer(self, writer: Writer) -> bool:
        """Whether the gateway has closed a connection."""
        return self.open[writer].at_eof()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.connections += 1
        self.open[writer] = reader
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode().strip().split("\r\n")
                request = {"line": first}
                for line in lines:
                    name, _, value = line.partition(":")
                    request[name.lower()] = value.strip()
                size = int(request.get("content-length", "0"))
                body = await reader.readexactly(size)
                self.requests.append(request)
                self.bodies.append(body)
                await self.script(request, body, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.disconnected.set()
            self.open.pop(writer, None)
            writer.close()


def answer_bytes(
    request_id: str, body: bytes, status: str = "200 OK", *, headers: str = "signed: 1"
) -> bytes:
    """Return one complete answer of an upstream."""
    lines = [f"HTTP/1.1 {status}", f"id: {request_id}", f"content-length: {len(body)}"]
    lines += [headers] if headers else []
    return "\r\n".join((*lines, "keep-alive: timeout=5", "", "")).encode() + body


def stream_head(request_id: str) -> bytes:
    """Return the head of a chunked event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nid: {request_id}\r\nsigned: 1\r\n"
        "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return ``data`` as one HTTP chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one event with ``number`` as its id."""
    return f"id: {number}\ndata: word{number}\n\n".encode()


def reset(writer: Writer) -> None:
    """Close a connection so that its peer receives a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
    )
    writer.transport.abort()


@asynccontextmanager
async def running_gateway(
    document: Declared | None,
    *upstreams: RawUpstream,
    metrics: MetricsCfg = MetricsCfg(),
    name: str = "g1",
    controls: tuple[str, ...] = (),
    gossip: str = "",
    just_started: bool = False,
    observes_delay: bool = False,
    decode: DecodeDocument | None = None,
    is_current: bool = True,
    software: tuple[str, ...] = ("",),
    **settings: Any,
) -> AsyncIterator[Gateway]:
    """Run a gateway with raw upstreams; it uses control only if ``controls`` is set.

    Unless it has ``just_started``, it has the retries of one that has run for long.
    Unless it ``observes_delay``, it takes connections on a busy machine as well.
    ``decode`` is for documents other than ``document``.  Unless it ``is_current``, the
    gateway doesn't know whether ``document`` is the newest.  ``software`` are the
    versions of upstreams that the configuration lists.
    """
    cfg = Cfg(
        node=NodeCfg(name),
        fleet=FleetCfg(trust_network=True, controls=controls),
        metrics=metrics,
        gateway=GatewayCfg(
            http="127.0.0.1:0",
            ready="127.0.0.1:0",
            gossip=gossip or f"127.0.0.1:{free_port()}",
            grace_s=2.0,
            **settings,
        ),
    )
    decode = decode or (lambda _: Ok(document or declared()))
    dialect = Dialect(PlainWire(), decode, NoStore())
    gateway = Gateway(cfg, dialect)
    for upstream in upstreams:
        await upstream.start()
    await gateway.start()
    if not just_started:
        gateway._budgets.start(-math.inf)
    if not observes_delay:
        await gateway._gate.close()
    loop = asyncio.get_running_loop()
    for upstream in upstreams:
        announced = record(upstream.name, address=upstream.address, **MODEL)
        gateway.directory.offer(announced, loop.time())
    if document is not None:
        gateway.store.offer(
            Config(revision=1, document=Document(1, b"{}"), software={POOL: software})
        )
        if is_current:
            gateway.confirmed.confirm(1, math.inf)
        await asyncio.sleep(0.01)
    try:
        yield gateway
    finally:
        for upstream in upstreams:
            await upstream.close()
        await gateway.close()


@dataclass(frozen=True)
class ReceivedAnswer:
    """The answer that a caller received; ``whole`` is False if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def call(
    gateway: Gateway,
    target: str = "/calls/1",
    *,
    method: str = "POST",
    body: bytes = b"",
    key: str | None = KEY,
    request_id: str = "r1",
    extra: str = "",
) -> ReceivedAnswer:
    """Send one request on a connection of its own; return the answer."""
    host, _, port = gateway.addresses["http"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Id: {request_id}"]
    lines += [f"Key: {key}"] if key is not None else []
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    lines += [extra] if extra else []
    writer.write("\r\n".join((*lines, "", "")).encode() + body)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> ReceivedAnswer:
    """Read an answer until it is complete or its connection ends."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split()[1])
    if "content-length" in headers:
        size = int(headers["content-length"])
        data = await reader.read(-1) if size else b""
        return ReceivedAnswer(status, headers, data[:size], len(data) >= size)
    data = await reader.read(-1)
    return ReceivedAnswer(status, headers, unchunked(data), data.endswith(b"0\r\n\r\n"))


def unchunked(data: bytes) -> bytes:
    """Return the content of the chunks in ``data``; the last one may be cut short."""
    parts = []
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size, 16) if size else 0
        parts.append(data[:count])
        data = data[count + 2 :]
    return b"".join(parts)


def json_body(got: ReceivedAnswer) -> Any:
    """Return the body as decoded JSON."""
    return json.loads(got.body)
