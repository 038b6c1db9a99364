"""Answers of which one part never ends, as bytes to be read in any sections."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
from collections.abc import Iterator

OWN_ID = b"@id"
"""Stands for the id of the request that is answered."""

HEAD = b"HTTP/1.1 200 OK\r\nx-response-stamp: 1\r\nx-request-id: " + OWN_ID + b"\r\n"
LENGTH = HEAD + b"content-length: 4\r\n\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n4\r\nword\r\n"

ENDLESS_FRAMING: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "header name": (HEAD + b"x", b"x"),
    "header value": (HEAD + b"x: ", b"y"),
    "header lines": (HEAD, b"x: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"4;", b"e"),
    "trailer name": (CHUNKED + b"0\r\nx", b"x"),
    "trailer value": (CHUNKED + b"0\r\nx: ", b"y"),
    "trailer lines": (CHUNKED + b"0\r\n", b"x: y\r\n"),
    "no HTTP": (b"", b"no answer "),
    "answers to others": (b"", HEAD + b"content-length: 0\r\n\r\n"),
}
"""What an answer begins with, and what is then repeated without end, by part."""


def endless(begin: bytes, repeated: bytes, section: int) -> Iterator[bytes]:
    """Yield an endless answer in sections of about ``section`` bytes."""
    yield begin
    yield from itertools.repeat(repeated * max(1, section // len(repeated)))


def cut(data: bytes, rng: random.Random, longest: int) -> Iterator[bytes]:
    """Yield ``data`` in sections of random sizes up to ``longest``."""
    start = 0
    while start < len(data):
        end = start + rng.randint(1, longest)
        yield data[start:end]
        start = end


ENDLESS_BODY: dict[str, tuple[bytes, bytes]] = {
    "body until the end": (HEAD + b"\r\n", b"word"),
    "body of a huge length": (HEAD + b"content-length: 99999999999\r\n\r\n", b"word"),
    "chunks": (CHUNKED, b"4\r\nword\r\n"),
    "huge chunk": (CHUNKED + b"ffffffffff\r\n", b"word"),
}
"""The same for bodies, which are bounded only where they are read into memory."""


class EndlessServer:
    """An HTTP server that answers every request without end, as fast as it is read."""

    def __init__(self, begin: bytes, repeated: bytes, section: int = 65_536) -> None:
        self._begin = begin
        self._repeated = repeated * max(1, section // len(repeated))
        self._server: asyncio.Server | None = None
        self.address = ""
        self.sent = 0
        self.resets = 0
        self.targets: set[str] = set()

    async def start(self) -> EndlessServer:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            self.targets.add(request.split(b" ")[1].decode())
            found = re.search(rb"(?i)x-request-id: *(\S+)", request)
            own_id = b"none" if found is None else found.group(1)
            writer.write(self._begin.replace(OWN_ID, own_id))
            while True:
                writer.write(self._repeated)
                self.sent += len(self._repeated)
                await writer.drain()
        except (OSError, EOFError):
            self.resets += 1
        finally:
            writer.close()
