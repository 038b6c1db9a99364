"""All roles in one process, for trying the product on one machine.

It lives as long as the process.  An example engine, its sidecar, one control that
keeps its state in memory and an entry talk over loopback exactly as separate
processes do.  There is one profile, ``example``, and one workspace with the API key
``local``.  Nothing survives the process.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import aiosonic
from aiosonic.exceptions import AiosonicError
from loguru import logger

from gooseberrydale.example.app_server import AppServer
from gooseberrydale.example.engine_app import engine_app
from gooseberrydale.example.engine_host import HostCfg
from gooseberrydale.process import logs
from gooseberrydale.process.cfg import (
    Cfg,
    ControlCfg,
    EntryCfg,
    FleetCfg,
    NodeCfg,
    SidecarCfg,
)
from gooseberrydale.process.control import Control
from gooseberrydale.process.entry import Entry
from gooseberrydale.process.sidecar import Sidecar
from gooseberrydale.version.declarations import (
    Config,
    Profile,
    ProfileKind,
    Workspace,
)

HOST = "127.0.0.1"
ANY_PORT = f"{HOST}:0"
PROFILE = "example"
API_KEY = "local"
OPERATOR_TOKEN = "local"
FIRST_REVISION = 1
READY_BOUND_S = 20.0
READY_POLL_S = 0.05
TOKEN_BYTES = 32
OK = 200


@dataclass(frozen=True, slots=True)
class LocalCfg:
    """Ports on loopback for callers and operators; 0 takes a free one."""

    port: int = 8080
    operator_port: int = 8071
    drain_s: float = 5.0


class _Part(Protocol):
    """What has to be closed again."""

    async def close(self) -> None:
        """Release everything."""


class Local:
    """A whole small deployment; ``start`` it once and ``close`` it once."""

    def __init__(self, cfg: LocalCfg) -> None:
        self._cfg = cfg
        self._folder = tempfile.TemporaryDirectory(prefix="gooseberrydale-")
        self._token_file = Path(self._folder.name, "fleet.token")
        # In the order of their start; they are closed in the opposite order.
        self._parts: list[_Part] = []
        self._addresses: dict[str, str] = {}

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listeners for callers (``http``) and operators (``operators``)."""
        return self._addresses

    async def start(self) -> None:
        """Serve; raises OSError if a port is taken or nothing gets ready."""
        token = secrets.token_hex(TOKEN_BYTES)
        logs.hide(token)
        self._token_file.write_text(token)
        engine = await self._start_engine()
        control = await self._start_control()
        meeting_point = control.addresses["rpc"]
        await self._start_sidecar(engine.url, meeting_point)
        entry = await self._start_entry(meeting_point)
        self._addresses = {
            "http": entry.addresses["http"],
            "operators": control.addresses["http"],
        }
        await _wait_until_ready(f"http://{entry.addresses['http']}/readyz")
        logger.info("profile {!r} is open to the key {!r}", PROFILE, API_KEY)

    async def close(self) -> None:
        """Finish what runs, then close all parts, the entry first."""
        while self._parts:
            await self._parts.pop().close()
        self._folder.cleanup()

    async def _start_engine(self) -> AppServer:
        engine = AppServer(engine_app(HostCfg(model=PROFILE)), HOST)
        self._parts.append(engine)
        await engine.start()
        return engine

    async def _start_control(self) -> Control:
        own = ControlCfg(
            data_dir=Path(self._folder.name),
            rpc=ANY_PORT,
            http=f"{HOST}:{self._cfg.operator_port}",
        )
        control = Control(
            Cfg(NodeCfg("local-control"), self._fleet(), control=own),
            in_memory=True,
            declarations=_declarations(),
            operators={"local": _digest(OPERATOR_TOKEN)},
        )
        self._parts.append(control)
        await control.start()
        return control

    async def _start_sidecar(self, upstream: str, meeting_point: str) -> None:
        own = SidecarCfg(
            upstream=upstream,
            pool=PROFILE,
            model=PROFILE,
            rpc=ANY_PORT,
            drain_s=self._cfg.drain_s,
        )
        fleet = self._fleet(meeting_point)
        sidecar = Sidecar(Cfg(NodeCfg("local-engine"), fleet, sidecar=own))
        self._parts.append(sidecar)
        await sidecar.start()

    async def _start_entry(self, meeting_point: str) -> Entry:
        own = EntryCfg(
            http=f"{HOST}:{self._cfg.port}", rpc=ANY_PORT, drain_s=self._cfg.drain_s
        )
        fleet = self._fleet(meeting_point)
        entry = Entry(Cfg(NodeCfg("local-entry"), fleet, entry=own))
        self._parts.append(entry)
        await entry.start()
        return entry

    def _fleet(self, *controls: str) -> FleetCfg:
        return FleetCfg(token_file=self._token_file, controls=controls)


def _declarations() -> Config:
    profile = Profile(PROFILE, ProfileKind.COMPLETION, pool=PROFILE, model=PROFILE)
    workspace = Workspace("local", key_digests=(_digest(API_KEY),))
    return Config(
        revision=FIRST_REVISION,
        profiles={profile.name: profile},
        workspaces={workspace.name: workspace},
    )


def _digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()


async def _wait_until_ready(url: str) -> None:
    """Return once the entry says that it is ready; raises OSError if it never does."""
    loop = asyncio.get_running_loop()
    until = loop.time() + READY_BOUND_S
    async with aiosonic.HTTPClient() as client:
        while not await _is_ready(client, url):
            if loop.time() > until:
                raise OSError(f"no upstream got ready within {READY_BOUND_S:g} s")
            await asyncio.sleep(READY_POLL_S)


async def _is_ready(client: aiosonic.HTTPClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except (OSError, AiosonicError):
        return False
    return bool(response.status_code == OK)
