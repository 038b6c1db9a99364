"""TCP socket options that detect a network path on which packets are lost.

The options are set once, on a connected socket.
"""

from __future__ import annotations

import socket
from typing import Any

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
KERNEL_FACTOR = 1.5
"""How many bytes the kernel takes for each that a socket's receive buffer is set to: it
sets twice as many and uses some of them for its own data (socket(7))."""

UNACKED_TIMEOUT_MS = 3_000
"""Longest time that sent bytes may stay unacknowledged: some hundred round trips."""


def enable_keepalive(sock: Any) -> None:
    """Enable TCP keepalive.

    The kernel then detects an idle connection whose state a firewall or other device on
    the path has dropped.
    """
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_unacked_timeout(sock: Any) -> None:
    """Let the kernel close the connection if sent bytes stay unacknowledged."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def limit_receive_buffer(sock: Any, size: int) -> None:
    """Let the kernel keep ``size`` bytes that are not read; it would take megabytes."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, int(size / KERNEL_FACTOR))


def has_failed(sock: socket.socket) -> bool:
    """Whether the connection has failed, such as by a reset after its stream's end.

    Reading does not show this: it returns the end of the stream that came before.
    """
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
