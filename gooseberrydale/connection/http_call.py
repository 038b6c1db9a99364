"""One small call over a kept connection, with its whole answer.

Lives as long as the call.  For calls of the system itself, which may be repeated.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.http_pool import HttpPool
from gooseberrydale.connection.upstream_reply import Headers, Reply, UpstreamError

MAX_REPLY_BYTES = 64 * 1024 * 1024


async def kept_call(
    pool: HttpPool,
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Reply:
    """Make one call; raises :class:`UpstreamError` if no whole answer comes in time."""
    lines = [f"{method} {target} HTTP/1.1", f"host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(pool, address, head, body)
    except TimeoutError as exc:
        raise UpstreamError(f"no answer in {timeout_s:g} s", sent=True) from exc


async def _call(pool: HttpPool, address: str, head: bytes, body: bytes) -> Reply:
    conn = await pool.take(address, address, sure=False)
    whole = False
    try:
        conn.send(head, body)
        answer = await conn.head(lambda _: True)
        parts: list[bytes] = []
        size = 0
        async for data in conn.body():
            parts.append(data)
            size += len(data)
            if size > MAX_REPLY_BYTES:
                raise UpstreamError("an answer is too large", sent=True)
        whole = True
        return Reply(answer.status, b"".join(parts))
    finally:
        if whole:
            pool.give_back(address, address, conn)
        else:
            pool.drop(address, address)
            conn.abort()
