"""A real control replica, entry and sidecars whose upstreams answer wrongly."""

from __future__ import annotations

import asyncio
import pathlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from tests.fleet import Fleet, UpstreamSpec, key_digest

KEY = "key-of-the-only-workspace"
ALONE = "alone"
"""A profile and pool that only have an upstream which answers wrongly."""

PAIR = "pair"
"""A profile and pool that have a sound upstream too; its calls may be repeated."""

OTHERS = "others"
"""A profile and pool that only have a sound upstream."""

SOUND = "sound"
HEALTH = b'{"incarnation": "1", "ready": true}'
OK = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"

Spoiler = Callable[[str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Answers one request, whose id and unread body it gets."""


class SpoiltUpstream:
    """Tells that it is healthy, and answers every call with ``spoil``.

    ``reached`` has the paths of the requests that it got.
    """

    def __init__(self) -> None:
        self.spoil: Spoiler | None = None
        self.reached: set[str] = set()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> SpoiltUpstream:
        """Serve on a free port, with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=4_096)
        self.address = "{}:{}".format(*sock.getsockname())
        return self

    async def close(self) -> None:
        """Stop serving."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            if head.startswith("GET /health"):
                writer.write(OK + b"content-length: %d\r\n" % len(HEALTH))
                writer.write(b"connection: close\r\n\r\n" + HEALTH)
                await writer.drain()
            else:
                found = head.lower().partition("\r\nx-request-id:")[2]
                request_id = found.partition("\r\n")[0].strip()
                self.reached.add(head.split(" ")[1])
                assert self.spoil is not None
                await self.spoil(request_id, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def spoilt_fleet(
    folder: pathlib.Path, drain_s: float = 30.0
) -> AsyncIterator[tuple[Fleet, SpoiltUpstream]]:
    """Run a fleet of real processes; all its spoilt upstreams are the same one.

    A stopping entry or sidecar has ``drain_s`` to end what it runs.
    """
    upstream = await SpoiltUpstream().start()
    fleet = Fleet(folder, ("zone-1",))
    fleet.controls, fleet.entries = ["control-1"], ["entry-1"]
    fleet.add_controls(1)
    fleet.add_entries(1, drain_s=drain_s)
    wrong: dict[str, object] = {"upstream": f"http://{upstream.address}"}
    for name, pool, settings in (
        (ALONE, ALONE, wrong),
        (PAIR, PAIR, wrong),
        (SOUND, PAIR, {}),
        (OTHERS, OTHERS, {}),
    ):
        settings = {**settings, "drain_s": drain_s}
        fleet.add_upstream(UpstreamSpec(name, pool, kind="service", settings=settings))
    try:
        await asyncio.to_thread(_start, fleet)
        yield fleet, upstream
    finally:
        fleet.close()
        await upstream.close()


def _start(fleet: Fleet) -> None:
    fleet.start()
    profiles = [
        Profile(name, ProfileKind.SERVICE, pool=name, repeatable=name == PAIR)
        for name in (ALONE, PAIR, OTHERS)
    ]
    fleet.declare(profiles, (Workspace("one", key_digests=(key_digest(KEY),)),))
    fleet.wait_ready(len(fleet.upstreams))
