"""Decides which parts of capacity sharing apply to a pool.

They apply where the settings say that callers compete, and to pools whose upstreams
state how slow they are.  Other pools are served without any of them.
"""

from __future__ import annotations

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds

PARTS = (
    "learn_speeds",
    "rank_loads",
    "queue_requests",
    "fair_workspaces",
    "reserve_capacity",
    "plan_retries",
)
"""The settings that switch off single parts."""


class CapacitySharing:
    """The parts that apply, by pool; the settings can switch off each one."""

    def __init__(self, cfg: GatewayCfg, speeds: UpstreamSpeeds) -> None:
        self._cfg = cfg
        self._speeds = speeds

    def applies(self, pool: str) -> bool:
        """Whether capacity of ``pool`` is shared between ranks and workspaces."""
        return self._cfg.share_capacity or self._speeds.is_on(pool)

    @property
    def any_applies(self) -> bool:
        """Whether the capacity of any pool is shared."""
        return self._cfg.share_capacity or self._speeds.any_on

    @property
    def reason(self) -> str:
        """Why capacity is shared: ``settings``, or ``slowness`` stated by upstreams."""
        return "settings" if self._cfg.share_capacity else "slowness"

    def parts(self, pool: str) -> list[str]:
        """Return the settings of the parts that apply to a pool."""
        applies = self.applies(pool)
        return [name for name in PARTS if applies and getattr(self._cfg, name)]

    def learns_speeds(self, pool: str) -> bool:
        """Whether the speeds of a pool's upstreams are learned."""
        return self._cfg.learn_speeds and self._speeds.is_on(pool)

    @property
    def reports_ranks(self) -> bool:
        """Whether reports of work are divided by rank."""
        return self._cfg.rank_loads and self.any_applies

    def ranks_loads(self, pool: Pool) -> bool:
        """Whether a request leaves the work of less urgent ranks out of account.

        Services without a model serve in order of arrival.
        """
        is_model = pool.engine is not None
        return is_model and self._cfg.rank_loads and self.applies(pool.name)

    def queues(self, pool: str) -> bool:
        """Whether requests of a pool wait in a queue ordered by rank and workspace."""
        return self._cfg.queue_requests and self.applies(pool)

    def is_fair(self, pool: str) -> bool:
        """Whether workspaces have shares of a pool's capacity while it is short."""
        return self._cfg.fair_workspaces and self.queues(pool)

    def reserves(self, pool: str) -> bool:
        """Whether sends to nearly full upstreams of a pool are reserved."""
        return self._cfg.reserve_capacity and self.applies(pool)

    def plans_retries(self, pool: str) -> bool:
        """Whether refusals and retry times follow from the fleet's backlog."""
        return self._cfg.plan_retries and self.applies(pool)
