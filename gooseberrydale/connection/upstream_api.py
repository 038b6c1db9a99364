"""Client of the management interface of upstreams: health, load, cache and orders.

docs/design/upstream-interface.md describes the interface.  Responses are decoded into
frozen dataclasses; unknown fields are ignored.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import Any

import msgspec

from gooseberrydale.connection.reply_limits import read_reply
from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import Headers, Reply, UpstreamError

CALL_TIMEOUT_S = 2.0
LIMIT_HEADER = "x-limit-per-s"
RETRY_AFTER = "retry-after"
STATUS_UNAVAILABLE = 503
JSON_HEADERS = (("content-type", "application/json"),)


@dataclass(frozen=True, slots=True)
class HealthReply:
    """Response to ``GET /health``."""

    ready: bool = True
    incarnation: str = ""
    model: str = ""
    weights_version: str = ""
    software: str = ""


@dataclass(frozen=True, slots=True)
class LoadReply:
    """Response to ``GET /load``; its counters may lag behind.

    ``requests`` holds the id and attempt of each request that the engine has not ended.
    It does not lag; it is None if the engine doesn't report it.
    """

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    prefill_tps: float = 0.0
    cached_blocks: int = 0
    requests: tuple[tuple[str, str], ...] | None = None


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event of ``GET /cache/events``."""

    incarnation: str
    seq: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """Response to ``GET /cache/snapshot``."""

    incarnation: str
    seq: int
    keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Backpressure:
    """What an overloaded upstream requests in the headers of a response.

    ``limit_per_s`` is the rate of requests that it accepts; ``retry_after_s`` is how
    long it wants no requests.  Each is None if the headers don't state it.
    """

    limit_per_s: float | None = None
    retry_after_s: float | None = None


def parse_backpressure(status: int, headers: Headers) -> Backpressure:
    """Return the backpressure that a response states; ignore invalid headers."""
    fields = dict(headers)
    retry_after = fields.get(RETRY_AFTER) if status == STATUS_UNAVAILABLE else None
    return Backpressure(_number(fields.get(LIMIT_HEADER)), _number(retry_after))


def _number(value: str | None) -> float | None:
    try:
        number = math.nan if value is None else float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


async def call(
    base_url: str,
    method: str,
    target: str,
    body: Any = None,
    *,
    headers: Headers = (),
    max_bytes: int,
    timeout_s: float = CALL_TIMEOUT_S,
    kind: str = "",
) -> Reply:
    """Make one call with a JSON body; raise :class:`UpstreamError` on failure.

    The body of the response has at most ``max_bytes``.  Targets without number need a
    ``kind``, see :class:`UpstreamCall`.
    """
    http = UpstreamCall(base_url, kind)
    data = b"" if body is None else msgspec.json.encode(body)
    try:
        async with asyncio.timeout(timeout_s):
            sent = (*headers, *JSON_HEADERS) if data else headers
            await http.open(method, target, sent, data)
            name = f"{method} {target}"
            reply = await read_reply(name, http.chunks(), max_bytes, kind=kind)
            return Reply(http.status, reply)
    except TimeoutError as exc:
        raise UpstreamError(
            f"no complete response within {timeout_s:g} s", sent=http.sent
        ) from exc
    finally:
        await http.close()
