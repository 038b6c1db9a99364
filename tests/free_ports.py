"""Ports for listeners of tests, which no other test gets meanwhile."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
from collections.abc import Iterator

FIRST_PORT = 12_000
PORTS_PER_WORKER = 1_000


def port_offsets(pid: int) -> Iterator[int]:
    """Yield the numbers of a worker's ports in turn, each once before any repeats.

    Processes without a worker's name share a range, and begin at different numbers.
    """
    first = pid % PORTS_PER_WORKER
    return itertools.cycle((*range(first, PORTS_PER_WORKER), *range(first)))


_offsets = port_offsets(os.getpid())


def free_port() -> int:
    """Return a port that was free when it was checked.

    It is not one that the system assigns to connections: another test could get it
    before it is used.  Each of the parallel workers has a range of its own.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    while True:
        port = FIRST_PORT + worker * PORTS_PER_WORKER + next(_offsets)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def free_address() -> str:
    """Return a loopback address with a port of :func:`free_port`."""
    return f"127.0.0.1:{free_port()}"
