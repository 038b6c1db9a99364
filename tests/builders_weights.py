"""Processes that learn of named weights through mesh sessions, on a paused clock."""

from __future__ import annotations

import asyncio
import random

from gooseberrydale.connection.mesh import CONTROL_ROLE, GATEWAY_ROLE
from gooseberrydale.connection.mesh_node import MeshNode
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.peer_loads import PeerLoads
from gooseberrydale.version.stores import Stores
from tests.builders_gateway import POOL, no_limits, prompt, record
from tests.builders_pipe import Pipe, make_node

BOUND_S = 8.0
"""How long work may start on outdated weights."""

MODEL = "m"
LEASE_S = 600.0


class WeightsControl:
    """A control replica; ``name_version`` sets the newest weights of the model."""

    def __init__(self, node: MeshNode) -> None:
        self.node = node

    @classmethod
    async def start(cls, name: str = "c1") -> WeightsControl:
        """Return a replica that knows no version yet."""
        return cls(await make_node(CONTROL_ROLE, name))

    def name_version(self, version: int) -> None:
        """Put ``version`` in force here; the revision equals it."""
        self.node.store.offer(Config(revision=version, weights={MODEL: version}))

    def announce(self, engine: str, version: int) -> None:
        """Announce an engine that serves ``version``."""
        known = record(
            engine,
            model=MODEL,
            weights_version=str(version),
            lease_s=LEASE_S,
            address=f"{engine}:1",
        )
        self.node.directory.offer(known, _now())


class WeightsGateway:
    """What a gateway needs to choose engines by the age of their weights."""

    def __init__(self, node: MeshNode) -> None:
        self.node = node
        self._upstreams = Upstreams(
            node.directory,
            "local",
            random.Random(1),
            PeerLoads(),
            node.named_weights,
            BOUND_S,
            Stores(),
            EndedIncarnations(),
            no_limits(),
        )

    @classmethod
    async def start(cls, name: str, *controls: WeightsControl) -> WeightsGateway:
        """Return a new process with a session to each of ``controls``."""
        gateway = cls(await make_node(GATEWAY_ROLE, name))
        for control in controls:
            gateway.connect(control)
        return gateway

    def connect(self, control: WeightsControl) -> Pipe:
        """Open a session to ``control``."""
        return Pipe(self.node, control.node)

    async def close(self) -> None:
        """End the process."""
        await self.node.close()

    def candidates(self) -> dict[str, float]:
        """Return for how long the weights of each eligible engine are outdated."""
        pool = Pool(POOL, 10, EngineSize(48, 100_000))
        query = UpstreamQuery(pool, prompt(("guide", 100)), "")
        found = self._upstreams.candidates(query, _now())
        return {c.name: c.outdated_for_s for _, c in found}


def _now() -> float:
    return asyncio.get_running_loop().time()
