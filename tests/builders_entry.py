"""Builders for tests of the entry: a scripted sidecar, declarations, requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import pathlib
import random
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, TypeVar

import msgspec
import openai

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    Accepted,
    AttachReq,
    CancelReply,
    CancelReq,
    Chunk,
    ConfigAck,
    DispatchReq,
    End,
    Heartbeat,
    Load,
    PushConfig,
    ReadConfig,
    Refused,
)
from gooseberrydale.connection.rpc import (
    ATTACH,
    CANCEL,
    DISPATCH,
    PUSH_CONFIG,
    READ_CONFIG,
    RpcServer,
)
from gooseberrydale.errors import UNKNOWN_STREAM, problem
from gooseberrydale.process.cfg import Cfg, EntryCfg, FleetCfg, NodeCfg
from gooseberrydale.process.entry import Entry
from gooseberrydale.version.declarations import (
    Config,
    Profile,
    ProfileKind,
    Workspace,
)
from gooseberrydale.version.key_index import key_digest

TOKEN = "fleet-token"
ASK = [{"role": "user", "content": "Is lot 42 fine?"}]
KEY_A = "key-of-a"
KEY_B = "key-of-b"
HEARTBEAT_S = 0.1
TEST_TIMEOUT_S = 40
T = TypeVar("T")
_seeds = itertools.count(1)
Script = Callable[["FakeSidecar", DispatchReq], AsyncIterator[Any]]


def make_config(revision: int = 1) -> Config:
    """Two workspaces, a chat profile, and a service that is not repeatable."""
    chat = Profile("lots", ProfileKind.COMPLETION, "summary", model="m1")
    bids = Profile("bids", ProfileKind.SERVICE, "bidding", repeatable=False)
    return Config(
        revision=revision,
        profiles={"lots": chat, "bids": bids},
        workspaces={
            "a": Workspace("a", (key_digest(KEY_A),)),
            "b": Workspace("b", (key_digest(KEY_B),), profiles=("lots",)),
        },
    )


def make_cfg(controls: tuple[str, ...] = (), **entry: Any) -> Cfg:
    """Settings of an entry on free loopback ports."""
    token_file = pathlib.Path(tempfile.mkdtemp(), "token")
    token_file.write_text(TOKEN)
    settings = {"http": "127.0.0.1:0", "rpc": "127.0.0.1:0", "silence_s": 0.5}
    settings |= {"body_timeout_s": 0.5, "drain_s": 1.0, **entry}
    return Cfg(
        node=NodeCfg("entry-1"),
        fleet=FleetCfg(token_file, controls),
        entry=EntryCfg(**settings),  # type: ignore[arg-type]
    )


def chat_event(text: str | None, finish: str | None = None) -> bytes:
    """One event of a streamed chat completion as an engine sends it."""
    delta = {} if text is None else {"content": text}
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return msgspec.json.encode(
        {
            "id": "engine-id",
            "object": "chat.completion.chunk",
            "created": 1,
            "model": "m1",
            "choices": [choice],
        }
    )


def chat_body(text: str) -> bytes:
    """The body of an unstreamed chat completion as an engine sends it."""
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return msgspec.json.encode(
        {
            "id": "engine-id",
            "object": "chat.completion",
            "created": 1,
            "model": "m1",
            "choices": [choice],
            "usage": {"prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2},
        }
    )


class FakeSidecar:
    """A sidecar that answers with a script and records the requests it got.

    Scripts that wait do so until ``release`` is set.  ``on_attach`` replaces the answer
    to an attach; without ``cancel_reply`` a cancellation is not answered.
    """

    def __init__(self, name: str, pool: str = "summary") -> None:
        self.name = name
        self.pool = pool
        self.incarnation = f"inc-{name}"
        self.software = ""
        self.script: Script = answer_words
        self.on_attach: Callable[[AttachReq], AsyncIterator[Any]] | None = None
        self.cancel_reply: CancelReply | None = CancelReply(not_run=False)
        self.dispatched: list[DispatchReq] = []
        self.attached: list[AttachReq] = []
        self.cancelled: list[CancelReq] = []
        self.pushed: list[int] = []
        self.config = make_config()
        self.sent_events: dict[str, list[bytes]] = {}
        self.release = asyncio.Event()
        self._server = RpcServer("127.0.0.1:0", TOKEN)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server.streaming(DISPATCH, self._dispatch)
        self._server.streaming(ATTACH, self._attach)
        self._server.unary(CANCEL, self._cancel)
        self._server.unary(PUSH_CONFIG, self._push)
        self._server.unary(READ_CONFIG, self._read)
        await self._server.start()

    async def close(self) -> None:
        """Stop listening and abort running calls."""
        await self._server.close()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.port

    def record(self, port: int | None = None) -> UpstreamRecord:
        """The record that this sidecar announces; ``port`` replaces its own port."""
        return UpstreamRecord(
            name=self.name,
            incarnation=self.incarnation,
            seq=1,
            address=f"127.0.0.1:{port or self.port}",
            zone="local",
            region="local",
            pool=self.pool,
            kind="completion" if self.pool == "summary" else "service",
            model="m1",
            weights_version="w1",
            upstream_incarnation="u1",
            lease_s=60.0,
            software=self.software,
        )

    def accepted(self, req: DispatchReq, status: int = 200) -> Accepted:
        """The first frame of an answer."""
        return Accepted(
            req.request_id,
            req.attempt,
            req.incarnation,
            req.first_offset,
            status,
            (("content-type", "application/json"),),
            Load(),
            self.config.revision,
        )

    def chunk(self, req: DispatchReq, offset: int, *events: bytes) -> Chunk:
        """A frame with events from ``offset`` on."""
        return Chunk(req.request_id, req.attempt, req.incarnation, offset, events)

    def end(self, req: DispatchReq, offset: int) -> End:
        """The last frame of a complete answer of ``offset`` events."""
        return End(req.request_id, req.attempt, req.incarnation, offset, Load())

    def refused(self, req: DispatchReq, reason: Any) -> Refused:
        """The frame that refuses a dispatch."""
        return Refused(
            req.request_id,
            req.attempt,
            req.incarnation,
            reason,
            Load(),
            self.config.revision,
        )

    async def _dispatch(self, req: DispatchReq) -> AsyncIterator[Any]:
        self.dispatched.append(req)
        async for frame in self.script(self, req):
            if isinstance(frame, Chunk):
                self.sent_events.setdefault(req.request_id, []).extend(frame.events)
            yield frame

    async def _attach(self, req: AttachReq) -> AsyncIterator[Any]:
        self.attached.append(req)
        if self.on_attach is not None:
            async for frame in self.on_attach(req):
                yield frame
            return
        matching = [d for d in self.dispatched if d.request_id == req.request_id]
        if not matching or matching[-1].workspace != req.workspace:
            async for frame in self.refuse_attach(req):
                yield frame
            return
        async for frame in self.resume(matching[-1], req.offset):
            yield frame

    async def refuse_attach(self, req: AttachReq) -> AsyncIterator[Any]:
        """Answer an attach to a stream that the sidecar does not retain."""
        reason = problem(UNKNOWN_STREAM, request_id=req.request_id, offset=req.offset)
        yield Refused(
            req.request_id,
            req.attempt,
            req.incarnation,
            reason,
            Load(),
            self.config.revision,
        )

    async def resume(self, req: DispatchReq, offset: int) -> AsyncIterator[Any]:
        """The answer of ``answer_words`` from ``offset`` on."""
        yield self.accepted(req)
        for number, event in list(enumerate(WORD_EVENTS))[offset:]:
            yield self.chunk(req, number, event)
        yield self.end(req, len(WORD_EVENTS))

    async def _cancel(self, req: CancelReq) -> CancelReply:
        self.cancelled.append(req)
        while self.cancel_reply is None:
            await asyncio.sleep(0.05)
        return self.cancel_reply

    async def _push(self, req: PushConfig) -> ConfigAck:
        self.pushed.append(req.config.revision)
        self.config = req.config
        return ConfigAck(self.config.revision)

    async def _read(self, req: ReadConfig) -> ConfigAck:
        newer = self.config if self.config.revision > req.revision else None
        return ConfigAck(self.config.revision, newer)


WORDS = ("Lot ", "42 ", "runs ", "well.")
TEXT = "".join(WORDS)
WORD_EVENTS = (*(chat_event(word) for word in WORDS), chat_event(None, "stop"))


async def answer_words(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send a complete answer, streamed or not, without waiting."""
    yield fake.accepted(req)
    events = WORD_EVENTS if req.stream else (chat_body("".join(WORDS)),)
    for offset, event in enumerate(events, req.first_offset):
        yield fake.chunk(req, offset, event)
    yield fake.end(req, req.first_offset + len(events))


async def send_heartbeats(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send heartbeats until ``release`` of the fake is set."""
    while not fake.release.is_set():
        yield Heartbeat(req.request_id, Load())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(fake.release.wait(), HEARTBEAT_S)


@contextlib.asynccontextmanager
async def running(
    *fakes: FakeSidecar,
    config: Config | None = None,
    is_current: bool = True,
    **entry: Any,
) -> AsyncIterator[Entry]:
    """Run an entry that has the records of ``fakes``, and the fakes.

    Unless it ``is_current``, it doesn't know whether ``config`` is the newest.
    """
    for fake in fakes:
        await fake.start()
    started = Entry(make_cfg(**entry), random.Random(next(_seeds)))
    await started.start()
    try:
        started.store.offer(config if config is not None else make_config())
        if is_current:
            started.confirmed.confirm(started.store.revision, math.inf)
        announce(started, *fakes)
        yield started
    finally:
        for fake in fakes:
            fake.release.set()
        await started.close()
        for fake in fakes:
            await fake.close()


def announce(entry: Entry, *fakes: FakeSidecar, port: int | None = None) -> None:
    """Add the records of the fakes to the entry, as if they were announced."""
    now = asyncio.get_running_loop().time()
    for fake in fakes:
        entry.directory.offer(fake.record(port), now)


def openai_client(entry: Entry, key: str = KEY_A) -> openai.AsyncOpenAI:
    """An unmodified OpenAI client without retries."""
    return openai.AsyncOpenAI(
        base_url=f"http://{entry.addresses['http']}/v1", api_key=key, max_retries=0
    )


async def ask(client: openai.AsyncOpenAI, **fields: Any) -> Any:
    """Request a chat completion."""
    fields = {"model": "lots", "messages": ASK, **fields}
    return await client.chat.completions.create(**fields)


async def read_text(stream: Any) -> str:
    """Read the text of a streamed answer; its events must name the profile."""
    parts = []
    async for event in stream:
        assert event.model == "lots"
        parts.append(event.choices[0].delta.content or "")
    return "".join(parts)


async def read_stream(client: openai.AsyncOpenAI, **fields: Any) -> str:
    """Request a streamed chat completion and read its text."""
    return await read_text(await ask(client, stream=True, **fields))


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a scenario on a new event loop, within a generous time limit."""

    async def bounded() -> T:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await scenario

    return asyncio.run(bounded())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` is true; fail after ten seconds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)
