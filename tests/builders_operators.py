"""Builds control processes, and clients of their operators' interface."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import pathlib
import tempfile
from collections.abc import AsyncIterator
from typing import Any

import httpx2

from gooseberrydale.process.cfg import Cfg, ControlCfg, FleetCfg, NodeCfg
from gooseberrydale.process.control import Control
from gooseberrydale.process.membership import Mesh
from gooseberrydale.process.operator_client import OperatorClient, Target
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory
from tests.free_ports import free_address

FLEET_TOKEN = "fleet-token-of-this-test"
TOKEN = "operator-token-of-this-test"
OPERATORS = {"ana": hashlib.sha256(TOKEN.encode()).hexdigest()}
ANY_PORT = "127.0.0.1:0"


def control_cfg(folder: pathlib.Path, **settings: object) -> Cfg:
    token_file = folder / "fleet-token"
    token_file.write_text(FLEET_TOKEN)
    control = ControlCfg(folder, rpc=ANY_PORT, http=ANY_PORT, **settings)
    return Cfg(NodeCfg("control-1"), FleetCfg(token_file), control=control)


@contextlib.asynccontextmanager
async def running_control(
    declarations: Config | None = None, **settings: object
) -> AsyncIterator[Control]:
    with tempfile.TemporaryDirectory() as name:
        cfg = control_cfg(pathlib.Path(name), **settings)
        control = Control(
            cfg, in_memory=True, declarations=declarations, operators=OPERATORS
        )
        await control.start()
        try:
            yield control
        finally:
            await control.close()


def client(control: Control, token: str = TOKEN) -> httpx2.AsyncClient:
    return httpx2.AsyncClient(
        base_url=f"http://{control.addresses['http']}",
        headers={"authorization": f"Bearer {token}"},
        trust_env=False,
    )


def joining_mesh(folder: pathlib.Path, control: Control, store: ConfigStore) -> Mesh:
    """Return the mesh of an entry that is configured with ``control`` alone."""
    token_file = folder / "fleet-token"
    token_file.write_text(FLEET_TOKEN)
    fleet = FleetCfg(token_file, controls=(control.addresses["rpc"],))
    cfg = Cfg(NodeCfg("entry-1"), fleet)
    return Mesh(cfg, "entry", Directory(), store, None, FLEET_TOKEN, "incarnation-1")


class Cluster:
    """Three control processes that replicate one log.

    They share an event loop; each has a folder of its own.
    """

    names = ("control-1", "control-2", "control-3")

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._token_file = folder / "fleet-token"
        self._token_file.write_text(FLEET_TOKEN)
        self.rpc = {name: free_address() for name in self.names}
        self.running: dict[str, Control] = {}

    async def start(self, *names: str) -> None:
        for name in names:
            cfg = ControlCfg(
                self._folder / name,
                rpc=self.rpc[name],
                http=ANY_PORT,
                replicas=self.rpc,
            )
            fleet = FleetCfg(self._token_file, controls=tuple(self.rpc.values()))
            control = Control(
                Cfg(NodeCfg(name), fleet, control=cfg), operators=OPERATORS
            )
            await control.start()
            self.running[name] = control

    async def stop(self, *names: str) -> None:
        for name in names:
            await self.running.pop(name).close()

    def client(self, timeout_s: float = 20.0) -> OperatorClient:
        urls = [f"http://{c.addresses['http']}" for c in self.running.values()]
        return OperatorClient(Target(urls, TOKEN, timeout_s=timeout_s))

    async def status(self) -> list[Any]:
        """Return the replicas' status as each running process reports it."""
        statuses = []
        for control in self.running.values():
            async with client(control) as operator:
                statuses.append((await operator.get("/v1/status")).json()["control"])
        return statuses

    async def leader(self) -> str:
        """Wait until a process is leader, and return its name."""
        while True:
            for status in await self.status():
                if status["role"] == "leader":
                    return str(status["name"])
            await asyncio.sleep(0.05)

    async def whole(self) -> None:
        """Wait until a replica counts all three as members and all repairs are done.

        At least one repair must have taken place.
        """
        while True:
            for status in await self.status():
                done = [r["state"] == "done" for r in status["repairs"]]
                if len(status["members"]) == len(self.names) and all(done) and done:
                    return
            await asyncio.sleep(0.05)
