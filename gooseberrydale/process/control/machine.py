"""The state machine as the log drives it, publishing what the state says.

Lives as long as the process.  After each entry the configuration goes to the
store, which hands it to the mesh, and tasks that wait for the state are woken.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.control_state import ControlState


class PublishingMachine:
    """Passes entries to the state and publishes the outcome."""

    def __init__(self, state: ControlState, store: ConfigStore) -> None:
        self.state = state
        self._store = store
        self._changed = asyncio.Event()
        self._publish()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed entry; see :class:`ControlState`."""
        answer = self.state.apply(index, command)
        self._publish()
        return answer

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self.state.restore(data)
        self._publish()

    async def wait_change(self, timeout_s: float) -> None:
        """Return after the next entry, or after ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _publish(self) -> None:
        # The log may be replayed after a restart, when a peer has handed the
        # newer configuration over already; the store keeps the newer one.
        self._store.offer(self.state.config)
        self._changed.set()
        self._changed = asyncio.Event()
