"""Upstreams in memory that keep a record of all that they ever ran.

``MemoryCall`` stands in for the sidecar's HTTP connection to its upstream.  An answer
depends on the request alone, so that any upstream gives the one right answer or the
rest of it.
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
    """One entry of an upstream's own record."""

    upstream: str
    triple: Triple
    subject: str


def word_count(subject: str) -> int:
    """How many words the right answer to a prompt has."""
    return 2 + zlib.crc32(subject.encode()) % 9


def check_words(given: list[str], subject: str, *, whole: bool) -> None:
    """The words are the right ones, in order, and each later run goes on from the
    one before: a run that was given up brings nothing any more.
    """
    marks = [word.split("/") for word in given]
    assert all(mark[0] == subject for mark in marks), given
    assert [int(mark[1]) for mark in marks] == list(range(len(marks))), given
    runs = [int(mark[2]) for mark in marks]
    assert runs == sorted(runs), given
    assert len(given) <= word_count(subject), given
    assert not whole or len(given) == word_count(subject), given


@dataclass(slots=True)
class Work:
    """What ran anywhere, and the times that a part of an answer may take."""

    net: Net
    runs: list[Run] = field(default_factory=list)
    work_s: tuple[float, ...] = WORK_S


class Upstream:
    """One upstream; it may die and come back with nothing."""

    def __init__(self) -> None:
        self.up = True
        self.silent = False
        self.incarnation = 1
        self.calls: set[MemoryCall] = set()

    def kill(self) -> None:
        self.up = False
        for call in list(self.calls):
            call.abort()

    def back(self) -> None:
        if not self.up:
            self.up = True
            self.incarnation += 1


class MemoryCall:
    """Stands in for ``UpstreamCall``: one connection of a sidecar to its upstream."""

    def __init__(
        self, work: Work, upstream: Upstream, name: str, incarnation: str
    ) -> None:
        self.sent = False
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self._world = work
        self._upstream = upstream
        self._name = name
        self._incarnation = incarnation
        self._broken = asyncio.Event()
        self._arrived = asyncio.Event()
        self._parts: list[bytes] = []

    async def open(self, method: str, target: str, headers: Any, body: bytes) -> None:
        if not self._upstream.up or self._incarnation in self._world.net.dead:
            raise UpstreamError("refused", sent=False)
        self._upstream.calls.add(self)
        self.sent = True
        # What was sent arrives, whether or not the sender still waits for it.
        loop = asyncio.get_running_loop()
        loop.call_later(self._world.net.delay(), self._arrive, dict(headers), body)
        await self._wait(self._arrived)
        await self._work()
        self.status = 200

    def _arrive(self, headers: dict[str, str], body: bytes) -> None:
        if not self._upstream.up:
            return
        asked = msgspec.json.decode(body)
        request_id, attempt = headers["x-request-id"], int(headers["x-attempt"])
        triple = (request_id, attempt, self._incarnation)
        self._world.runs.append(Run(self._name, triple, _subject(asked)))
        self._parts, kind = _answer(asked, len(self._world.runs))
        self.headers = (("content-type", kind),)
        self._arrived.set()

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        for part in self._parts:
            try:
                await self._work()
            except UpstreamError:
                # A stream may also end early as if it were whole.
                if self._is_stream and self._world.net.chance(0.5):
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
        """Take some time; wait on while the connection is silent."""
        pause_s = self._world.net.rng.choice(self._world.work_s)
        while pause_s > 0 or self._upstream.silent:
            await self._wait(asyncio.Event(), pause_s or 0.5)
            pause_s = 0.0
        if self._broken.is_set():
            raise UpstreamError("broken", sent=True)

    async def _wait(self, event: asyncio.Event, limit_s: float | None = None) -> None:
        waits = {asyncio.create_task(e.wait()) for e in (event, self._broken)}
        try:
            await asyncio.wait(
                waits, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in waits:
                task.cancel()
        if self._broken.is_set():
            raise UpstreamError("broken", sent=True)


def _subject(asked: dict[str, Any]) -> str:
    return str(asked["messages"][0]["content"] if "messages" in asked else asked["bid"])


def _answer(asked: dict[str, Any], run: int) -> tuple[list[bytes], str]:
    """Parts of the body and its content type; all name the run that made them."""
    subject = _subject(asked)
    if "bid" in asked:
        body = msgspec.json.encode({"done": subject, "run": run})
        return [body[:9], body[9:-3], body[-3:]], "application/json"
    # Only an answer that is continued has a second message.
    given = "".join(message["content"] for message in asked["messages"][1:])
    left = range(len(given.split()), word_count(subject))
    words = [f"{subject}/{number}/{run} " for number in left]
    if not asked.get("stream"):
        body = chat_body("".join(words))
        cut = range(0, len(body), 60)
        return [body[at : at + 60] for at in cut], "application/json"
    events = [*(chat_event(word) for word in words), chat_event(None, "stop")]
    return [b"data: %b\n\n" % e for e in (*events, b"[DONE]")], EVENT_STREAM
