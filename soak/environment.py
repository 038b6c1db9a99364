"""The processes of one soak run, the relays between them, and the injection of faults.

Each seed has its own environment.  It ends only processes that it started, by their
ids.
"""

from __future__ import annotations

import asyncio
import pathlib
import shutil
from collections.abc import Awaitable, Callable

from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from soak.plan import LINK_FAULTS, Fault, FaultKind, Targets
from tests.callers import BackgroundLoop
from tests.fleet import (
    CONTROL_RPC_PORT,
    ENTRY_RPC_PORT,
    SIDECAR_RPC_PORT,
    Fleet,
    UpstreamSpec,
    key_digest,
)
from tests.relay import Relay, RelayMode

COMPLETIONS, BIDS = "soak-texts", "soak-bids"
KEY = "key-of-the-soak"
DEADLINE_S = 20.0
ZONES = ("zone-1", "zone-2", "zone-3")
ENGINES, SERVICES, ENTRIES, CONTROLS = 2, 1, 2, 3
DRAIN_TIMEOUT_S = 40.0
"""Longer than the 30 s that a draining process gives open answers."""

MODES = {
    FaultKind.SILENT: RelayMode.SILENT,
    FaultKind.ONE_WAY: RelayMode.ONE_WAY,
    FaultKind.SLOW: RelayMode.SLOW,
    FaultKind.CUT: RelayMode.CUT,
}


class Environment:
    """A fleet whose processes connect to each other through relays.

    ``attempted`` lists the workspaces that the faults tried to add, ``acknowledged``
    those of them that the control replicas acknowledged.  ``drain_failures`` describes
    the drains that did not end with exit code 0.
    """

    def __init__(self, folder: pathlib.Path, load: BackgroundLoop) -> None:
        self.fleet = Fleet(folder, ZONES)
        self._load = load
        self._relays: dict[str, Relay] = {}
        self._reserved: dict[str, int] = {}
        self.acknowledged: list[str] = []
        self.attempted: list[str] = []
        self.drain_failures: list[str] = []

    def start(self) -> Targets:
        """Start all processes; return the targets of faults."""
        fleet = self.fleet
        for number in range(CONTROLS):
            self._relay(f"control-{number + 1}", CONTROL_RPC_PORT)
        for number in range(ENTRIES):
            self._relay(f"entry-{number + 1}", ENTRY_RPC_PORT)
        fleet.add_controls(CONTROLS)
        fleet.add_entries(ENTRIES)
        engines = [f"engine-{n + 1}" for n in range(ENGINES)]
        services = [f"service-{n + 1}" for n in range(SERVICES)]
        for name in (*engines, *services):
            self._add_upstream(name, is_engine=name in engines)
        fleet.start()
        self._declare()
        fleet.wait_ready(ENGINES + SERVICES)
        return Targets(
            entries=tuple(fleet.entries),
            sidecars=tuple(f"sidecar-{name}" for name in (*engines, *services)),
            controls=tuple(fleet.controls),
            engines=tuple(f"upstream-{name}" for name in engines),
            recording_upstreams=tuple(f"upstream-{name}" for name in services),
            links=tuple(self._relays),
        )

    def close(self) -> None:
        """Stop all remaining processes and relays."""
        self.fleet.close()
        for relay in self._relays.values():
            self._load.run(relay.close())

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and undo it; return once it is undone."""
        if fault.kind in LINK_FAULTS:
            await self._fault_link(fault)
            return
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.MASS_KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.DRAIN: self._drain,
            FaultKind.RELOAD: self._reload,
            FaultKind.WIPE: self._wipe,
            FaultKind.CHANGE: self._change,
            FaultKind.RACE: self._race,
        }
        await handlers[fault.kind](fault)

    # Faults of processes.  A process that another fault has reserved is skipped.

    async def _kill(self, fault: Fault) -> None:
        reserved = [name for name in fault.targets if self._reserve(name)]
        for name in reserved:
            await asyncio.to_thread(self.fleet.processes[name].kill)
        await asyncio.sleep(fault.duration_s)
        for name in reserved:
            self._restart(name)

    async def _pause(self, fault: Fault) -> None:
        [name] = fault.targets
        if not self._reserve(name):
            return
        self.fleet.processes[name].freeze()
        await asyncio.sleep(fault.duration_s)
        self.fleet.processes[name].thaw()
        self._release(name)

    async def _drain(self, fault: Fault) -> None:
        [name] = fault.targets
        if not self._reserve(name):
            return
        process = self.fleet.processes[name]
        process.terminate()
        code = await asyncio.to_thread(process.wait, DRAIN_TIMEOUT_S)
        if code != 0:
            self.drain_failures.append(f"{name} ended with {code}")
        self._restart(name)

    async def _reload(self, fault: Fault) -> None:
        [name] = fault.targets
        if self._reserve(name):
            self.fleet.processes[name].reload()
            self._release(name)

    async def _wipe(self, fault: Fault) -> None:
        [name] = fault.targets
        if not self._reserve(name):
            return
        await asyncio.to_thread(self.fleet.processes[name].kill)
        shutil.rmtree(self.fleet.folder / name, ignore_errors=True)
        await asyncio.sleep(fault.duration_s)
        self._restart(name)

    # Configuration changes by operators.

    async def _change(self, fault: Fault) -> None:
        await self._apply(f"ws-{round(fault.start_s * 100)}")

    async def _race(self, fault: Fault) -> None:
        names = [f"ws-{round(fault.start_s * 100)}-{side}" for side in "ab"]
        await asyncio.gather(*map(self._apply, names))

    async def _apply(self, name: str) -> None:
        """Add a workspace; without an answer it may or may not have been added."""
        self.attempted.append(name)
        try:
            workspace = Workspace(name=name)
            await asyncio.to_thread(self.fleet.declare, (), (workspace,))
        except (AssertionError, KeyError, ValueError):
            return
        self.acknowledged.append(name)

    # Faults of links.

    async def _fault_link(self, fault: Fault) -> None:
        [name] = fault.targets
        relay = self._relays[name]
        if fault.kind is FaultKind.SILENT_OPEN:
            relay.silence_open()
            return
        if not self._reserve(f"link {name}"):
            return
        await relay.set_mode(MODES[fault.kind])
        await asyncio.sleep(fault.duration_s)
        await relay.set_mode(RelayMode.FORWARD)
        self._release(f"link {name}")

    # Helpers.

    def _reserve(self, name: str) -> bool:
        if self._reserved.get(name):
            return False
        self._reserved[name] = 1
        return True

    def _release(self, name: str) -> None:
        self._reserved[name] = 0

    def _restart(self, name: str) -> None:
        self.fleet.processes[name].start()
        self._release(name)

    def _relay(self, name: str, port: int) -> Relay:
        relay = Relay(port, self.fleet.host(name))
        self._load.run(relay.start())
        self._relays[name] = relay
        self.fleet.rpc_override[name] = relay.address
        return relay

    def _add_upstream(self, name: str, *, is_engine: bool) -> None:
        relay = self._relay(f"sidecar-{name}", SIDECAR_RPC_PORT)
        self.fleet.add_upstream(
            UpstreamSpec(
                name,
                COMPLETIONS if is_engine else BIDS,
                kind="completion" if is_engine else "service",
                flags=("--model", "model-a") if is_engine else (),
                settings={"advertise": relay.address},
            )
        )

    def _declare(self) -> None:
        self.fleet.declare(
            [
                Profile(
                    COMPLETIONS,
                    ProfileKind.COMPLETION,
                    pool=COMPLETIONS,
                    model="model-a",
                    deadline_s=DEADLINE_S,
                ),
                Profile(
                    BIDS,
                    ProfileKind.SERVICE,
                    pool=BIDS,
                    repeatable=False,
                    deadline_s=DEADLINE_S,
                ),
            ],
            [Workspace("soak", key_digests=(key_digest(KEY),))],
        )
