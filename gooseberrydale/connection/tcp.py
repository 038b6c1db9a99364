"""Options of TCP connections that find a path which no longer passes bytes.

Lives as long as one call each: options are set once, on a connected socket.
"""

from __future__ import annotations

import socket
from typing import Any

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKED_MS = 3_000
"""Sent bytes may stay unacknowledged for this long: some hundred round trips."""


def probe_when_idle(sock: Any) -> None:
    """Let the kernel find a connection that something on the way has forgotten."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def bound_unacked(sock: Any) -> None:
    """Break the connection once sent bytes stay unacknowledged for too long."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)
