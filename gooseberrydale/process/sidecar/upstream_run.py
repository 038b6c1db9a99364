"""Carries one attempt to the upstream and its answer back.

Lives as long as one call to the upstream.  The call is made once; whatever goes
wrong ends the attempt with a statement about the outcome that is known to be true.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass

from loguru import logger

from gooseberrydale.connection.sse import DONE, SseError, SseParser
from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import Headers, UpstreamError
from gooseberrydale.errors import (
    OUTCOME_UNKNOWN,
    UPSTREAM_FAILED,
    UPSTREAM_UNREACHABLE,
    Problem,
    problem,
)
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.process.sidecar.silence import SilenceWatch

RETRY_AFTER_S = 1.0
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True, slots=True)
class Call:
    """What to send, and how long the connection may stay silent, in seconds.

    ``head_silence_s`` bounds the time to the first byte, ``silence_s`` the time
    between two parts of the answer.  A silent connection is given up only if the
    upstream answers on a new one: before the first part ``lost`` must say so, which
    is False while the upstream may still work on the request, afterwards ``alive``.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    head_silence_s: float
    silence_s: float
    lost: Callable[[], Awaitable[bool]]
    alive: Callable[[], Awaitable[bool]]


async def run_upstream(attempt: Attempt, call: Call, base_url: str) -> None:
    """Make the call and write its answer into ``attempt``, up to its end."""
    http = UpstreamCall(base_url)
    watch = SilenceWatch(http.abort)
    try:
        await watch.start()
        await _exchange(attempt, call, http, watch)
        attempt.end()
    except (UpstreamError, SseError) as exc:
        cause = "silent connection" if watch.gave_up else str(exc)
        logger.warning("attempt {} failed at the upstream: {}", attempt.key, cause)
        attempt.end(failure(attempt, sent=http.sent))
    finally:
        await watch.close()
        await http.close()


def failure(attempt: Attempt, *, sent: bool) -> Problem:
    """What is known of an attempt whose call failed."""
    if not sent:
        return problem(UPSTREAM_UNREACHABLE, not_run=True, retry_after_s=RETRY_AFTER_S)
    if attempt.req.repeatable:
        return problem(UPSTREAM_FAILED, not_run=False)
    return problem(OUTCOME_UNKNOWN, not_run=None)


async def _exchange(
    attempt: Attempt, call: Call, http: UpstreamCall, watch: SilenceWatch
) -> None:
    watch.expect(call.head_silence_s, call.lost)
    await http.open(call.method, call.target, call.headers, call.body)
    watch.pause()
    attempt.head(http.status, http.headers)
    body = _body(call, http, watch)
    if _content_type(http.headers) == EVENT_STREAM:
        await _pump_events(attempt, body)
    else:
        await _pump_parts(attempt, body)


def _content_type(headers: Headers) -> str:
    found = next((value for name, value in headers if name == "content-type"), "")
    return found.partition(";")[0].strip().lower()


async def _pump_parts(attempt: Attempt, body: AsyncGenerator[bytes, None]) -> None:
    async for data in body:
        await attempt.write((data,))


async def _pump_events(attempt: Attempt, body: AsyncGenerator[bytes, None]) -> None:
    """A model's stream is whole only with its end marker, not when it merely stops."""
    parser = SseParser()
    done = False
    async for data in body:
        events = [] if done else parser.feed(data)
        if DONE in events:
            done = True
            events = events[: events.index(DONE)]
        if events:
            await attempt.write(events)
    if not done:
        raise SseError("the stream stopped without its end marker")


async def _body(
    call: Call, http: UpstreamCall, watch: SilenceWatch
) -> AsyncGenerator[bytes, None]:
    """Yield what arrives; the time that the consumer takes is not silence."""
    silence_s, alive = call.head_silence_s, call.lost
    async with aclosing(http.chunks()) as chunks:
        while True:
            watch.expect(silence_s, alive)
            data = await anext(chunks, None)
            watch.pause()
            if data is None:
                return
            yield data
            silence_s, alive = call.silence_s, call.alive
