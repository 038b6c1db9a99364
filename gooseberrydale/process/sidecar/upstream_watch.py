"""Watches the upstream: whether it answers, which incarnation of it this is, its load.

Lives as long as the sidecar; each call has a connection of its own.  An upstream
that has no health call, as many plain services, is taken as ready while it answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.upstream_api import HealthReply, LoadReply
from gooseberrydale.connection.upstream_reply import Reply, UpstreamError
from gooseberrydale.process.cfg import SidecarCfg
from gooseberrydale.version.declarations import ProfileKind
from gooseberrydale.version.upstream_state import UpstreamState

POLL_S = 0.5
FAILURES_TO_UNREADY = 2
# Seconds that the end of an answer may take from a live upstream beside the sidecar;
# a hundred times what loopback takes on a busy machine.
ANSWER_TRANSIT_S = 0.5
OK = 200
NO_HEALTH_CALL = frozenset({404, 405, 501})

StateListener = Callable[[UpstreamState, UpstreamState], None]
LoadListener = Callable[[LoadReply], None]


class IncarnationListener(Protocol):
    """Who wants to know whether the upstream is there at each look."""

    def upstream_gone(self, reason: str) -> None:
        """It grants no connection."""

    def upstream_there(self, incarnation: str) -> None:
        """It answers; ``incarnation`` is empty if it does not tell one."""


class UpstreamWatch:
    """Polls the upstream; ``on_state`` gets the old and the new state."""

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
        self._tells_requests = False
        self._task: asyncio.Task[None] | None = None
        self._look: asyncio.Task[None] | None = None
        self._polling = asyncio.Lock()
        self.state = UpstreamState()
        self.seen_at = 0.0

    async def start(self) -> None:
        """Look once, then keep watching."""
        await self.poll()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop watching."""
        tasks = [task for task in (self._task, self._look) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def look_now(self) -> None:
        """Ask for the health soon, without waiting for it."""
        if self._look is None or self._look.done():
            self._look = asyncio.create_task(self.poll())

    async def alive(self) -> bool:
        """Whether the upstream answers anything at all on a new connection."""
        try:
            await upstream_api.call(self._base_url, "GET", "/health")
        except UpstreamError:
            return False
        return True

    @property
    def tells_requests(self) -> bool:
        """Whether the upstream has told which requests it has not ended."""
        return self._tells_requests

    async def lost(self, request_id: str, attempt: int) -> bool:
        """Whether a request that brought no answer yet is known to bring none.

        An upstream that tells its requests has ended this one, and an answer that
        was on its way has had ``ANSWER_TRANSIT_S`` to arrive.  One that doesn't tell
        answers, and lets no request wait.
        """
        if not self._has_load:
            return await self.alive()
        try:
            reply = await upstream_api.call(self._base_url, "GET", "/load")
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
        """Ask for the health now.

        Polls run one at a time, so that an older answer never follows a newer one.
        """
        async with self._polling:
            asked_at = asyncio.get_running_loop().time()
            try:
                state = await self._health()
            except UpstreamError as exc:
                self._failed(exc)
                return
            self._failures = 0
            self._incarnations.upstream_there(state.incarnation)
            self._set(state)
            self.seen_at = asked_at

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            await self.poll()
            if self._has_load and self.state.ready:
                await self._poll_load()

    async def _health(self) -> UpstreamState:
        reply = await upstream_api.call(self._base_url, "GET", "/health")
        if reply.status in NO_HEALTH_CALL:
            return UpstreamState(ready=True)
        if reply.status != OK:
            raise UpstreamError(f"status {reply.status}", sent=True)
        if not self._has_load:
            return _plain_state(reply)
        health = reply.decode(HealthReply)
        return UpstreamState(
            health.ready, health.incarnation, health.model, health.weights_version
        )

    async def _poll_load(self) -> None:
        try:
            reply = await upstream_api.call(self._base_url, "GET", "/load")
            if reply.status == OK:
                load = reply.decode(LoadReply)
                self._tells_requests = load.requests is not None
                self._on_load(load)
        except UpstreamError as exc:
            logger.debug("the upstream does not tell its load: {}", exc)

    def _failed(self, exc: UpstreamError) -> None:
        self._failures += 1
        if not exc.sent:
            self._incarnations.upstream_gone(str(exc))
        if exc.sent and self._failures < FAILURES_TO_UNREADY:
            return
        old = self.state
        self._set(UpstreamState(False, old.incarnation, old.model, old.weights_version))

    def _set(self, state: UpstreamState) -> None:
        old = self.state
        if state == old:
            return
        logger.info("upstream: {}", state)
        self.state = state
        self._on_state(old, state)


def _plain_state(reply: Reply) -> UpstreamState:
    """A plain service may answer its health call in any form."""
    try:
        health = reply.decode(HealthReply)
    except UpstreamError:
        return UpstreamState(ready=True)
    return UpstreamState(health.ready, health.incarnation)
