"""Control replicas are replaced in series, beside faults of gateways that overlap.

``python -m soak --controls --seeds 5`` runs this with real processes.  Each replica of
an open group is replaced by an empty one at another address, by a kill or as planned.
Gateways are suspended, or killed and started again with the settings of the first
start, whose replicas are gone by the end.  Callers keep their connections open.
Documents that add a route and a key are declared all the while: no gateway may deny a
request that the newest one allows, whatever faults it has.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import re
import sys
from collections.abc import Iterator
from functools import partial
from typing import Any

import httpx2

from soak.competition import DEADLINE_S, HOST, api_key
from soak.gateway_environment import (
    GATEWAYS,
    HEARTBEAT_S,
    UPSTREAMS,
    GatewayEnvironment,
)
from soak.limited_upstream import SLOTS
from tests.callers import BackgroundLoop
from tests.fleet import ROOT, wait_until
from tests.free_ports import free_port

CONTROLS = 4
REPLACEMENTS = 4
CATCH_UP_S = 5.0
"""A replacement counts as lost until it has had this time."""

TOUCH_S = 3.0
"""Gateways are in touch this long after the last fault."""

READY_S = 12.0
"""A gateway that is started finds control, whatever its settings, within this time."""

APPLY_S = 2.5
"""A document is in force at all gateways in touch within this time."""

CALL_INTERVAL_S = 0.05
"""Pause between two requests to a gateway, if there are ``GATEWAYS`` of them; with more
the upstreams get no more requests in all."""

CHANGE_INTERVAL_S = 1.0
"""Pause between two documents that are declared while there are faults."""

CODE = re.compile(r'"code":"(\w+)"')

DENIALS = frozenset({400, 401, 403, 404, 413, 431})
"""Statuses that say that the request itself is wrong."""


class ControlsEnvironment(GatewayEnvironment):
    """An open group of control replicas, gateways, and upstreams that announce."""

    def __init__(
        self,
        folder: pathlib.Path,
        load: BackgroundLoop,
        rng: random.Random,
        gateways: int = GATEWAYS,
    ) -> None:
        super().__init__(folder, load, gateways)
        self._rng = rng
        # HTTP and gRPC addresses by name; the oldest replica is first.
        self.controls: dict[str, tuple[str, str]] = {}
        self._started = 0
        self._version = 1
        self._faulted: set[str] = set()
        self.sent = 0
        self.changes = 0
        self.failures: list[str] = []
        # The error code of each gateway's last answer, empty for a success.
        self._codes: dict[str, str] = {}

    def add_controls(self, rpc: str) -> None:
        """Add the first replicas instead of a single one."""
        addresses = [rpc, *(self._address() for _ in range(CONTROLS - 1))]
        self._seeds = addresses[:3]
        for address in addresses:
            self._add_replica(address, self._seeds, bootstrap=True)

    @property
    def seeds(self) -> list[str]:
        """The replicas in the settings of gateways, which never change."""
        return self._seeds

    def settings_of_gateway(self, number: int) -> str:
        """Let the first gateway have a disk."""
        bound = f"config_bound_s = {APPLY_S}\n"
        if number:
            return bound
        return bound + f'data_dir = "{self._folder / "gateway-disk"}"\n'

    async def replace(self) -> None:
        """Replace the oldest replica."""
        gone, planned = next(iter(self.controls)), self._rng.random() < 0.5
        if not planned:
            self._retire(gone, terminate=False)
            await asyncio.sleep(1.0)
        seeds = [rpc for _, rpc in list(self.controls.values())[-3:]]
        name = self._add_replica(self._address(), seeds, bootstrap=False)
        self.processes[name].start()
        if planned:
            await asyncio.sleep(1.0)
            self._retire(gone, terminate=True)
        await asyncio.sleep(CATCH_UP_S)

    async def disturb(self, name: str) -> None:
        """Suspend a gateway, or start it again with its first settings."""
        await asyncio.sleep(self._rng.uniform(0.0, 4.0))
        self._faulted.add(name)
        process = self.processes[name]
        if self._rng.random() < 0.5:
            process.freeze()
            await asyncio.sleep(self._rng.uniform(0.5, 15.0))
            process.thaw()
        else:
            await asyncio.to_thread(process.kill)
            await asyncio.sleep(self._rng.uniform(0.0, 6.0))
            process.start()
            await self._wait_ready(name)
        # Connections that were open are lost, and the announcements have lapsed.
        await asyncio.sleep(TOUCH_S)
        self._faulted.discard(name)

    async def _wait_ready(self, name: str) -> None:
        """Wait until a started gateway has a document; it refuses requests before."""
        ready = partial(self._is_ready, name)
        try:
            await asyncio.to_thread(wait_until, ready, f"{name} not ready", READY_S)
        except AssertionError as exc:
            self.failures.append(str(exc))

    async def call(self, name: str, stop: asyncio.Event) -> None:
        """Send requests on one connection until ``stop``."""
        sent = 0
        async with httpx2.AsyncClient(timeout=DEADLINE_S, trust_env=False) as client:
            while not stop.is_set():
                disturbed = name in self._faulted
                status = await self._send(client, name, f"kept-{sent}")
                sent += 1
                self.sent += 1
                if status != httpx2.codes.OK and not disturbed | (
                    name in self._faulted
                ):
                    why = f"{status} {self._codes[name]}"
                    self.failures.append(f"{name} answered {why} undisturbed")
                await asyncio.sleep(CALL_INTERVAL_S * len(self._fronts) / GATEWAYS)

    async def change_documents(self, stop: asyncio.Event) -> None:
        """Declare documents until ``stop``; note requests that are then denied."""
        while not stop.is_set():
            statuses = await self._ask_by_new_document()
            self.failures += [
                f"{name} denied a request of document {self._version}: {status}"
                for name, status in statuses.items()
                if status in DENIALS
            ]
            self.changes += 1
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def find_outdated(self) -> list[str]:
        """Declare another document; return the gateways that don't act by it."""
        statuses = await self._ask_by_new_document()
        return [
            f"{name} answered {status} {self._codes[name]} on a route of document"
            f" {self._version}"
            for name, status in statuses.items()
            if status != httpx2.codes.OK
        ]

    async def _ask_by_new_document(self) -> dict[str, int | str]:
        """Declare a document; return how gateways answer what only it allows."""
        self._version += 1
        await asyncio.to_thread(
            wait_until, self._declare, "no replica takes a document"
        )
        await asyncio.sleep(APPLY_S)
        path, key = f"new-{self._version}/1", self._new_key()
        at_once = asyncio.Semaphore(SLOTS * UPSTREAMS)

        async def ask(name: str) -> int | str:
            async with at_once:
                return await self._send(client, name, path, "", key)

        async with httpx2.AsyncClient(timeout=DEADLINE_S, trust_env=False) as client:
            answers = await asyncio.gather(*map(ask, self._fronts))
        return dict(zip(self._fronts, answers, strict=True))

    def _new_key(self) -> str:
        return f"key-of-document-{self._version}"

    def document(self) -> dict[str, Any]:
        """Return the document with a route and a key that name its version."""
        document = super().document()
        route, name = document["routes"][0], f"new-{self._version}"
        added = {**route, "name": name, "pathPrefix": f"/{name}/"}
        document["routes"].append(added)
        document["tenants"][0]["apiKeys"].append(self._new_key())
        return document | {"version": self._version}

    def post(self, path: str, body: dict[str, Any]) -> bool:
        """Send a request to the replicas in turn until one acknowledges it."""
        for http, _ in list(self.controls.values())[::-1]:
            self._control = http
            if super().post(path, body):
                return True
        return False

    def find_faults(self) -> Iterator[str]:
        """Yield what is wrong with the processes that are to run."""
        for name in list(self.processes):
            if name not in self._fronts and name not in self.controls:
                del self.processes[name]
        yield from super().find_faults()
        yield from self.failures[:5]

    async def _send(
        self,
        client: httpx2.AsyncClient,
        name: str,
        path: str,
        prefix: str = "urgent/",
        key: str = "",
    ) -> int | str:
        key = key or api_key(self.workspaces[0])
        headers = {"host": HOST, "x-api-key": key}
        headers["x-request-id"] = f"{name}-{path}-{self._rng.random()}".replace(
            "/", "-"
        )
        try:
            url = f"http://{self._fronts[name]}/{prefix}{path}"
            got = await client.get(url, headers=headers)
        except httpx2.HTTPError as exc:
            self._codes[name] = "no answer"
            return type(exc).__name__
        found = CODE.search(got.text)
        self._codes[name] = "" if found is None else found.group(1)
        return got.status_code

    def _retire(self, name: str, *, terminate: bool) -> None:
        del self.controls[name]
        if terminate:
            self.processes[name].terminate()
        else:
            self.processes[name].kill()

    def _add_replica(self, rpc: str, seeds: list[str], *, bootstrap: bool) -> str:
        self._started += 1
        name, http = f"control-{self._started}", self._address()
        self.controls[name] = http, rpc
        path = self._folder / f"{name}.toml"
        listed = ", ".join(f'"{seed}"' for seed in seeds)
        path.write_text(
            f'[node]\nname = "{name}"\nzone = "zone-1"\n'
            f"[fleet]\ntrust_network = true\ncontrols = [{listed}]\n[control]\n"
            f'data_dir = "{self._folder / name}"\nrpc = "{rpc}"\nhttp = "{http}"\n'
            f"open_group = true\nbootstrap = {str(bootstrap).lower()}\n"
            f"tolerated_losses = 1\nbeat_s = {HEARTBEAT_S}\n"
        )
        argv = [sys.executable, str(ROOT / "platform" / "run.py"), "control"]
        self.processes[name] = self._process(name, argv, path)
        return name

    @staticmethod
    def _address() -> str:
        return f"127.0.0.1:{free_port()}"


async def run_faults(environment: ControlsEnvironment, rng: random.Random) -> list[str]:
    """Replace all replicas beside faults of gateways; return what broke."""
    stop, settled = asyncio.Event(), asyncio.Event()
    names = list(environment.gateways)
    changes = asyncio.create_task(environment.change_documents(settled))
    calls = [asyncio.create_task(environment.call(name, stop)) for name in names]
    try:
        for _ in range(REPLACEMENTS):
            disturbed = rng.sample(names, rng.randint(0, len(names) - 1))
            await asyncio.gather(
                environment.replace(), *map(environment.disturb, disturbed)
            )
        settled.set()
        await changes
        await asyncio.sleep(TOUCH_S)
        return await environment.find_outdated()
    finally:
        stop.set()
        settled.set()
        await asyncio.gather(changes, *calls)


def run_controls_seed(
    seed: int, seconds: float, folder: pathlib.Path, gateways: int = GATEWAYS
) -> list[str]:
    """Run one seed; its faults take as long as the replacements, not ``seconds``."""
    rng = random.Random(seed)
    load = BackgroundLoop()
    environment = ControlsEnvironment(folder, load, rng, gateways)
    try:
        environment.start()
        running = load.start(run_faults(environment, rng))
        outdated = running.result(300.0)
        replaced = f"{REPLACEMENTS} replicas replaced"
        sent = f"{environment.sent} requests, {environment.changes} documents"
        print(f"seed {seed}: {sent}, {replaced}", flush=True)
        return [*outdated, *environment.find_faults()]
    finally:
        environment.close()
        load.close()
