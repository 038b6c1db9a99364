"""Simulated upstreams that record every run.

``MemoryCall`` replaces the sidecar's HTTP connection to its upstream.  An answer
depends only on the request, so each upstream produces the same answer or the same rest
of it.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gooseberrydale.connection.upstream_reply import UpstreamError
from tests.builders_entry import chat_body, chat_event
from tests.builders_memory_net import Net

WORK_S = (0.0, 0.02, 0.3, 2.0)
EVENT_STREAM = "text/event-stream"
FAST_WORK_S = (0.0, 0.02)
Triple = tuple[str, int, str]


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an attempt on an upstream."""

    upstream: str
    triple: Triple
    subject: str


def word_count(subject: str) -> int:
    """Return the number of words of the expected answer."""
    return 2 + zlib.crc32(subject.encode()) % 9


def check_words(words: list[str], subject: str, *, complete: bool) -> None:
    """Check that ``words`` are the expected answer or the beginning of it.

    The runs that produced them must be in ascending order: a run that was abandoned
    for a later one must deliver nothing more.
    """
    fields = [word.split("/") for word in words]
    assert all(word_fields[0] == subject for word_fields in fields), words
    assert [int(word_fields[1]) for word_fields in fields] == list(
        range(len(fields))
    ), words
    runs = [int(word_fields[2]) for word_fields in fields]
    assert runs == sorted(runs), words
    assert len(words) <= word_count(subject), words
    assert not complete or len(words) == word_count(subject), words


@dataclass(slots=True)
class Work:
    """All runs of the fleet.

    ``work_s`` holds the times that one part of an answer may take.
    """

    net: Net
    runs: list[Run] = field(default_factory=list)
    work_s: tuple[float, ...] = WORK_S


class Upstream:
    """One upstream; it can be killed, and restarted without its state."""

    def __init__(self) -> None:
        self.up = True
        self.silent = False
        self.incarnation = 1
        self.calls: set[MemoryCall] = set()

    def kill(self) -> None:
        self.up = False
        for call in list(self.calls):
            call.abort()

    def restart(self) -> None:
        if not self.up:
            self.up = True
            self.incarnation += 1


class MemoryCall:
    """Replaces ``UpstreamCall``: one connection of a sidecar to its upstream."""

    def __init__(
        self, work: Work, upstream: Upstream, name: str, incarnation: str
    ) -> None:
        self.sent = False
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self._work_log = work
        self._upstream = upstream
        self._name = name
        self._incarnation = incarnation
        self._broken = asyncio.Event()
        self._arrived = asyncio.Event()
        self._parts: list[bytes] = []

    async def open(self, method: str, target: str, headers: Any, body: bytes) -> None:
        if not self._upstream.up or self._incarnation in self._work_log.net.dead:
            raise UpstreamError("refused", sent=False)
        self._upstream.calls.add(self)
        self.sent = True
        # A request that was sent arrives even if the sender no longer waits.
        loop = asyncio.get_running_loop()
        loop.call_later(self._work_log.net.delay(), self._arrive, dict(headers), body)
        await self._wait(self._arrived)
        await self._work()
        self.status = 200

    def _arrive(self, headers: dict[str, str], body: bytes) -> None:
        if not self._upstream.up:
            return
        request = msgspec.json.decode(body)
        request_id, attempt = headers["x-request-id"], int(headers["x-attempt"])
        triple = (request_id, attempt, self._incarnation)
        self._work_log.runs.append(Run(self._name, triple, _subject(request)))
        self._parts, kind = _answer(request, len(self._work_log.runs))
        self.headers = (("content-type", kind),)
        self._arrived.set()

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        for part in self._parts:
            try:
                await self._work()
            except UpstreamError:
                # A truncated stream may also end without an error.
                if self._is_stream and self._work_log.net.chance(0.5):
                    return
                raise
            yield part

    @property
    def _is_stream(self) -> bool:
        return self.headers[0][1] == EVENT_STREAM

    def abort(self) -> None:
        self._broken.set()

    async def close(self) -> None:
        self._upstream.calls.discard(self)

    async def _work(self) -> None:
        """Take some time, and longer while the upstream is silent."""
        pause_s = self._work_log.net.rng.choice(self._work_log.work_s)
        while pause_s > 0 or self._upstream.silent:
            await self._wait(asyncio.Event(), pause_s or 0.5)
            pause_s = 0.0
        if self._broken.is_set():
            raise UpstreamError("broken", sent=True)

    async def _wait(self, event: asyncio.Event, limit_s: float | None = None) -> None:
        waiters = {asyncio.create_task(e.wait()) for e in (event, self._broken)}
        try:
            await asyncio.wait(
                waiters, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in waiters:
                task.cancel()
        if self._broken.is_set():
            raise UpstreamError("broken", sent=True)


def _subject(request: dict[str, Any]) -> str:
    return str(
        request["messages"][0]["content"] if "messages" in request else request["bid"]
    )


def _answer(request: dict[str, Any], run: int) -> tuple[list[bytes], str]:
    """Return the parts of the body, which name their run, and the content type."""
    subject = _subject(request)
    if "bid" in request:
        body = msgspec.json.encode({"done": subject, "run": run})
        return [body[:9], body[9:-3], body[-3:]], "application/json"
    # Only a request to continue an answer has a second message.
    delivered = "".join(message["content"] for message in request["messages"][1:])
    left = range(len(delivered.split()), word_count(subject))
    words = [f"{subject}/{number}/{run} " for number in left]
    if not request.get("stream"):
        body = chat_body("".join(words))
        cut = range(0, len(body), 60)
        return [body[at : at + 60] for at in cut], "application/json"
    events = [*(chat_event(word) for word in words), chat_event(None, "stop")]
    return [b"data: %b\n\n" % e for e in (*events, b"[DONE]")], EVENT_STREAM
