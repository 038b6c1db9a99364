"""Sockets that listen, some of them before the code that serves them is loaded.

Lives as long as the process.  Loading a gateway takes 0.25 s from the moment that its
settings are known on 0.8 of a core, 0.47 s on 0.39 of one.  Callers who come in that
time would be reset, with one try less; on a socket that listens they wait, and are
served within the usual objective of a stream.
"""

from __future__ import annotations

import socket

BACKLOG = 1024

_early: dict[str, socket.socket] = {}


def listen_early(*addresses: str) -> None:
    """Listen on ``host:port`` addresses for whoever serves them later.

    An address that can't be bound is left out: who serves it reports the fault.
    """
    for address in addresses:
        try:
            _early[address] = _bind(address)
        except OSError:
            continue


def listen(address: str) -> socket.socket:
    """The socket that listens on ``address``; raises OSError if it can't be bound."""
    sock = _early.pop(address, None)
    return _bind(address) if sock is None else sock


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError as exc:
        sock.close()
        raise OSError(f"cannot listen on {address}: {exc}") from exc
    return sock
