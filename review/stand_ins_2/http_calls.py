"""One HTTP/1.1 call on a new connection, for stand-ins of consumers and operators."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any


PAUSE_S = 2.0
"""Consumers abandon a stream after such a gap between two events."""


@dataclass
class Answer:
    """What a caller saw; ``status`` is 0 if no whole head arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    end: str = ""

    @property
    def json(self) -> Any:
        return json.loads(self.body)


async def read_answer(
    reader: asyncio.StreamReader, answer: Answer | None = None
) -> Answer:
    """Read one answer into ``answer``; ``complete`` is False if it is cut off."""
    answer = Answer(0, {}, b"", False) if answer is None else answer
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, EOFError):
        return answer
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = answer.headers
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    answer.status = int(first.split()[1])
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"", 16):
                answer.body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            size = int(headers.get("content-length", "0"))
            answer.body = await reader.readexactly(size)
    except (OSError, EOFError, ValueError):
        return answer
    answer.complete = True
    return answer


class Channel:
    """A consumer's channel that is kept for many requests, and opened again if closed."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the channel was used before and is still open."""
        return self._reader is not None and not self._reader.at_eof()

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send one request; an answer of status 0 means that none arrived."""
        if self._reader is None or self._writer is None or not self.is_open:
            self.close()
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._writer.write(request_bytes(method, target, headers, body))
        try:
            async with asyncio.timeout(5.0):
                answer = await read_answer(self._reader)
        except TimeoutError:
            answer = Answer(0, {}, b"", False)
        if not answer.complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def stream(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send one request and read its answer; leave after a pause of ``PAUSE_S``.

        ``end`` of the answer is "whole", "left", or "cut" if the channel was closed.
        """
        if self._reader is None or self._writer is None or not self.is_open:
            self.close()
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._writer.write(request_bytes(method, target, headers, body))
        answer = Answer(0, {}, b"", False)
        task = asyncio.create_task(read_answer(self._reader, answer))
        size, left = 0, False
        while not task.done() and not left:
            await asyncio.wait({task}, timeout=PAUSE_S)
            left = not task.done() and len(answer.body) == size
            size = len(answer.body)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        answer.end = "whole" if answer.complete else "left" if left else "cut"
        if not answer.complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def request_bytes(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return a request whose body has a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Make one call; an answer of status 0 means that none arrived."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, **(headers or {})}
            writer.write(request_bytes(method, target, fields, body))
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


async def call_json(address: str, method: str, target: str, document: Any) -> Answer:
    """Make a call with a JSON body."""
    body = json.dumps(document).encode()
    return await call(address, method, target, {"Content-Type": "application/json"}, body)


async def put_until_acked(controls: list[str], target: str, document: Any) -> str:
    """Send an order to the replicas in turn until one acknowledges it, as operators do.

    Returns the address of that replica.
    """
    async with asyncio.timeout(20.0):
        while True:
            for address in controls:
                answer = await call_json(address, "POST", target, document)
                if answer.status == 200:
                    return address
            await asyncio.sleep(0.2)
