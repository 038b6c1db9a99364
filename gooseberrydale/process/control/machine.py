"""State machine driven by the log, which publishes the state after each entry.

The configuration is passed to the store, which the mesh propagates, and tasks that wait
for a change of the state are woken.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.control_state import ControlState


class PublishingMachine:
    """Applies entries to the state and publishes the result."""

    def __init__(self, state: ControlState, store: ConfigStore) -> None:
        self.state = state
        self._store = store
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._publish()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the state; it must not raise."""
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed entry; see :class:`ControlState`."""
        answer = self.state.apply(index, command)
        self._publish()
        return answer

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
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
        # After a restart the log may be replayed when a peer has already sent a newer
        # configuration; the store retains the newer one.
        self._store.offer(self.state.config)
        for listener in self._listeners:
            listener()
        self._changed.set()
        self._changed = asyncio.Event()
