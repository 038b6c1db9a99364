"""Watches the upstream: whether it answers, and which life of it this is.

Lives as long as the sidecar; its tasks own the connections that they open.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.upstream_http import UpstreamCall, UpstreamError
from gooseberrydale.process.cfg import SidecarCfg
from gooseberrydale.version.upstream_state import UpstreamState

PROBE_TIMEOUT_S = 2.0


class UpstreamWatch:
    """Keeps ``state`` up to date."""

    def __init__(self, cfg: SidecarCfg) -> None:
        self._cfg = cfg
        self.state = UpstreamState()

    async def start(self) -> None:
        """Start watching."""

    async def close(self) -> None:
        """Stop watching."""

    async def alive(self) -> bool:
        """Whether the upstream answers anything at all on a new connection."""
        http = UpstreamCall(self._cfg.upstream)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await http.open("GET", "/health")
            return True
        except (UpstreamError, TimeoutError):
            return False
        finally:
            await http.close()
