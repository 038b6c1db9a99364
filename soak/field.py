"""The processes of one soak, the relays between them, and the faults done to them.

Lives as long as one seed.  It ends only processes that it started, by their ids.
"""

from __future__ import annotations

import asyncio
import pathlib
import shutil
from collections.abc import Awaitable, Callable

from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from soak.plan import ON_LINKS, Fault, FaultKind, Targets
from tests.callers import Load
from tests.fleet import (
    CONTROL_RPC,
    ENTRY_RPC,
    SIDECAR_RPC,
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
DRAIN_BOUND_S = 40.0
"""A drain gives open answers 30 s."""

MODES = {
    FaultKind.SILENT: RelayMode.SILENT,
    FaultKind.ONE_WAY: RelayMode.ONE_WAY,
    FaultKind.SLOW: RelayMode.SLOW,
    FaultKind.CUT: RelayMode.CUT,
}


class Field:
    """A fleet whose processes reach each other through relays."""

    def __init__(self, folder: pathlib.Path, load: Load) -> None:
        self.fleet = Fleet(folder, ZONES)
        self._load = load
        self._relays: dict[str, Relay] = {}
        self._held: dict[str, int] = {}
        self.acknowledged: list[str] = []
        self.unclear: list[str] = []
        self.drained_badly: list[str] = []

    def start(self) -> Targets:
        """Start everything; return what faults may be done to."""
        fleet = self.fleet
        for number in range(CONTROLS):
            self._relay(f"control-{number + 1}", CONTROL_RPC)
        for number in range(ENTRIES):
            self._relay(f"entry-{number + 1}", ENTRY_RPC)
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
            keepers=tuple(f"upstream-{name}" for name in services),
            links=tuple(self._relays),
        )

    def close(self) -> None:
        """End every process and relay that is still there."""
        self.fleet.close()
        for relay in self._relays.values():
            self._load.run(relay.close())

    async def carry_out(self, fault: Fault) -> None:
        """Do one fault and undo it; returns once it is undone."""
        if fault.kind in ON_LINKS:
            await self._on_link(fault)
            return
        do: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.HERD: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.DRAIN: self._drain,
            FaultKind.RELOAD: self._reload,
            FaultKind.WIPE: self._wipe,
            FaultKind.CHANGE: self._change,
            FaultKind.RACE: self._race,
        }
        await do[fault.kind](fault)

    # Faults of processes.  A process that another fault holds is left to it.

    async def _kill(self, fault: Fault) -> None:
        taken = [name for name in fault.targets if self._take(name)]
        for name in taken:
            await asyncio.to_thread(self.fleet.processes[name].kill)
        await asyncio.sleep(fault.for_s)
        for name in taken:
            self._start_again(name)

    async def _pause(self, fault: Fault) -> None:
        [name] = fault.targets
        if not self._take(name):
            return
        self.fleet.processes[name].freeze()
        await asyncio.sleep(fault.for_s)
        self.fleet.processes[name].thaw()
        self._release(name)

    async def _drain(self, fault: Fault) -> None:
        [name] = fault.targets
        if not self._take(name):
            return
        process = self.fleet.processes[name]
        process.terminate()
        code = await asyncio.to_thread(process.wait, DRAIN_BOUND_S)
        if code != 0:
            self.drained_badly.append(f"{name} ended with {code}")
        self._start_again(name)

    async def _reload(self, fault: Fault) -> None:
        [name] = fault.targets
        if self._take(name):
            self.fleet.processes[name].reload()
            self._release(name)

    async def _wipe(self, fault: Fault) -> None:
        [name] = fault.targets
        if not self._take(name):
            return
        await asyncio.to_thread(self.fleet.processes[name].kill)
        shutil.rmtree(self.fleet.folder / name, ignore_errors=True)
        await asyncio.sleep(fault.for_s)
        self._start_again(name)

    # Changes of operators.

    async def _change(self, fault: Fault) -> None:
        await self._apply(f"ws-{round(fault.at_s * 100)}")

    async def _race(self, fault: Fault) -> None:
        names = [f"ws-{round(fault.at_s * 100)}-{side}" for side in "ab"]
        await asyncio.gather(*map(self._apply, names))

    async def _apply(self, name: str) -> None:
        """Add a workspace; without an answer nobody knows whether it is there."""
        self.unclear.append(name)
        try:
            workspace = Workspace(name=name)
            await asyncio.to_thread(self.fleet.declare, (), (workspace,))
        except (AssertionError, KeyError, ValueError):
            return
        self.acknowledged.append(name)

    # Faults of links.

    async def _on_link(self, fault: Fault) -> None:
        [name] = fault.targets
        relay = self._relays[name]
        if fault.kind is FaultKind.SILENT_OPEN:
            relay.silence_open()
            return
        if not self._take(f"link {name}"):
            return
        await relay.set_mode(MODES[fault.kind])
        await asyncio.sleep(fault.for_s)
        await relay.set_mode(RelayMode.FORWARD)
        self._release(f"link {name}")

    # Details.

    def _take(self, name: str) -> bool:
        if self._held.get(name):
            return False
        self._held[name] = 1
        return True

    def _release(self, name: str) -> None:
        self._held[name] = 0

    def _start_again(self, name: str) -> None:
        self.fleet.processes[name].start()
        self._release(name)

    def _relay(self, name: str, port: int) -> Relay:
        relay = Relay(port, self.fleet.host(name))
        self._load.run(relay.start())
        self._relays[name] = relay
        self.fleet.rpc_override[name] = relay.address
        return relay

    def _add_upstream(self, name: str, *, is_engine: bool) -> None:
        relay = self._relay(f"sidecar-{name}", SIDECAR_RPC)
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
