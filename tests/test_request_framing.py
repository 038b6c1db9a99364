"""Where a request ends: no byte of a body is ever read as a request of its own."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http.protocol import BoundedHttpProtocol
from gooseberrydale.process.http.server import HttpServer

SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER_S = 5.0
LATER_S = 0.004
"""Seconds for which a second request is waited for."""

H2C = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMA")
OFFERS: dict[str, tuple[str, ...]] = {
    "none": (),
    "h2c": H2C,
    "h2c without settings": ("Upgrade: h2c", "Connection: upgrade"),
    "websocket": ("connection: keep-alive, UPGRADE", "upgrade: websocket"),
    "two lines": ("Connection: keep-alive", "Connection: Upgrade", "Upgrade: a, b/2"),
    "no Upgrade": ("Connection: Upgrade",),
    "no Connection": ("Upgrade: h2c",),
}
FRAMING: dict[str, tuple[str, ...]] = {
    "length": ("Content-Length: {n}",),
    "chunked": ("Transfer-Encoding: chunked",),
    "capitals": ("TRANSFER-ENCODING: CHUNKED",),
    "both": ("Content-Length: {n}", "Transfer-Encoding: chunked"),
    "length twice": ("Content-Length: {n}", "Content-Length: {n}"),
    "two lengths": ("Content-Length: {n}", "Content-Length: 3"),
    "list of lengths": ("Content-Length: {n}, {n}",),
    "empty length": ("Content-Length:",),
    "signed length": ("Content-Length: +{n}",),
    "space in name": ("Content-Length : {n}",),
    "chunked twice": ("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
    "chunked in a list": ("Transfer-Encoding: chunked, chunked",),
    "coded": ("Transfer-Encoding: gzip, chunked",),
    "coded without chunks": ("Transfer-Encoding: gzip",),
    "chunked, then coded": ("Transfer-Encoding: chunked, gzip",),
    "unknown coding": ("Transfer-Encoding: xchunked",),
    "identity": ("Transfer-Encoding: identity", "Content-Length: {n}"),
    "empty coding": ("Transfer-Encoding:", "Content-Length: {n}"),
}
VALID_FRAMING = {"1.1": {"length", "chunked", "capitals"}, "1.0": {"length"}}
TWISTS = {
    "none": "",
    "folded": "X: a\r\n b\r\n",
    "folded length": "X: a\r\n Content-Length: 0\r\n",
    "bare CR": "X: a\rContent-Length: 0\r\n",
    "bare LF": "X: a\nContent-Length: 0\r\n",
    "NUL": "X: a\0b\r\n",
    "no name": ": a\r\n",
}


@dataclass(frozen=True)
class Sent:
    """A request with a body, and how it is cut into segments."""

    method: str
    version: str
    offer: str
    framing: str
    twist: str
    is_offer_first: bool
    content: bytes
    cuts: tuple[int, ...]

    @property
    def is_valid(self) -> bool:
        """Whether the request has to be served whole."""
        return (
            self.method != "CONNECT"
            and self.twist == "none"
            and self.framing in VALID_FRAMING.get(self.version, set())
        )

    @property
    def segments(self) -> list[bytes]:
        """The bytes of the request, with another request behind its body."""
        lines = [line.format(n=len(self.content)) for line in FRAMING[self.framing]]
        offer = list(OFFERS[self.offer])
        lines = offer + lines if self.is_offer_first else lines + offer
        target = "h:80" if self.method == "CONNECT" else "/first?q=%2F"
        head = f"{self.method} {target} HTTP/{self.version}\r\nHost: h\r\n"
        head += TWISTS[self.twist] + "".join(line + "\r\n" for line in lines) + "\r\n"
        body = self.content
        if any("chunked" in line.lower() for line in FRAMING[self.framing]):
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        data = head.encode() + body
        cuts = sorted({cut % len(data) for cut in self.cuts} | {0})
        return [data[a:b] for a, b in zip(cuts, [*cuts[1:], len(data)], strict=True)]


def one_of(names: Any) -> st.SearchStrategy[str]:
    return st.sampled_from(sorted(names))


REQUESTS = st.builds(
    Sent,
    method=st.sampled_from(["POST", "GET", "PUT", "OPTIONS", "CONNECT"]),
    version=st.sampled_from(["1.1", "1.1", "1.1", "1.0", "0.9", "2.0"]),
    offer=one_of(OFFERS),
    framing=one_of(FRAMING) | st.sampled_from(["length", "chunked"]),
    twist=st.just("none") | one_of(TWISTS),
    is_offer_first=st.booleans(),
    content=st.sampled_from([b"", b"word", b"\r\n"]).map(lambda b: b + SMUGGLED),
    cuts=st.lists(st.integers(0, 500), max_size=4).map(tuple),
)


class Server:
    """A listener whose application notes what it runs."""

    def __init__(self) -> None:
        self.ran: list[tuple[str, str, bytes]] = []
        self.headers: dict[bytes, bytes] = {}
        self._runner = asyncio.Runner()
        self._http = HttpServer(self._app, "127.0.0.1:0", TlsCfg(), BoundedHttpProtocol)
        self._runner.run(self._http.start())

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        body, more = b"", True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            more = message["more_body"]
        self.headers = dict(scope["headers"])
        self.ran.append((scope["method"], scope["path"], body))
        length = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": b""})

    def exchange(self, segments: list[bytes], answers: int = 1) -> bytes:
        """Send ``segments``; return all that follows, ``answers`` answers at least."""
        return self._runner.run(self._exchange(segments, answers))

    async def _exchange(self, segments: list[bytes], answers: int) -> bytes:
        self.ran.clear()
        host, _, port = self._http.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(0.001)
        answer = b""
        async with asyncio.timeout(ANSWER_S):
            while answer.count(b"\r\n\r\n") < answers:
                answer += await reader.read(65_536) or b"closed\r\n\r\n"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LATER_S):
                answer += await reader.read()
        writer.close()
        return answer

    def close(self) -> None:
        """Stop listening."""
        self._runner.run(self._http.close(0.1))
        self._runner.close()


@pytest.fixture(scope="module")
def server() -> Iterator[Server]:
    running = Server()
    yield running
    running.close()


@given(req=REQUESTS)
@settings(max_examples=600, deadline=None, derandomize=True)
def test_a_body_is_served_whole_or_refused_with_its_request(
    server: Server, req: Sent
) -> None:
    """Guards against bodies that are lost, or run as the next request."""
    answer = server.exchange(req.segments)
    assert answer.count(b"HTTP/1.1 ") == 1
    if req.is_valid:
        assert server.ran == [(req.method, "/first", req.content)]
        assert answer.startswith(b"HTTP/1.1 200 ")
    else:
        assert server.ran == []
        assert answer.startswith(b"HTTP/1.1 4")
        assert b"connection: close" in answer


@pytest.mark.parametrize("offer", OFFERS)
def test_an_offer_to_upgrade_is_ignored(server: Server, offer: str) -> None:
    """Guards against requests that are refused, or lose their other headers."""
    lines = "".join(line + "\r\n" for line in OFFERS[offer])
    head = f"GET /first HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\n{lines}\r\n".encode()
    answer = server.exchange([head + SMUGGLED], answers=2)
    # Without a body, what follows is a request.
    assert [path for _, path, _ in server.ran] == ["/first", "/smuggled"]
    assert answer.count(b"HTTP/1.1 200 ") == 2
    server.exchange([head])
    assert (server.headers[b"host"], server.headers[b"x-own"]) == (b"h", b"1")
