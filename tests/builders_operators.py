"""Builds a control process in memory, and a client of its operators' interface."""

from __future__ import annotations

import contextlib
import hashlib
import pathlib
import tempfile
from collections.abc import AsyncIterator

import httpx2

from gooseberrydale.process.cfg import Cfg, ControlCfg, FleetCfg, NodeCfg
from gooseberrydale.process.control import Control
from gooseberrydale.process.membership import Mesh
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory

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
    """The mesh of an entry that knows ``control`` alone."""
    token_file = folder / "fleet-token"
    token_file.write_text(FLEET_TOKEN)
    fleet = FleetCfg(token_file, controls=(control.addresses["rpc"],))
    cfg = Cfg(NodeCfg("entry-1"), fleet)
    return Mesh(cfg, "entry", Directory(), store, None, FLEET_TOKEN, "life-1")
