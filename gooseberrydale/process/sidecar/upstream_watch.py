"""Polls the upstream for its health, its incarnation and its load.

Each poll uses a connection of its own.  An upstream without a health check, as many
services are, is considered ready while it answers at all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from loguru import logger

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.reply_limits import MAX_HEALTH_BYTES, MAX_LOAD_BYTES
from gooseberrydale.connection.upstream_api import HealthReply, LoadReply
from gooseberrydale.connection.upstream_reply import Reply, UpstreamError
from gooseberrydale.process.cfg import SidecarCfg
from gooseberrydale.version.declarations import ProfileKind
from gooseberrydale.version.upstream_state import UpstreamState

POLL_INTERVAL_S = 0.5
FAILED_POLLS_TO_UNREADY = 2
# How long an answer may be on its way from a working upstream on the sidecar's machine;
# a hundred times the time that loopback takes on a busy machine.
ANSWER_TRANSIT_S = 0.5
OK = 200
NO_HEALTH_CHECK_STATUSES = frozenset({404, 405, 501})

StateListener = Callable[[UpstreamState, UpstreamState], None]
LoadListener = Callable[[LoadReply], None]


class IncarnationListener(Protocol):
    """Receives the result of each poll of the upstream."""

    def upstream_unreachable(self, reason: str) -> None:
        """The upstream accepts no connection."""

    def upstream_answered(self, incarnation: str) -> None:
        """The upstream answered; ``incarnation`` is empty if it names none."""


class UpstreamWatch:
    """Polls the upstream; ``on_state`` is called with the old and the new state.

    ``last_answer_at`` is the start of the last poll that the upstream answered.
    """

    def __init__(
        self,
        cfg: SidecarCfg,
        on_state: StateListener,
        on_load: LoadListener,
        incarnations: IncarnationListener,
    ) -> None:
        self._incarnations = incarnations
        self._base_url = cfg.upstream
        self._has_load = cfg.kind == ProfileKind.COMPLETION
        self._on_state = on_state
        self._on_load = on_load
        self._failures = 0
        self._lists_requests = False
        self._task: asyncio.Task[None] | None = None
        self._extra_poll: asyncio.Task[None] | None = None
        self._polling = asyncio.Lock()
        self.state = UpstreamState()
        self.last_answer_at = 0.0

    async def start(self) -> None:
        """Poll once, then start polling at intervals."""
        await self.poll()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling."""
        tasks = [task for task in (self._task, self._extra_poll) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def poll_soon(self) -> None:
        """Start a poll in the background unless the previous one still runs."""
        if self._extra_poll is None or self._extra_poll.done():
            self._extra_poll = asyncio.create_task(self.poll())

    async def alive(self) -> bool:
        """Whether the upstream answers on a new connection, with any status."""
        try:
            await upstream_api.call(
                self._base_url, "GET", "/health", max_bytes=MAX_HEALTH_BYTES
            )
        except UpstreamError:
            return False
        return True

    @property
    def lists_requests(self) -> bool:
        """Whether the load report lists the requests that have not ended."""
        return self._lists_requests

    async def lost(self, request_id: str, attempt: int) -> bool:
        """Whether a request without an answer so far will never be answered.

        If the load report lists the open requests, one that is not listed is lost; the
        reply is delayed by ``ANSWER_TRANSIT_S``, in which an answer that is on its way
        still arrives.  If the report has no such list, the request counts as lost when
        the upstream has an empty queue.  A service has no load report, and is only
        asked whether it answers.
        """
        if not self._has_load:
            return await self.alive()
        try:
            reply = await upstream_api.call(
                self._base_url, "GET", "/load", max_bytes=MAX_LOAD_BYTES
            )
            if reply.status != OK:
                return True
            load = reply.decode(LoadReply)
        except UpstreamError:
            return False
        if load.requests is None:
            return load.waiting == 0
        if (request_id, str(attempt)) in load.requests:
            return False
        await asyncio.sleep(ANSWER_TRANSIT_S)
        return True

    async def poll(self) -> None:
        """Poll the health now.

        Polls run one at a time, so that an older answer can't replace a newer one.
        """
        async with self._polling:
            started_at = asyncio.get_running_loop().time()
            try:
                state = await self._health()
            except UpstreamError as exc:
                self._on_poll_failed(exc)
                return
            self._failures = 0
            self._incarnations.upstream_answered(state.incarnation)
            self._set_state(state)
            self.last_answer_at = started_at

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll()
            if self._has_load and self.state.ready:
                await self._poll_load()

    async def _health(self) -> UpstreamState:
        reply = await upstream_api.call(
            self._base_url, "GET", "/health", max_bytes=MAX_HEALTH_BYTES
        )
        if reply.status in NO_HEALTH_CHECK_STATUSES:
            return UpstreamState(ready=True)
        if reply.status != OK:
            raise UpstreamError(f"status {reply.status}", sent=True)
        if not self._has_load:
            return _service_state(reply)
        health = reply.decode(HealthReply)
        return UpstreamState(
            health.ready,
            health.incarnation,
            health.model,
            health.weights_version,
            health.software,
        )

    async def _poll_load(self) -> None:
        try:
            reply = await upstream_api.call(
                self._base_url, "GET", "/load", max_bytes=MAX_LOAD_BYTES
            )
            if reply.status == OK:
                load = reply.decode(LoadReply)
                self._lists_requests = load.requests is not None
                self._on_load(load)
        except UpstreamError as exc:
            logger.debug("polling the load of the upstream failed: {}", exc)

    def _on_poll_failed(self, exc: UpstreamError) -> None:
        self._failures += 1
        if not exc.sent:
            self._incarnations.upstream_unreachable(str(exc))
        if exc.sent and self._failures < FAILED_POLLS_TO_UNREADY:
            return
        old = self.state
        self._set_state(replace(old, ready=False))

    def _set_state(self, state: UpstreamState) -> None:
        old = self.state
        if state == old:
            return
        logger.info("upstream state changed to {}", state)
        self.state = state
        self._on_state(old, state)


def _service_state(reply: Reply) -> UpstreamState:
    """The state of a service, whose health check may answer in any format."""
    try:
        health = reply.decode(HealthReply)
    except UpstreamError:
        return UpstreamState(ready=True)
    return UpstreamState(health.ready, health.incarnation)
