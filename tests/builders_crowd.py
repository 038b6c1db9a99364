"""Crowds of HTTP clients that misbehave, and the memory of the process they load.

A crowd sends raw bytes and reads no answers.  Its members connect again a few times if
they are disconnected.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import re
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MIB = 1024 * 1024
MAX_BODY_BYTES = 4 * MIB
"""The limit of a body that the tests configure."""

SMALL_BODY_BYTES = 60 * 1024
HEAD_BYTES = 15 * 1024
"""Size of a head within the default limit of 16 KiB."""

CHAT = (
    b'{"model": "chat", "messages": [{"role": "user", "content": "Hello"}],'
    b' "metadata": [%s]}'
)
"""The body of a completion request with a field that is passed on as it is."""

PAGE_BYTES = os.sysconf("SC_PAGESIZE")
BYTES_PER_KIB = 1024
LISTEN = "0A"
RESET_PEAK = "5"
SAMPLE_S = 0.05
CLIENT_BUFFER_BYTES = 4096

CONNECTS = 3
"""How often a member of a crowd connects if it is disconnected."""

SENDING_S = 4.0
"""Time after which a member stops sending; it then keeps its connection open."""

Target = Callable[[int], bytes]
"""Returns the start of the n-th request: its first line and headers."""

Parts = Iterable[bytes]


@dataclass(frozen=True, slots=True)
class Form:
    """What each member of a crowd sends; ``members`` connect at the same time.

    All connections then stay open for ``hold_s`` before others are looked at.
    """

    members: int
    parts: Callable[[Target], Parts]
    hold_s: float = 0.0


def _framed(target: Target, framing: bytes, number: int = 0) -> bytes:
    return target(number) + framing + b"\r\n\r\n"


def _with_length(target: Target, length: int, number: int = 0) -> bytes:
    return _framed(target, b"content-length: %d" % length, number)


def _whole_body(target: Target) -> Parts:
    yield _with_length(target, MAX_BODY_BYTES)
    yield _spaces(MAX_BODY_BYTES)


def _unfinished_body(target: Target) -> Parts:
    yield _with_length(target, MAX_BODY_BYTES)
    yield _spaces(MAX_BODY_BYTES - 1)


def _unfinished_chunks(target: Target) -> Parts:
    yield _framed(target, b"transfer-encoding: chunked")
    chunk = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
    yield chunk * (MAX_BODY_BYTES // 0x10000 - 1)


def _tiny_chunks(target: Target) -> Parts:
    yield _framed(target, b"transfer-encoding: chunked")
    yield b"1\r\n \r\n" * (MAX_BODY_BYTES // 2)


def _small_body(target: Target) -> Parts:
    yield _with_length(target, SMALL_BODY_BYTES) + _spaces(SMALL_BODY_BYTES)


def _unfinished_small_body(target: Target) -> Parts:
    yield _with_length(target, SMALL_BODY_BYTES) + _spaces(SMALL_BODY_BYTES - 1)


def _many_values(target: Target) -> Parts:
    values = b",".join([b"[]"] * (MAX_BODY_BYTES // 3 - len(CHAT)))
    body = CHAT % values
    yield _with_length(target, len(body)) + body


def _nothing(_: Target) -> Parts:
    return ()


def _slow_pieces(target: Target) -> Parts:
    yield _with_length(target, MAX_BODY_BYTES)
    for _ in range(MAX_BODY_BYTES // 32768 - 1):
        yield b" " * 32768


def _huge_announced(target: Target) -> Parts:
    yield _with_length(target, 1024 * MIB)
    yield from itertools.repeat(_spaces(MIB), 64)


def _huge_unannounced(target: Target) -> Parts:
    yield _framed(target, b"transfer-encoding: chunked")
    chunk = b"100000\r\n" + _spaces(MIB) + b"\r\n"
    yield from itertools.repeat(chunk, 64)


def _requests_ahead(target: Target) -> Parts:
    requests = (_with_length(target, 1, number) + b" " for number in range(1_000))
    yield from itertools.repeat(b"".join(requests), 200)


def _bodies_ahead(target: Target) -> Parts:
    body = _spaces(MIB)
    for number in range(64):
        yield _with_length(target, len(body), number)
        yield body


def _unfinished_head(target: Target) -> Parts:
    yield (target(0) + b"x-filler: ").ljust(HEAD_BYTES, b"x")


def _one_request(target: Target) -> Parts:
    yield _with_length(target, 0)


def _spaces(size: int) -> bytes:
    return b" " * size


FORMS: dict[str, Form] = {
    "whole bodies": Form(60, _whole_body),
    "bodies without their last byte": Form(60, _unfinished_body),
    "chunked bodies without their end": Form(60, _unfinished_chunks),
    "bodies in tiny chunks": Form(60, _tiny_chunks),
    "bodies piece by piece": Form(60, _slow_pieces),
    "announced bodies over the limit": Form(60, _huge_announced),
    "bodies over the limit": Form(60, _huge_unannounced),
    "small bodies": Form(1_500, _small_body),
    "small bodies without their last byte": Form(1_500, _unfinished_small_body),
    "values in each body": Form(8, _many_values),
    "requests ahead": Form(6, _requests_ahead),
    "requests with bodies ahead": Form(60, _bodies_ahead),
    "heads without their end": Form(1_500, _unfinished_head),
    "unread answers": Form(400, _one_request),
    "nothing at all": Form(2_500, _nothing, 6.0),
}
"""What the members of a crowd send, by name."""


class Crowd:
    """Clients of one listener that send and never read, until ``close``."""

    def __init__(self, address: str, form: Form, target: Target) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._form = form
        self._target = target
        self._socks: set[socket.socket] = set()
        self._members: list[asyncio.Task[None]] = []
        self.connected = 0

    async def start(self) -> None:
        """Connect and send until all is sent, or ``SENDING_S`` have passed."""
        members = (self._send_as_member() for _ in range(self._form.members))
        self._members = [asyncio.create_task(member) for member in members]
        await asyncio.wait(self._members, timeout=SENDING_S)
        await asyncio.sleep(self._form.hold_s)

    async def close(self) -> None:
        """End all connections."""
        for member in self._members:
            member.cancel()
        await asyncio.gather(*self._members, return_exceptions=True)
        for sock in self._socks:
            sock.close()

    async def _send_as_member(self) -> None:
        for _ in range(CONNECTS):
            try:
                await self._send_once()
                return
            except OSError:
                continue

    async def _send_once(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._socks.add(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        try:
            await loop.sock_connect(sock, self._address)
            self.connected += 1
            for part in self._form.parts(self._target):
                await loop.sock_sendall(sock, part)
        except OSError:
            self._socks.remove(sock)
            sock.close()
            raise


class ProcessUse:
    """Samples the memory and the descriptors that a process uses.

    ``ports`` are those on which it listens: bytes that wait unread in the kernel at its
    connections count as its memory.
    """

    def __init__(self, pid: int, ports: Iterable[int]) -> None:
        self._proc = pathlib.Path(f"/proc/{pid}")
        self._ports = frozenset(ports)
        self._task: asyncio.Task[None] | None = None
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_fds = 0

    def reset_peak(self) -> None:
        """Let the kernel's peak begin anew; see proc(5), ``clear_refs``."""
        (self._proc / "clear_refs").write_text(RESET_PEAK)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        return int((self._proc / "statm").read_text().split()[1]) * PAGE_BYTES

    async def start(self) -> None:
        """Start to sample."""
        self._task = asyncio.create_task(self._observe())

    async def close(self) -> None:
        """Stop; take the kernel's own peak into account."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        found = re.search(r"VmHWM:\s+(\d+) kB", (self._proc / "status").read_text())
        assert found is not None
        kernel_peak_bytes = int(found.group(1)) * BYTES_PER_KIB
        self.peak_bytes = max(self.peak_bytes, kernel_peak_bytes)

    async def _observe(self) -> None:
        while True:
            resident = self.resident_bytes()
            unread = unread_bytes(self._ports)
            self.peak_bytes = max(self.peak_bytes, resident + unread)
            self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
            self.peak_fds = max(self.peak_fds, len(os.listdir(self._proc / "fd")))
            await asyncio.sleep(SAMPLE_S)


def unread_bytes(ports: frozenset[int]) -> int:
    """Return the bytes that wait in the kernel at connections to local ``ports``."""
    size = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if state != LISTEN and int(local.rpartition(":")[2], 16) in ports:
            size += int(queues.partition(":")[2], 16)
    return size
