"""Crowds of gRPC clients whose messages do not end."""

from __future__ import annotations

import asyncio

import h2.config
import h2.connection
import h2.events
import h2.exceptions

from gooseberrydale.connection.rpc import TOKEN_KEY, Method
from tests.builders_crowd import MIB

SENDING_S = 4.0
READ_BYTES = 65_536
MESSAGE_BYTES = 16 * MIB
STREAM = 1


class RpcCrowd:
    """Clients that each begin a call of ``method`` with a message that does not end.

    They obey the flow control of HTTP/2, without which the server would end them.
    ``sent_bytes`` is what it allowed all of them together.
    """

    def __init__(self, address: str, members: int, method: Method, token: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._method = method
        self._token = token
        self._member_count = members
        self._members: list[asyncio.Task[None]] = []
        self.connected = 0
        self.sent_bytes = 0

    async def start(self) -> None:
        """Connect and send until all is sent, or ``SENDING_S`` have passed."""
        members = (self._send() for _ in range(self._member_count))
        self._members = [asyncio.create_task(member) for member in members]
        await asyncio.sleep(SENDING_S)

    async def close(self) -> None:
        """End all connections."""
        for member in self._members:
            member.cancel()
        await asyncio.gather(*self._members, return_exceptions=True)

    async def _send(self) -> None:
        reader, writer = await asyncio.open_connection(*self._address)
        self.connected += 1
        try:
            conn = h2.connection.H2Connection(h2.config.H2Configuration())
            conn.initiate_connection()
            conn.send_headers(STREAM, self._headers())
            conn.send_data(STREAM, b"\0" + MESSAGE_BYTES.to_bytes(4, "big"))
            writer.write(conn.data_to_send())
            left = MESSAGE_BYTES - 1
            while data := await reader.read(READ_BYTES):
                events = conn.receive_data(data)
                if any(isinstance(event, h2.events.StreamEnded) for event in events):
                    break
                sent = self._send_allowed(conn, left)
                left -= sent
                self.sent_bytes += sent
                writer.write(conn.data_to_send())
        except (OSError, h2.exceptions.ProtocolError):
            return
        finally:
            writer.close()

    def _headers(self) -> list[tuple[str, str]]:
        return [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", self._method.path),
            (":authority", "crowd"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            (TOKEN_KEY, self._token),
        ]

    def _send_allowed(self, conn: h2.connection.H2Connection, left: int) -> int:
        """Send what flow control allows of ``left`` bytes; return how many."""
        sent = 0
        while sent < left:
            window = conn.local_flow_control_window(STREAM)
            size = min(window, conn.max_outbound_frame_size, left - sent)
            if size <= 0:
                break
            conn.send_data(STREAM, b" " * size)
            sent += size
        return sent
