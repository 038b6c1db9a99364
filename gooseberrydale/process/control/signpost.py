"""Redirects control requests to a replica, from an instance that has no disk.

A replica must store what it acknowledges on its own disk, so an instance without a disk
holds no replica of the log. Callers that reach it anyway are redirected to a member of
the log that answers. The setting ``control.signpost`` enables this.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Mapping, Sequence

from starlette.types import Receive, Scope, Send

from gooseberrydale.process.cfg import Cfg, TlsCfg
from gooseberrydale.process.cfg_file import read_token
from gooseberrydale.process.control.members_reader import MembersReader
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.server import HttpServer
from gooseberrydale.process.membership import known_controls
from gooseberrydale.process.tls import tls_files

CHECK_VALIDITY_S = 0.5
"""Time for which the result of a check is reused; callers wait a second for a silent
replica."""

CONNECT_TIMEOUT_S = 0.3
CLOSE_GRACE_S = 0.5
REDIRECT = 307
UNAVAILABLE = 503


class Signpost:
    """HTTP server that redirects every request; ``start`` it once, ``close`` it once.

    Replicas are checked only when a request arrives, and at most twice a second. If
    every process checked continuously, the replicas of a fleet of three hundred would
    accept hundreds of connections a second that carry no request. The addresses of the
    replicas are read all the time, so that they are known when a request arrives.
    """

    def __init__(self, cfg: Cfg) -> None:
        if cfg.control is None:
            raise ValueError("the settings have no [control] table; add one")
        own = cfg.control.http
        self.controls = known_controls(cfg)
        self._listed = [address for address in cfg.fleet.controls if address != own]
        # All replicas serve operators on the same port.
        self._port = own.rpartition(":")[2]
        self._reads_members = bool(cfg.fleet.control_rpc_port)
        token = read_token(cfg.fleet.token_file)
        self._reader = MembersReader(self.controls, token, tls_files(cfg.fleet.tls))
        self._answering: Sequence[str] = ()
        self._checked_at = -math.inf
        self._check_lock = asyncio.Lock()
        self._next_index = itertools.count()
        self.clients = ClientAccount(cfg.control.max_held_bytes)
        self._http = HttpServer(self._answer, own, TlsCfg(), clients=self.clients)

    @property
    def addresses(self) -> Mapping[str, str]:
        """Address of the listener; valid once started."""
        return {"http": self._http.address}

    async def start(self) -> None:
        """Serve; raises OSError if the address can't be bound."""
        await self._http.start()
        # Without this port the listed addresses are those of HTTP listeners alone.
        if self._reads_members:
            await self._reader.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._reader.close()
        await self._http.close(CLOSE_GRACE_S)

    def replicas(self) -> list[str]:
        """Return the HTTP addresses of the members, or the listed ones before these."""
        members = self.controls.members.addresses
        if not members:
            return self._listed
        return [f"{member.rpartition(':')[0]}:{self._port}" for member in members]

    async def _check_replicas(self) -> None:
        """Check which replicas answer, unless a recent result is still valid."""
        loop = asyncio.get_running_loop()
        async with self._check_lock:
            if loop.time() < self._checked_at + CHECK_VALIDITY_S:
                return
            replicas = self.replicas()
            results = await asyncio.gather(*map(_answers, replicas))
            pairs = zip(replicas, results, strict=True)
            self._answering = [address for address, answers in pairs if answers]
            self._checked_at = loop.time()

    async def _answer(self, scope: Scope, _receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        await self._check_replicas()
        headers = [(b"content-length", b"0")]
        status = UNAVAILABLE
        if self._answering:
            address = self._answering[next(self._next_index) % len(self._answering)]
            target = f"http://{address}".encode() + scope["raw_path"]
            headers.append((b"location", target))
            status = REDIRECT
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})


async def _answers(address: str) -> bool:
    """Return whether a process accepts connections at ``address``."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True
