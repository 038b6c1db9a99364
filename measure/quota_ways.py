"""Ways to keep a workspace's quota over all gateways, side by side on one model.

``python -m measure.quota_ways`` plays each way in the same scenarios with the same
seeds, on a network in memory with a paused clock.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import fire

from gooseberrydale.connection.codec import message
from gooseberrydale.process.gateway.quota_client import OverQuota, QuotaClient, Want
from tests.builders_quotas import Callers, Fleetful, Node, bound, due, prompts, tokens
from tests.clock import run_paused
from tests.test_quotas_shared import MEAN_COST, RATE, TROUBLES, WARM_S, any_node

GATHER_S = 0.05


@message
@dataclass(frozen=True, slots=True)
class SharedCounts:
    """What one gateway has spent since it started, by workspace."""

    gateway: str
    incarnation: str
    spent: dict[str, int]


class Alone:
    """A bucket of its own at each gateway, an equal part of the quota."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        node: Node,
        fleet: Any,
        quotas: Any,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._node = node
        self._peers = fleet().others
        self._left: dict[str, float] = {}
        self._at: dict[str, float] = {}
        self._began = 0.0
        self.part = 1.0 / (len(self._peers) + 1)

    async def start(self) -> None:
        self._began = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Nothing."""

    def told(self, workspace: str, cost: int) -> None:
        """Nothing is told."""

    async def admit(self, want: Want) -> OverQuota | None:
        now = asyncio.get_running_loop().time()
        rate, burst = want.quota.per_s * self.part, want.quota.burst * self.part
        since = self._at.get(want.workspace, self._began)
        left = self._left.get(want.workspace, 0.0) + (now - since) * rate
        left = min(left, burst)
        self._at[want.workspace] = now
        granted = left > 0.0
        self._left[want.workspace] = left - want.cost * granted
        if granted:
            self.told(want.workspace, want.cost)
            return None
        return OverQuota(max(0.05, -left / rate), left, 0.0, self._name)


class Told(Alone):
    """Every gateway counts for all, from what each tells all others."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.part = 1.0
        self._spent: dict[str, int] = {}
        self._news: set[str] = set()
        self._heard: dict[tuple[str, str], dict[str, int]] = {}
        self._node.on(SharedCounts, self._hear)

    def told(self, workspace: str, cost: int) -> None:
        self._spent[workspace] = self._spent.get(workspace, 0) + cost
        if not self._news:
            asyncio.get_running_loop().call_later(GATHER_S, self._tell)
        self._news.add(workspace)

    def _tell(self) -> None:
        spent = {name: self._spent[name] for name in self._news}
        self._news.clear()
        self._node.send(SharedCounts(self._name, self._incarnation, spent), self._peers)

    def _hear(self, counts: SharedCounts) -> None:
        known = self._heard.setdefault((counts.gateway, counts.incarnation), {})
        for workspace, spent in counts.spent.items():
            new = spent - known.get(workspace, 0)
            if new > 0:
                known[workspace] = spent
                self._left[workspace] = self._left.get(workspace, 0.0) - new


WAYS = {"equal parts": Alone, "counts told to all": Told, "owners": QuotaClient}


async def _play(way: str, trouble: str, load: float, size: int, seed: int) -> list[str]:
    fleet = Fleetful(seed, size=size, quotas={"a": tokens(RATE)}, client=WAYS[way])
    await fleet.start()
    await asyncio.sleep(WARM_S)
    fleet.net.sent_bytes.clear()
    callers = Callers(fleet, "a", load * RATE / MEAN_COST, prompts, any_node(fleet))
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(WARM_S + 24.0))
        group.create_task(TROUBLES[trouble](fleet))  # type: ignore[arg-type]
    await fleet.close()
    arrivals = [(at - WARM_S, cost) for at, cost in callers.arrivals]
    quota = tokens(RATE)
    busiest = max(fleet.net.sent_bytes.values(), default=0) / 24.0
    mean = sum(fleet.net.sent_bytes.values()) / size / 24.0
    served = sum(callers.returned)
    return [
        f"{fleet.granted('a') / due(arrivals, quota):.3f}",
        f"{fleet.most_in_window('a') / bound(quota):.3f}",
        f"{len(fleet.refusals['a'])}",
        f"{served}/{len(callers.returned)}",
        f"{mean:.0f}",
        f"{busiest:.0f}",
    ]


def main(
    troubles: str | Iterable[str] = tuple(TROUBLES), size: int = 29, seed: int = 3
) -> None:
    """Print a row for each way, scenario and load."""
    print("| way | scenario | load | granted of due | window of bound | refusals |")
    print("| returned and served | bytes/s a gateway | bytes/s of the busiest |")
    for trouble in [troubles] if isinstance(troubles, str) else troubles:
        for load in (0.55, 1.5, 4.0):
            for way in WAYS:
                row = run_paused(_play(way, trouble, load, size, seed))
                print("|", " | ".join((way, trouble, str(load), *row)), "|", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
