"""All roles in one process, to try out the router on one machine.

An example engine, its sidecar, a control replica and an entry communicate over loopback
exactly as separate processes do.  There is one profile, ``example``, and one workspace
with the API key ``local``.  All state is in memory and is lost when the process ends.
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
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
TOKEN_BYTES = 32
OK = 200


@dataclass(frozen=True, slots=True)
class LocalCfg:
    """Ports on loopback for callers and operators; 0 selects a free one."""

    port: int = 8080
    operator_port: int = 8071
    drain_s: float = 5.0


class _Closable(Protocol):
    """A component of the deployment that must be closed."""

    async def close(self) -> None:
        """Release all resources."""


class Local:
    """A deployment in one process; call ``start`` and ``close`` once each."""

    def __init__(self, cfg: LocalCfg) -> None:
        self._cfg = cfg
        self._folder = tempfile.TemporaryDirectory(prefix="gooseberrydale-")
        self._token_file = Path(self._folder.name, "fleet.token")
        # In the order of their start; closed in reverse.
        self._components: list[_Closable] = []
        self._addresses: dict[str, str] = {}

    @property
    def addresses(self) -> Mapping[str, str]:
        """Addresses for callers (``http``) and operators (``operators``)."""
        return self._addresses

    async def start(self) -> None:
        """Start all roles.

        Raises OSError if a port is in use or no upstream becomes ready in time.
        """
        token = secrets.token_hex(TOKEN_BYTES)
        logs.mask_secret(token)
        self._token_file.write_text(token)
        engine = await self._start_engine()
        control = await self._start_control()
        control_address = control.addresses["rpc"]
        await self._start_sidecar(engine.url, control_address)
        entry = await self._start_entry(control_address)
        self._addresses = {
            "http": entry.addresses["http"],
            "operators": control.addresses["http"],
        }
        await _wait_until_ready(f"http://{entry.addresses['http']}/readyz")
        logger.info("profile {!r} can be used with API key {!r}", PROFILE, API_KEY)

    async def close(self) -> None:
        """Close all components, the entry first, so that open requests are finished."""
        while self._components:
            await self._components.pop().close()
        self._folder.cleanup()

    async def _start_engine(self) -> AppServer:
        engine = AppServer(engine_app(HostCfg(model=PROFILE)), HOST)
        self._components.append(engine)
        await engine.start()
        return engine

    async def _start_control(self) -> Control:
        control_cfg = ControlCfg(
            data_dir=Path(self._folder.name),
            rpc=ANY_PORT,
            http=f"{HOST}:{self._cfg.operator_port}",
        )
        control = Control(
            Cfg(NodeCfg("local-control"), self._fleet(), control=control_cfg),
            in_memory=True,
            declarations=_declarations(),
            operators={"local": _digest(OPERATOR_TOKEN)},
        )
        self._components.append(control)
        await control.start()
        return control

    async def _start_sidecar(self, upstream: str, control_address: str) -> None:
        sidecar_cfg = SidecarCfg(
            upstream=upstream,
            pool=PROFILE,
            model=PROFILE,
            rpc=ANY_PORT,
            drain_s=self._cfg.drain_s,
        )
        fleet = self._fleet(control_address)
        sidecar = Sidecar(Cfg(NodeCfg("local-engine"), fleet, sidecar=sidecar_cfg))
        self._components.append(sidecar)
        await sidecar.start()

    async def _start_entry(self, control_address: str) -> Entry:
        entry_cfg = EntryCfg(
            http=f"{HOST}:{self._cfg.port}", rpc=ANY_PORT, drain_s=self._cfg.drain_s
        )
        fleet = self._fleet(control_address)
        entry = Entry(Cfg(NodeCfg("local-entry"), fleet, entry=entry_cfg))
        self._components.append(entry)
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
    """Poll ``url`` until the entry is ready; raises OSError after a timeout."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + READY_TIMEOUT_S
    async with aiosonic.HTTPClient() as client:
        while not await _is_ready(client, url):
            if loop.time() > deadline:
                raise OSError(f"no upstream became ready within {READY_TIMEOUT_S:g} s")
            await asyncio.sleep(READY_POLL_S)


async def _is_ready(client: aiosonic.HTTPClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except (OSError, AiosonicError):
        return False
    return bool(response.status_code == OK)
