"""Metrics of a control process.

Outcomes are counted as they occur; levels are read from the state once a second.
"""

from __future__ import annotations

import asyncio
from typing import Any

from result import Ok, Result

from gooseberrydale.connection.control_messages import (
    ChangeReply,
    ClaimReply,
    ClaimReq,
    PlaceOrderReply,
    ReportOrderReq,
)
from gooseberrydale.errors import Problem
from gooseberrydale.process.control.proposer import Proposer
from gooseberrydale.process.control.replica import Replica
from gooseberrydale.process.membership import Mesh
from gooseberrydale.process.metrics import Metrics
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.directory import Directory

INTERVAL_S = 1.0
ACCEPTED = "accepted"


class ControlMetrics:
    """Records outcomes and levels in the metrics of the control role."""

    def __init__(
        self,
        metrics: Metrics,
        state: ControlState,
        proposer: Proposer,
        replica: Replica | None,
        directory: Directory,
        mesh: Mesh,
    ) -> None:
        self.metrics = metrics
        self._state = state
        self._proposer = proposer
        self._replica = replica
        self._directory = directory
        self._mesh = mesh
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start reading the levels."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop; the metrics retain their last values."""
        await stop(self._tasks)
        self.metrics.close()

    def record_outcome(self, req: Any, result: Result[Any, Problem]) -> None:
        """Count the outcome of one request."""
        instruments = self.metrics.instruments
        match result:
            case Ok(ChangeReply() as reply):
                instruments.changes.add(1, {"outcome": _outcome(reply.problem)})
            case Ok(PlaceOrderReply() as reply):
                instruments.orders.add(1, {"outcome": _outcome(reply.problem)})
            case Ok(ClaimReply() as reply) if isinstance(req, ClaimReq):
                outcome = "granted" if reply.granted else "known"
                code = reply.problem.code if reply.problem else outcome
                instruments.claims_made.add(1, {"outcome": code})
            case Ok() if isinstance(req, ReportOrderReq):
                outcome = "done" if req.done else "failed"
                instruments.orders.add(1, {"outcome": outcome})
            case Ok():
                return
            case _:
                instruments.count_refusal(result.unwrap_err().code)

    async def _run(self) -> None:
        while True:
            self._read_levels()
            await asyncio.sleep(INTERVAL_S)

    def _read_levels(self) -> None:
        level = self.metrics.instruments.level
        now = asyncio.get_running_loop().time()
        level.cfg_revision = self._state.config.revision
        level.claims = len(self._state.claims)
        level.upstreams_known = len(self._directory.records(now))
        level.sessions = len(self._mesh.peers())
        level.is_leader = int(self._proposer.leads)
        level.log_index = level.commit_index = self._state.index
        if self._replica is not None:
            status = self._replica.status
            level.term = status.term
            level.log_index = status.last_index
            level.commit_index = status.commit


def _outcome(refused: Problem | None) -> str:
    return ACCEPTED if refused is None else refused.code
