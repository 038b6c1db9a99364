"""Makes the upstream call of one attempt and writes the answer into the attempt.

The call is made once.  If it fails, the attempt ends with a problem that states whether
the request has run, as far as that is known for certain.
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
    """A request to the upstream, and how long its connection may stay silent.

    ``head_silence_s`` limits the time to the first byte, ``silence_s`` the time between
    two parts of the answer.  After that time a check on a new connection decides: the
    silent one is aborted if the check returns true.  Before the first part of the body
    the check is ``lost``, which is false while the upstream may still be working on the
    request; afterwards it is ``alive``.
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
    """Make the call, write its answer into ``attempt``, and end the attempt."""
    http = UpstreamCall(base_url)
    watch = SilenceWatch(http.abort)
    try:
        await watch.start()
        await _exchange(attempt, call, http, watch)
        attempt.end()
    except (UpstreamError, SseError) as exc:
        cause = "the connection was silent for too long" if watch.aborted else str(exc)
        logger.warning("upstream call of attempt {} failed: {}", attempt.key, cause)
        attempt.end(failure(attempt, sent=http.sent))
    finally:
        await watch.close()
        await http.close()


def failure(attempt: Attempt, *, sent: bool) -> Problem:
    """The problem that states what is known of an attempt whose call failed.

    ``sent`` is false if no part of the request was sent.
    """
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
    attempt.set_head(http.status, http.headers)
    body = _body(call, http, watch)
    if _content_type(http.headers) == EVENT_STREAM:
        await _write_events(attempt, body)
    else:
        await _write_parts(attempt, body)


def _content_type(headers: Headers) -> str:
    content_type = next(
        (value for name, value in headers if name == "content-type"), ""
    )
    return content_type.partition(";")[0].strip().lower()


async def _write_parts(attempt: Attempt, body: AsyncGenerator[bytes, None]) -> None:
    async for data in body:
        await attempt.write((data,))


async def _write_events(attempt: Attempt, body: AsyncGenerator[bytes, None]) -> None:
    """Write the events of a stream, which is complete only with its end marker."""
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
        raise SseError("the event stream ended without its end marker")


async def _body(
    call: Call, http: UpstreamCall, watch: SilenceWatch
) -> AsyncGenerator[bytes, None]:
    """Yield the parts of the body; the time that the consumer takes is not silence."""
    limit_s, probe = call.head_silence_s, call.lost
    async with aclosing(http.chunks()) as chunks:
        while True:
            watch.expect(limit_s, probe)
            data = await anext(chunks, None)
            watch.pause()
            if data is None:
                return
            yield data
            limit_s, probe = call.silence_s, call.alive
