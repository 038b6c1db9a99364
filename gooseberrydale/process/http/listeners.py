"""Listening sockets, some of which are opened before their server's code is loaded.

After its settings are read, a gateway loads for 0.25 s with 0.8 of a core and for
0.47 s with 0.39 of one.  Connections in that time would be refused, which costs the
caller an attempt.  On an early listening socket they wait in the backlog instead, and
are answered within the usual objective of a stream.
"""

from __future__ import annotations

import socket
from typing import Any

from gooseberrydale.connection.tcp import limit_receive_buffer

BACKLOG = 1024

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Most bytes that wait unread in the kernel for a connection, as they count as memory
of the process.  Without a bound the kernel takes several megabytes for each."""

LARGE_RECEIVE_BUFFER_BYTES = 128 * 1024
"""The same for a connection on which a large body is read, so that it arrives in few
round trips."""

ACCEPTS_AT_ONCE = 16
"""Most connections that are accepted before any is looked at: all of them take a
descriptor, also those that are closed unread."""


class _ListeningSocket(socket.socket):
    """A socket whose backlog is not lowered to what asyncio accepts at once."""

    def listen(self, backlog: int = BACKLOG, /) -> None:
        super().listen(max(backlog, BACKLOG))


_early_sockets: dict[str, socket.socket] = {}


def listen_early(*addresses: str) -> None:
    """Listen on ``host:port`` addresses; ``listen`` returns the sockets later.

    An address that can't be bound is skipped, as ``listen`` then reports the error.
    """
    for address in addresses:
        try:
            _early_sockets[address] = _bind(address)
        except OSError:
            continue


def listen(address: str) -> socket.socket:
    """Return a socket that listens on ``address``: the early one if there is one.

    Raises OSError if the address can't be bound.
    """
    sock = _early_sockets.pop(address, None)
    return _bind(address) if sock is None else sock


def enlarge_receive_buffer(sock: Any) -> None:
    """Let more bytes wait unread for a connection that sends a large body."""
    limit_receive_buffer(sock, LARGE_RECEIVE_BUFFER_BYTES)


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = _ListeningSocket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError as exc:
        sock.close()
        raise OSError(f"cannot listen on {address}: {exc}") from exc
    return sock
