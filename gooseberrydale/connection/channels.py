"""Keeps one channel to each sidecar that requests go to.

A channel belongs to one address and one incarnation of a sidecar.  One that fell
silent is replaced by a new connection.  A channel that is no longer wanted closes
once its last user has given it back, so that replacing it disturbs nobody.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from gooseberrydale.connection.rpc import RpcChannel


class Endpoint(Protocol):
    """One incarnation of a process that can be called."""

    @property
    def address(self) -> str:
        """Its gRPC listener."""

    @property
    def incarnation(self) -> str:
        """Name of its incarnation."""


Key = tuple[str, str]
Dial = Callable[[str], RpcChannel]


class ChannelPool:
    """Channels by (address, incarnation); whoever takes one gives it back."""

    def __init__(self, dial: Dial) -> None:
        self._dial = dial
        self._channels: dict[Key, RpcChannel] = {}
        self._users: Counter[RpcChannel] = Counter()
        self._closing: set[asyncio.Task[None]] = set()

    def take(self, endpoint: Endpoint) -> RpcChannel:
        """The channel in use for this incarnation of the sidecar, opened on first
        use."""
        key = _key(endpoint)
        if key not in self._channels:
            self._channels[key] = self._dial(endpoint.address)
        channel = self._channels[key]
        self._users[channel] += 1
        return channel

    def give_back(self, channel: RpcChannel) -> None:
        """Say that a channel that was taken is used no more."""
        self._users[channel] -= 1
        if self._users[channel] <= 0:
            del self._users[channel]
            self._close_unwanted(channel)

    def replace(self, endpoint: Endpoint, silent: RpcChannel) -> RpcChannel:
        """Give back ``silent`` and take another; all who meet it share the new one."""
        if self._channels.get(_key(endpoint)) is silent:
            del self._channels[_key(endpoint)]
        self.give_back(silent)
        return self.take(endpoint)

    @contextlib.contextmanager
    def using(self, endpoint: Endpoint) -> Iterator[RpcChannel]:
        """Take a channel for the length of a block."""
        channel = self.take(endpoint)
        try:
            yield channel
        finally:
            self.give_back(channel)

    def keep(self, endpoints: Iterable[Endpoint]) -> None:
        """Want no channels but those of ``endpoints`` any longer."""
        for key in set(self._channels) - {_key(one) for one in endpoints}:
            self._close_unwanted(self._channels.pop(key))

    async def close(self) -> None:
        """Close all channels at once."""
        channels = {*self._channels.values(), *self._users}
        self._channels.clear()
        for channel in channels:
            await channel.close()
        await asyncio.gather(*self._closing)

    def _close_unwanted(self, channel: RpcChannel) -> None:
        if channel in self._users or channel in self._channels.values():
            return
        task = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _key(endpoint: Endpoint) -> Key:
    return endpoint.address, endpoint.incarnation
