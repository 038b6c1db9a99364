"""Keeps one channel to each sidecar that requests go to.

A channel belongs to one address and one incarnation of a sidecar.  One that fell
silent is replaced by a new connection; the old one is closed a little later, so
that other calls on it find out for themselves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from gooseberrydale.connection.rpc import RpcChannel

Key = tuple[str, str]
Dial = Callable[[str], RpcChannel]


class ChannelPool:
    """Channels by (address, incarnation)."""

    def __init__(self, dial: Dial, linger_s: float) -> None:
        self._dial = dial
        self._linger_s = linger_s
        self._channels: dict[Key, RpcChannel] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._retired: set[RpcChannel] = set()

    def get(self, address: str, incarnation: str) -> RpcChannel:
        """The channel in use for this incarnation, opened on first use."""
        key = (address, incarnation)
        if key not in self._channels:
            self._channels[key] = self._dial(address)
        return self._channels[key]

    def replace(self, address: str, incarnation: str, silent: RpcChannel) -> RpcChannel:
        """A channel other than ``silent``; requests that meet it share the new one."""
        key = (address, incarnation)
        if self._channels.get(key) is silent:
            del self._channels[key]
            self._retire(silent)
        return self.get(address, incarnation)

    def keep(self, keys: Iterable[Key]) -> None:
        """Close the channels of all incarnations but these."""
        for key in set(self._channels) - set(keys):
            self._retire(self._channels.pop(key))

    async def close(self) -> None:
        """Close all channels at once."""
        for task in self._closing:
            task.cancel()
        channels = [*self._channels.values(), *self._retired]
        self._channels.clear()
        self._retired.clear()
        for channel in channels:
            await channel.close()

    def _retire(self, channel: RpcChannel) -> None:
        self._retired.add(channel)
        task = asyncio.create_task(self._close_later(channel))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_later(self, channel: RpcChannel) -> None:
        await asyncio.sleep(self._linger_s)
        self._retired.discard(channel)
        await channel.close()
