"""The upstream's own interface beside the work: health, load, cache, orders.

Lives as long as one call each; see docs/design/upstream-interface.md.  Answers are
decoded into frozen dataclasses; unknown fields are ignored.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import Any

import msgspec

from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import Headers, Reply, UpstreamError

CALL_TIMEOUT_S = 2.0
MAX_REPLY_BYTES = 64 * 1024 * 1024
LIMIT_HEADER = "x-limit-per-s"
RETRY_AFTER = "retry-after"
STATUS_UNAVAILABLE = 503
JSON_HEADERS = (("content-type", "application/json"),)


@dataclass(frozen=True, slots=True)
class HealthReply:
    """Answer of ``GET /health``."""

    ready: bool = True
    incarnation: str = ""
    model: str = ""
    weights_version: str = ""


@dataclass(frozen=True, slots=True)
class LoadReply:
    """Answer of ``GET /load``; it may lag behind.

    ``requests`` holds id and attempt of each request that the engine has not ended,
    without a lag; None from an engine that doesn't tell.
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
    """Answer of ``GET /cache/snapshot``."""

    incarnation: str
    seq: int
    keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Backpressure:
    """What an upstream that is short of capacity asks for with an answer.

    ``limit_per_s`` is the rate of requests that it takes, ``retry_after_s`` is for how
    long it wants none; None if it doesn't say so.
    """

    limit_per_s: float | None = None
    retry_after_s: float | None = None


def backpressure_of(status: int, headers: Headers) -> Backpressure:
    """What the head of an answer asks for; what can't be read is left out."""
    found = dict(headers)
    retry_after = found.get(RETRY_AFTER) if status == STATUS_UNAVAILABLE else None
    return Backpressure(_number(found.get(LIMIT_HEADER)), _number(retry_after))


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
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Make one call with a JSON body; raise :class:`UpstreamError` if it fails."""
    http = UpstreamCall(base_url)
    data = b"" if body is None else msgspec.json.encode(body)
    try:
        async with asyncio.timeout(timeout_s):
            sent = (*headers, *JSON_HEADERS) if data else headers
            await http.open(method, target, sent, data)
            return Reply(http.status, await _read(http))
    except TimeoutError as exc:
        raise UpstreamError(f"no answer in {timeout_s:g} s", sent=http.sent) from exc
    finally:
        await http.close()


async def _read(http: UpstreamCall) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for data in http.chunks():
        size += len(data)
        if size > MAX_REPLY_BYTES:
            raise UpstreamError(f"an answer is over {MAX_REPLY_BYTES} bytes", sent=True)
        parts.append(data)
    return b"".join(parts)
