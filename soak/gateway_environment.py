"""The processes of a soak run of gateways, their upstreams, and the faults.

Control and the gateways are real processes; the upstreams run in the soak's own
process, so that they can record what they ran and change their speed.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import re
import sys
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import Any

import httpx2

from soak.competition import (
    BURST_FACTOR,
    DEADLINE_S,
    HOST,
    ROUTES,
    CompetingCallers,
    api_key,
)
from soak.limited_upstream import SLOTS, LimitedUpstream
from soak.plan import Fault, FaultKind, GatewayTargets
from tests.builders_endless import ENDLESS_FRAMING
from tests.callers import BackgroundLoop
from tests.fleet import ROOT, Process, describe_ends, wait_until
from tests.free_ports import free_port

GATEWAYS, UPSTREAMS, WORKSPACES = 3, 2, 4
GATEWAYS_PER_UPSTREAM = 5
"""With more gateways than usual there are more upstreams, as each sees less of them."""

POOL = "desk"
HEARTBEAT_S = 0.4
SLOWNESS = 2.5
OBJECTIVE_S = 0.6
CONTRACTS = "pressure"
"""The contract of deployments whose callers compete; see ``platform/run.py``."""

SETTINGS = "GOOSEBERRYDALE_CONFIG"
KIB_PER_MIB = 1024
MAX_MEMORY_MIB = 128
"""The memory that control may use on a node; a gateway is held to the same here."""


class GatewayEnvironment:
    """One control replica, some gateways, and upstreams with few slots."""

    def __init__(
        self, folder: pathlib.Path, load: BackgroundLoop, gateways: int = GATEWAYS
    ) -> None:
        self._folder = folder
        self._gateway_count = gateways
        self.load = load
        self._control = f"127.0.0.1:{free_port()}"
        self._fronts: dict[str, str] = {}
        self._ready: dict[str, str] = {}
        self._heartbeats: Any = None
        self._reserved: set[str] = set()
        self._callers: CompetingCallers | None = None
        self.processes: dict[str, Process] = {}
        count = max(UPSTREAMS, gateways // GATEWAYS_PER_UPSTREAM)
        self.upstreams = [LimitedUpstream(f"u{n + 1}") for n in range(count)]
        self.workspaces = [f"workspace-{n + 1}" for n in range(WORKSPACES)]

    @property
    def gateways(self) -> tuple[str, ...]:
        """The names of the gateways."""
        return tuple(self._fronts)

    @property
    def seeds(self) -> list[str]:
        """The control replicas in the settings of gateways."""
        return [self._rpc]

    @property
    def urls(self) -> list[str]:
        """The addresses at which gateways serve callers."""
        return [f"http://{address}" for address in self._fronts.values()]

    def start(self) -> GatewayTargets:
        """Start all processes and upstreams; return the targets of faults."""
        for upstream in self.upstreams:
            self.load.run(upstream.start())
        rpc = f"127.0.0.1:{free_port()}"
        self.add_controls(rpc)
        for number in range(self._gateway_count):
            self._add_gateway(number, self.seeds)
        for process in self.processes.values():
            process.start()
        self._await_start(self._declare, "control does not take the configuration")
        self._heartbeats = self.load.start(self._announce())
        for name in self._fronts:
            self._await_start(partial(self._is_ready, name), f"{name} is not ready")
        return GatewayTargets(
            gateways=tuple(self._fronts),
            upstreams=tuple(upstream.name for upstream in self.upstreams),
            workspaces=tuple(self.workspaces),
        )

    def close(self) -> None:
        """Stop all processes and upstreams."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for process in self.processes.values():
            if process.running:
                process.thaw()
                process.kill()
        for upstream in self.upstreams:
            self.load.run(upstream.close())

    def use(self, callers: CompetingCallers) -> None:
        """Let bursts raise the rates of these callers."""
        self._callers = callers

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and undo it; a target of another fault is skipped."""
        handlers: dict[FaultKind, Callable[[str, float], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.SLOWDOWN: self._slow_down,
            FaultKind.HIDDEN_SLOWDOWN: self._slow_down_unstated,
            FaultKind.BURST: self._burst,
            FaultKind.ENDLESS: self._answer_endlessly,
        }
        [name] = fault.targets
        if name in self._reserved:
            return
        self._reserved.add(name)
        try:
            await handlers[fault.kind](name, fault.duration_s)
        finally:
            self._reserved.discard(name)

    def find_faults(self) -> Iterator[str]:
        """Yield what is wrong with the processes after the last fault."""
        for name in self._fronts:
            try:
                wait_until(partial(self._is_ready, name), f"{name} is not ready")
            except AssertionError as exc:
                yield str(exc)
        for name, process in self.processes.items():
            if not process.running:
                yield f"{name} ended unexpectedly: {process.output()[-300:]}"
            if "InvariantError" in process.output():
                yield f"{name} violated an invariant, see its log"
            if process.running and (peak := peak_mib(process.pid)) > MAX_MEMORY_MIB:
                yield f"{name} used {peak:.0f} MiB, more than {MAX_MEMORY_MIB}"

    # Faults.

    async def _kill(self, name: str, duration_s: float) -> None:
        await asyncio.to_thread(self.processes[name].kill)
        await asyncio.sleep(duration_s)
        self.processes[name].start()

    async def _pause(self, name: str, duration_s: float) -> None:
        self.processes[name].freeze()
        await asyncio.sleep(duration_s)
        self.processes[name].thaw()

    async def _slow_down(self, name: str, duration_s: float) -> None:
        upstream = self._upstream(name)
        upstream.slowness = upstream.stated = SLOWNESS
        await asyncio.sleep(duration_s)
        upstream.slowness = upstream.stated = 1.0

    async def _slow_down_unstated(self, name: str, duration_s: float) -> None:
        upstream = self._upstream(name)
        upstream.slowness = SLOWNESS
        await asyncio.sleep(duration_s)
        upstream.slowness = 1.0

    async def _answer_endlessly(self, name: str, duration_s: float) -> None:
        upstream = self._upstream(name)
        # The plan alone decides, so that a seed can be played again.
        rng = random.Random(f"{name} {duration_s}")
        part = rng.choice(sorted(ENDLESS_FRAMING))
        upstream.endless = ENDLESS_FRAMING[part]
        await asyncio.sleep(duration_s)
        upstream.endless = None

    def _upstream(self, name: str) -> LimitedUpstream:
        return next(item for item in self.upstreams if item.name == name)

    async def _burst(self, name: str, duration_s: float) -> None:
        assert self._callers is not None
        self._callers.factors[name] = BURST_FACTOR
        await asyncio.sleep(duration_s)
        self._callers.factors[name] = 1.0

    # Processes and their settings.

    def _await_start(self, condition: Callable[[], bool], fault: str) -> None:
        """Wait until ``condition`` holds; report all processes if it doesn't."""
        try:
            wait_until(condition, fault)
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n{describe_ends(self.processes)}") from None

    def add_controls(self, rpc: str) -> None:
        """Add the only control replica, at the gRPC address ``rpc``."""
        self._rpc = rpc
        self._add(
            "control",
            "control",
            [rpc],
            f'data_dir = "{self._folder / "control"}"\nrpc = "{rpc}"\n'
            f'http = "{self._control}"\nopen_group = true\nbootstrap = true\n'
            f"tolerated_losses = 0\nbeat_s = {HEARTBEAT_S}\n",
        )

    def settings_of_gateway(self, number: int) -> str:
        """Return further settings of a gateway."""
        return ""

    def _add_gateway(self, number: int, seeds: list[str]) -> None:
        name = f"gateway-{number + 1}"
        self._fronts[name] = f"127.0.0.1:{free_port()}"
        self._ready[name] = f"127.0.0.1:{free_port()}"
        self._add(
            name,
            "gateway",
            seeds,
            f'http = "{self._fronts[name]}"\nready = "{self._ready[name]}"\n'
            f'gossip = "127.0.0.1:{free_port()}"\ngateways = {self._gateway_count}\n'
            + self.settings_of_gateway(number),
        )

    def _add(self, name: str, role: str, seeds: list[str], table: str) -> None:
        listed = ", ".join(f'"{seed}"' for seed in seeds)
        path = self._folder / f"{name}.toml"
        path.write_text(
            f'[node]\nname = "{name}"\nzone = "zone-1"\n'
            f'[log]\nfile = "{self._folder / name}.jsonl"\n'
            f"[fleet]\ntrust_network = true\ncontrols = [{listed}]\n[{role}]\n{table}"
        )
        argv = [sys.executable, str(ROOT / "platform" / "run.py"), role, CONTRACTS]
        argv = argv if role == "gateway" else argv[:-1]
        self.processes[name] = self._process(name, argv, path)

    def _process(self, name: str, argv: list[str], cfg: pathlib.Path) -> Process:
        log, own_log = (self._folder / f"{name}.{end}" for end in ("log", "jsonl"))
        return Process(name, argv, log, {SETTINGS: str(cfg)}, own_log)

    def _declare(self) -> bool:
        return self.post("/v1/Config.Put", self.document())

    def document(self) -> dict[str, Any]:
        """Return the document that is declared at the start."""
        return {
            "version": 1,
            "routes": [
                {
                    "name": route.name,
                    "host": HOST,
                    "pathPrefix": f"/{route.name}/",
                    "kind": "unsafe" if route.once else "safe",
                    "timeoutMs": DEADLINE_S * 1_000,
                    "sloMs": OBJECTIVE_S * 1_000,
                    "priority": route.rank,
                    "service": POOL,
                    "attempts": 1 if route.once else 2,
                }
                for route in ROUTES
            ],
            "services": [{"name": POOL, "maxConns": 120}],
            "tenants": [
                {"name": name, "apiKeys": [api_key(name)]} for name in self.workspaces
            ],
        }

    async def _announce(self) -> None:
        """Send the heartbeats of all upstreams until cancelled."""
        seq = 0
        while True:
            seq += 1
            await asyncio.to_thread(self.beat_all, seq)
            await asyncio.sleep(HEARTBEAT_S)

    def beat_all(self, seq: int) -> None:
        """Send the heartbeats of all upstreams."""
        for upstream in self.upstreams:
            self._beat(upstream, seq)

    def _beat(self, upstream: LimitedUpstream, seq: int) -> None:
        beat = {
            "service": POOL,
            "address": upstream.address,
            "zone": "zone-1",
            "seq": seq,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
        }
        self.post(f"/v1/Instances.Heartbeat/{upstream.name}", beat)

    def post(self, path: str, body: dict[str, Any]) -> bool:
        """Send a request to control; return whether it was acknowledged."""
        try:
            got = httpx2.post(
                f"http://{self._control}{path}", json=body, timeout=2.0, trust_env=False
            )
        except httpx2.HTTPError:
            return False
        return got.status_code == httpx2.codes.OK

    def _is_ready(self, name: str) -> bool:
        """Whether a gateway is ready and knows upstreams that serve a call."""
        headers = {
            "host": HOST,
            "x-request-id": f"probe-{name}",
            "x-api-key": api_key(self.workspaces[0]),
        }
        try:
            ready = httpx2.get(
                f"http://{self._ready[name]}", timeout=2.0, trust_env=False
            )
            got = httpx2.get(
                f"http://{self._fronts[name]}/urgent/1",
                headers=headers,
                timeout=DEADLINE_S + 1.0,
                trust_env=False,
            )
        except httpx2.HTTPError:
            return False
        return ready.status_code == got.status_code == httpx2.codes.OK


def peak_mib(pid: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) / KIB_PER_MIB
