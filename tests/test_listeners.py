"""Connections made while a process still loads wait until it serves them."""

from __future__ import annotations

import asyncio
import socket

import pytest
from starlette.types import Receive, Scope, Send

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http.listeners import listen, listen_early
from gooseberrydale.process.http.server import HttpServer
from tests.free_ports import free_address


async def answer(_scope: Scope, _receive: Receive, send: Send) -> None:
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 204, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


def test_connection_before_the_server_starts_is_answered() -> None:
    address = free_address()
    host, _, port = address.rpartition(":")
    listen_early(address)
    caller = socket.create_connection((host, int(port)), timeout=5.0)
    caller.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")

    async def scenario() -> bytes:
        server = HttpServer(answer, address, TlsCfg())
        await server.start()
        received = await asyncio.to_thread(caller.recv, 1024)
        caller.close()
        await server.close(0.1)
        return received

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 204")


def test_connection_without_an_early_listener_is_refused() -> None:
    host, _, port = free_address().rpartition(":")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((host, int(port)), timeout=5.0)


def test_address_in_use_is_reported_by_listen() -> None:
    address = free_address()
    with listen(address):
        listen_early(address)
        with pytest.raises(OSError, match="cannot listen on"):
            listen(address)


def test_early_socket_is_returned_only_once() -> None:
    address = free_address()
    listen_early(address)
    with listen(address), pytest.raises(OSError, match="cannot listen on"):
        listen(address)
