"""Pools gRPC channels: one to each sidecar that requests are sent to.

A channel belongs to one address and one incarnation of a sidecar.  A silent channel is
replaced by a new one.  A channel that is replaced or no longer needed is closed once
its last user has released it, so calls that are still running on it are not cancelled.
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
        """Address of its gRPC listener."""

    @property
    def incarnation(self) -> str:
        """Name of its incarnation."""


Key = tuple[str, str]
Dial = Callable[[str], RpcChannel]


class ChannelPool:
    """Channels by (address, incarnation); each one acquired must be released."""

    def __init__(self, dial: Dial) -> None:
        self._dial = dial
        self._channels: dict[Key, RpcChannel] = {}
        self._users: Counter[RpcChannel] = Counter()
        self._closing: set[asyncio.Task[None]] = set()

    def acquire(self, endpoint: Endpoint) -> RpcChannel:
        """Return the channel to this incarnation of a sidecar; open it on first use."""
        key = _key(endpoint)
        if key not in self._channels:
            self._channels[key] = self._dial(endpoint.address)
        channel = self._channels[key]
        self._users[channel] += 1
        return channel

    def release(self, channel: RpcChannel) -> None:
        """Release an acquired channel."""
        self._users[channel] -= 1
        if self._users[channel] <= 0:
            del self._users[channel]
            self._close_if_unused(channel)

    def replace(self, endpoint: Endpoint, silent: RpcChannel) -> RpcChannel:
        """Release ``silent`` and acquire a new channel in its place.

        All users of ``silent`` that replace it share the same new channel.
        """
        if self._channels.get(_key(endpoint)) is silent:
            del self._channels[_key(endpoint)]
        self.release(silent)
        return self.acquire(endpoint)

    @contextlib.contextmanager
    def using(self, endpoint: Endpoint) -> Iterator[RpcChannel]:
        """Acquire a channel for the duration of a ``with`` block."""
        channel = self.acquire(endpoint)
        try:
            yield channel
        finally:
            self.release(channel)

    def retain(self, endpoints: Iterable[Endpoint]) -> None:
        """Keep the channels to ``endpoints`` and close all others once unused."""
        for key in set(self._channels) - {_key(endpoint) for endpoint in endpoints}:
            self._close_if_unused(self._channels.pop(key))

    async def close(self) -> None:
        """Close all channels without waiting for their users."""
        channels = {*self._channels.values(), *self._users}
        self._channels.clear()
        for channel in channels:
            await channel.close()
        await asyncio.gather(*self._closing)

    def _close_if_unused(self, channel: RpcChannel) -> None:
        if channel in self._users or channel in self._channels.values():
            return
        task = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _key(endpoint: Endpoint) -> Key:
    return endpoint.address, endpoint.incarnation
