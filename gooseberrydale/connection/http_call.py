"""Makes one small HTTP call over a pooled connection and reads the complete response.

It is meant for calls between processes of this system, which are safe to repeat.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.http_conn import request_line
from gooseberrydale.connection.http_pool import HttpPool
from gooseberrydale.connection.reply_limits import read_reply
from gooseberrydale.connection.upstream_reply import Headers, Reply, UpstreamError


async def pooled_call(
    pool: HttpPool,
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    *,
    max_bytes: int,
    timeout_s: float,
) -> Reply:
    """Make one call and return its response, whose body has at most ``max_bytes``.

    Raises :class:`UpstreamError` if no complete response arrives within ``timeout_s``.
    """
    lines = [f"{method} {target} HTTP/1.1", f"host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(pool, address, head, body, max_bytes)
    except TimeoutError as exc:
        raise UpstreamError(
            f"no complete response within {timeout_s:g} s", sent=True
        ) from exc


async def _call(
    pool: HttpPool, address: str, head: bytes, body: bytes, max_bytes: int
) -> Reply:
    conn = await pool.acquire(address, address, must_not_resend=False)
    complete = False
    try:
        conn.send(head, body, max_bytes)
        response = await conn.head(lambda _: True)
        call = request_line(head)
        data = await read_reply(call, conn.body(), max_bytes)
        complete = True
        return Reply(response.status, data)
    finally:
        if complete:
            pool.release(address, address, conn)
        else:
            pool.discard(address, address)
            conn.abort()
