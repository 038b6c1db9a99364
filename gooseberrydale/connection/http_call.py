"""Makes one small HTTP call over a pooled connection and reads the complete response.

It is meant for calls between processes of this system, which are safe to repeat.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.http_pool import HttpPool
from gooseberrydale.connection.upstream_reply import Headers, Reply, UpstreamError

MAX_REPLY_BYTES = 64 * 1024 * 1024


async def pooled_call(
    pool: HttpPool,
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Reply:
    """Make one call and return its response.

    Raises :class:`UpstreamError` if no complete response arrives within ``timeout_s``.
    """
    lines = [f"{method} {target} HTTP/1.1", f"host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(pool, address, head, body)
    except TimeoutError as exc:
        raise UpstreamError(
            f"no complete response within {timeout_s:g} s", sent=True
        ) from exc


async def _call(pool: HttpPool, address: str, head: bytes, body: bytes) -> Reply:
    conn = await pool.acquire(address, address, must_not_resend=False)
    complete = False
    try:
        conn.send(head, body)
        response = await conn.head(lambda _: True)
        chunks: list[bytes] = []
        size = 0
        async for data in conn.body():
            chunks.append(data)
            size += len(data)
            if size > MAX_REPLY_BYTES:
                raise UpstreamError("the response exceeds MAX_REPLY_BYTES", sent=True)
        complete = True
        return Reply(response.status, b"".join(chunks))
    finally:
        if complete:
            pool.release(address, address, conn)
        else:
            pool.discard(address, address)
            conn.abort()
