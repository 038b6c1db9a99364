"""Faults between an entry and its sidecars, and the answers that callers get."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from typing import Any

import httpx2
import openai
import pytest

from gooseberrydale.connection.messages import CancelReply, DispatchReq, Failed, Load
from gooseberrydale.errors import QUEUE_FULL, UPSTREAM_FAILED, Problem, problem
from gooseberrydale.process.entry import Entry
from tests.builders_entry import (
    ASK,
    KEY_A,
    TEXT,
    WORD_EVENTS,
    WORDS,
    FakeSidecar,
    announce,
    answer_words,
    ask,
    chat_event,
    make_config,
    openai_client,
    read_stream,
    run,
    running,
    send_heartbeats,
    wait_until,
)
from tests.relay import Relay


async def bid(entry: Entry) -> httpx2.Response:
    base = f"http://{entry.addresses['http']}"
    headers = {"Authorization": f"Bearer {KEY_A}"}
    async with httpx2.AsyncClient(base_url=base, headers=headers) as client:
        return await client.post("/services/bids/lots/42?x=1", json={"amount": 9})


async def start_words(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send two words of the answer."""
    yield fake.accepted(req)
    for offset, event in enumerate(WORD_EVENTS[:2]):
        yield fake.chunk(req, offset, event)


async def stall(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send two words, then only heartbeats."""
    async for frame in start_words(fake, req):
        yield frame
    async for frame in send_heartbeats(fake, req):
        yield frame


def fail(reason: Problem) -> Callable[[FakeSidecar, DispatchReq], AsyncIterator[Any]]:
    """A script that sends two words, after which the upstream fails."""

    async def script(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
        async for frame in start_words(fake, req):
            yield frame
        yield Failed(req.request_id, req.attempt, req.incarnation, 2, reason, Load())

    return script


async def break_after_two_words(
    fake: FakeSidecar, req: DispatchReq
) -> AsyncIterator[Any]:
    """Send two words, then break the call and refuse to attach."""
    async for frame in start_words(fake, req):
        yield frame
    fake.on_attach = fake.refuse_attach
    raise RuntimeError("scripted")


async def break_before_accepting(
    fake: FakeSidecar, req: DispatchReq
) -> AsyncIterator[Any]:
    """Break the call before it is accepted, and refuse to attach."""
    fake.on_attach = fake.refuse_attach
    raise RuntimeError("scripted")
    yield


async def resume_answer(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send the rest of the answer to a request that is resumed."""
    yield fake.accepted(req)
    for offset in range(req.first_offset, len(WORD_EVENTS)):
        yield fake.chunk(req, offset, WORD_EVENTS[offset])
    yield fake.end(req, len(WORD_EVENTS))


async def refuse(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Refuse, since the queue is full."""
    yield fake.refused(req, problem(QUEUE_FULL, retry_after_s=2.0))


async def answer_service(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send the answer of a service."""
    yield fake.accepted(req, status=201)
    yield fake.chunk(req, 0, b'{"bid":')
    yield fake.chunk(req, 1, b"9}")
    yield fake.end(req, 2)


def pair(first: Any, then: Any, pool: str = "summary") -> list[FakeSidecar]:
    """Two sidecars: the first to get a request runs ``first``, the other ``then``."""
    fakes = [FakeSidecar("u1", pool), FakeSidecar("u2", pool)]
    for fake, other in (fakes, fakes[::-1]):

        def script(
            sidecar: FakeSidecar, req: DispatchReq, other: FakeSidecar = other
        ) -> AsyncIterator[Any]:
            chosen = then if other.dispatched else first
            return chosen(sidecar, req)  # type: ignore[no-any-return]

        fake.script = script
    return fakes


def dispatches(fakes: list[FakeSidecar]) -> list[DispatchReq]:
    """All dispatches, ordered by attempt."""
    reqs = [req for fake in fakes for req in fake.dispatched]
    return sorted(reqs, key=lambda req: req.attempt)


@contextlib.asynccontextmanager
async def behind_relay(fake: FakeSidecar) -> AsyncIterator[Relay]:
    """Run ``fake`` behind a relay."""
    await fake.start()
    relay = Relay(fake.port)
    await relay.start()
    try:
        yield relay
    finally:
        fake.release.set()
        await relay.close()
        await fake.close()


def test_silent_connection_is_replaced_and_the_stream_continues() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = stall
        async with behind_relay(fake) as relay, running() as entry:
            announce(entry, fake, port=relay.port)
            async with openai_client(entry) as client:
                reading = asyncio.create_task(read_stream(client))
                await wait_until(lambda: bool(fake.dispatched))
                await asyncio.sleep(0.1)
                relay.silence_open()
                assert await reading == TEXT
        assert [req.offset for req in fake.attached] == [2]
        assert len(fake.dispatched) == 1

    run(scenario())


LOST = problem(UPSTREAM_FAILED, not_run=False)


@pytest.mark.parametrize(
    "first", [fail(LOST), break_after_two_words], ids=["failed", "broken"]
)
def test_stream_is_resumed_on_another_upstream(first: Any) -> None:
    async def scenario() -> None:
        fakes = pair(first, resume_answer)
        async with running(*fakes) as entry, openai_client(entry) as client:
            assert await read_stream(client) == TEXT
        resumed = dispatches(fakes)[1]
        assert resumed.emitted == "".join(WORDS[:2])
        assert (resumed.attempt, resumed.first_offset) == (2, 2)

    run(scenario())


def versioned(first: Any, *software: str) -> list[FakeSidecar]:
    """Return sidecars of upstreams with these versions; the first begins the stream."""
    fakes = [FakeSidecar(f"u{number}") for number in range(len(software))]
    for fake, version in zip(fakes, software, strict=True):
        fake.software, fake.script = version, resume_answer
    fakes[0].script = first
    return fakes


@contextlib.asynccontextmanager
async def begun_at(
    fakes: list[FakeSidecar], *, leaves: bool = False
) -> AsyncIterator[asyncio.Task[str]]:
    """Read a stream that the first sidecar begins before the others are announced.

    ``leaves`` is whether the first one then announces that it leaves.
    """
    first, *others = fakes
    async with running(first) as entry, openai_client(entry) as client:
        for fake in others:
            await fake.start()
        reading = asyncio.create_task(read_stream(client))
        await wait_until(lambda: bool(first.dispatched))
        for fake in others:
            announce(entry, fake)
        if leaves:
            left = replace(first.record(), seq=2, ready=False, leaving=True)
            entry.directory.offer(left, asyncio.get_running_loop().time())
        first.release.set()
        yield reading
    for fake in others:
        await fake.close()


async def wait_then_break(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send two words, and break the call once released."""
    async for frame in start_words(fake, req):
        yield frame
    await fake.release.wait()
    await asyncio.sleep(0.05)
    fake.on_attach = fake.refuse_attach
    raise RuntimeError("scripted")


@pytest.mark.parametrize("same", [1, 2, 3, 4])
def test_stream_is_resumed_at_its_software_version(same: int) -> None:
    async def scenario() -> None:
        software = ["v1" if number in (0, same) else "v2" for number in range(5)]
        fakes = versioned(wait_then_break, *software)
        async with begun_at(fakes) as reading:
            assert await reading == TEXT
        dispatched = [number for number in range(5) if fakes[number].dispatched]
        assert dispatched == [0, same]

    run(scenario())


def test_stream_ends_with_an_error_if_its_software_version_serves_no_more() -> None:
    async def scenario() -> None:
        fakes = versioned(wait_then_break, "v1", "v2")
        async with begun_at(fakes, leaves=True) as reading:
            with pytest.raises(openai.APIError):
                await reading
        assert [len(fake.dispatched) for fake in fakes] == [1, 0]

    run(scenario())


def test_unstreamed_answer_starts_again_after_a_failure() -> None:
    async def scenario() -> None:
        fakes = pair(fail(LOST), answer_words)
        async with running(*fakes) as entry, openai_client(entry) as client:
            answer = await ask(client)
        assert answer.choices[0].message.content == TEXT
        assert dispatches(fakes)[1].first_offset == 0

    run(scenario())


def test_request_refused_by_a_full_queue_goes_to_another_upstream() -> None:
    async def scenario() -> None:
        fakes = pair(refuse, answer_words)
        async with running(*fakes) as entry, openai_client(entry) as client:
            assert await read_stream(client) == TEXT

    run(scenario())


def test_refusal_by_all_upstreams_is_final_and_reported_as_not_run() -> None:
    async def scenario() -> None:
        fakes = pair(refuse, refuse)
        async with running(*fakes) as entry, openai_client(entry) as client:
            with pytest.raises(openai.RateLimitError) as caught:
                await read_stream(client)
        error = caught.value.body
        assert isinstance(error, dict)
        assert (error["code"], error["not_run"]) == ("queue_full", True)
        assert caught.value.response.headers["retry-after"] == "2"

    run(scenario())


def test_leaving_upstream_gets_no_request() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        config = replace(make_config(), leaving=frozenset({"u1"}))
        async with running(fake, config=config) as entry:
            async with openai_client(entry) as client:
                with pytest.raises(openai.APIStatusError) as caught:
                    await read_stream(client)
        assert caught.value.response.status_code == 503
        assert "retry-after" in caught.value.response.headers
        assert fake.dispatched == []

    run(scenario())


async def call_tool(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send part of a tool call, which can't be resumed from its text, then fail."""
    yield fake.accepted(req)
    event = chat_event("x").replace(b'"content"', b'"tool_calls"')
    yield fake.chunk(req, 0, event)
    yield Failed(req.request_id, req.attempt, req.incarnation, 1, LOST, Load())


async def read_raw_stream(client: openai.AsyncOpenAI, **fields: Any) -> str:
    """Request a stream and return its raw body."""
    url = f"{client.base_url}chat/completions"
    body = {"model": "lots", "messages": ASK, "stream": True, **fields}
    headers = {"Authorization": f"Bearer {KEY_A}"}
    async with httpx2.AsyncClient() as http:
        return (await http.post(url, json=body, headers=headers)).text


async def fail_at_end(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send the whole text, then fail instead of ending the answer."""
    count = len(WORD_EVENTS)
    yield fake.accepted(req)
    for offset, event in enumerate(WORD_EVENTS):
        yield fake.chunk(req, offset, event)
    yield Failed(req.request_id, req.attempt, req.incarnation, count, LOST, Load())


@pytest.mark.parametrize(
    ("fields", "is_complete"),
    [
        ({}, True),
        ({"stream_options": {"include_usage": True}}, False),
        ({"n": 2}, False),
    ],
    ids=["text alone", "usage missing", "second choice missing"],
)
def test_complete_text_is_delivered_without_another_attempt(
    fields: dict[str, Any], is_complete: bool
) -> None:
    async def scenario() -> None:
        fakes = pair(fail_at_end, resume_answer)
        async with running(*fakes) as entry, openai_client(entry) as client:
            text = await read_raw_stream(client, **fields)
        assert ("[DONE]" in text) == is_complete and ('"error"' in text) != is_complete
        assert len(dispatches(fakes)) == 1

    run(scenario())


def test_stream_that_cannot_be_completed_ends_with_an_error_event() -> None:
    async def scenario() -> None:
        fakes = pair(call_tool, resume_answer)
        async with running(*fakes) as entry, openai_client(entry) as client:
            text = await read_raw_stream(client)
        last = text.strip().split("\n\n")[-1]
        assert '"error"' in last and "upstream_failed" in last
        assert "[DONE]" not in text

    run(scenario())


@pytest.mark.parametrize(
    ("not_run", "status", "code", "attempts"),
    [(True, 201, "", 2), (False, 502, "outcome_unknown", 1)],
    ids=["tombstoned", "unknown"],
)
def test_bid_moves_only_after_a_confirmed_tombstone(
    not_run: bool, status: int, code: str, attempts: int
) -> None:
    async def scenario() -> None:
        fakes = pair(break_before_accepting, answer_service, "bidding")
        for fake in fakes:
            fake.cancel_reply = CancelReply(not_run=not_run)
        async with running(*fakes) as entry:
            answer = await bid(entry)
        assert answer.status_code == status
        sent = dispatches(fakes)
        assert [req.attempt for req in sent] == list(range(1, attempts + 1))
        assert all(req.path == "/lots/42?x=1" for req in sent)
        assert all("authorization" not in dict(req.headers) for req in sent)
        if code:
            error = answer.json()["error"]
            assert (error["code"], error["not_run"]) == (code, None)
            assert "retry-after" not in answer.headers
        else:
            assert answer.json() == {"bid": 9}

    run(scenario())


def test_accepted_bid_whose_call_breaks_is_not_sent_again() -> None:
    async def scenario() -> None:
        fakes = pair(break_after_two_words, answer_service, "bidding")
        async with running(*fakes) as entry:
            answer = await bid(entry)
        assert answer.json()["error"]["code"] == "outcome_unknown"
        assert len(dispatches(fakes)) == 1

    run(scenario())


def test_bid_to_an_unreachable_sidecar_is_sent_to_another() -> None:
    async def scenario() -> None:
        unreachable, fake = FakeSidecar("u1", "bidding"), FakeSidecar("u2", "bidding")
        fake.script = answer_service
        await unreachable.start()
        async with running(fake) as entry:
            announce(entry, unreachable)
            await unreachable.close()
            answers = [await bid(entry) for _ in range(4)]
        assert [answer.status_code for answer in answers] == [201] * 4
        assert len(fake.dispatched) == 4

    run(scenario())


def test_passed_deadline_ends_the_request_and_cancels_the_attempt() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = send_heartbeats
        config = make_config()
        short_profile = replace(config.profiles["lots"], deadline_s=0.3)
        config = replace(config, profiles={"lots": short_profile})
        async with (
            running(fake, config=config) as entry,
            openai_client(entry) as client,
        ):
            with pytest.raises(openai.APIStatusError) as caught:
                await read_stream(client)
            await wait_until(lambda: bool(fake.cancelled))
        error = caught.value.body
        assert isinstance(error, dict)
        assert (error["code"], error["not_run"]) == ("deadline_passed", None)

    run(scenario())


def test_disconnected_caller_cancels_the_attempt_at_the_sidecar() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = stall
        async with running(fake) as entry, openai_client(entry) as client:
            now = asyncio.get_running_loop().time()
            # Routing has read the record before its renewal, and a renewal is not given
            # to routing; dispatch and cancellation must still carry its number.
            assert entry.directory.ready(fake.pool, now)
            entry.directory.offer(replace(fake.record(), seq=2), now)
            reading = asyncio.create_task(read_stream(client))
            await wait_until(lambda: bool(fake.dispatched))
            await asyncio.sleep(0.1)
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await reading
            await wait_until(lambda: bool(fake.cancelled))
        [cancellation] = fake.cancelled
        assert cancellation.request_id == fake.dispatched[0].request_id
        assert cancellation.record_seq == fake.dispatched[0].record_seq == 2

    run(scenario())


async def send_mismatched_frames(
    fake: FakeSidecar, req: DispatchReq
) -> AsyncIterator[Any]:
    """Send each event twice, and frames of other attempts, incarnations, requests."""
    wrong = chat_event("wrong")
    yield fake.accepted(replace(req, attempt=7), status=500)
    yield fake.accepted(req)
    for offset, event in enumerate(WORD_EVENTS):
        for other in (
            replace(req, attempt=req.attempt + 1),
            replace(req, incarnation="earlier"),
            replace(req, request_id="other"),
        ):
            yield fake.chunk(other, offset, wrong)
            yield fake.end(other, offset)
        yield fake.chunk(req, offset, event)
        yield fake.chunk(req, offset, event)
    yield fake.end(req, len(WORD_EVENTS))


def test_duplicate_and_mismatched_frames_are_dropped() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = send_mismatched_frames
        async with running(fake) as entry, openai_client(entry) as client:
            assert await read_stream(client) == TEXT

    run(scenario())


async def skip_event(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Send an answer without one of its events."""
    yield fake.accepted(req)
    for offset in (0, 1, 3, 4):
        yield fake.chunk(req, offset, WORD_EVENTS[offset])
    yield fake.end(req, len(WORD_EVENTS))


def test_missing_event_is_read_again_by_attaching() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = skip_event
        async with running(fake) as entry, openai_client(entry) as client:
            assert await read_stream(client) == TEXT
        assert [req.offset for req in fake.attached] == [2]

    run(scenario())


@pytest.mark.parametrize(
    ("sidecar_revision", "entry_revision"), [(1, 5), (5, 1)], ids=["behind", "ahead"]
)
def test_newer_configuration_spreads_between_entry_and_sidecar(
    sidecar_revision: int, entry_revision: int
) -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.config = make_config(sidecar_revision)
        async with running(fake, config=make_config(entry_revision)) as entry:
            async with openai_client(entry) as client:
                assert await read_stream(client) == TEXT
            await wait_until(lambda: entry.store.revision == fake.config.revision == 5)

    run(scenario())


async def break_once(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Break the first call before it is accepted; answer later ones."""
    if len(fake.dispatched) == 1:
        raise RuntimeError("scripted")
    async for frame in answer_words(fake, req):
        yield frame


def test_only_upstream_is_retried_after_a_broken_connection() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = break_once
        async with running(fake) as entry, openai_client(entry) as client:
            assert await read_stream(client) == TEXT
        assert [req.attempt for req in fake.dispatched] == [1, 2]

    run(scenario())


def test_broken_connections_of_many_requests_lose_no_request() -> None:
    async def scenario() -> None:
        fakes = [FakeSidecar("u1"), FakeSidecar("u2")]
        broken = [fake.name for fake in fakes[:1]]

        async def script(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
            if fake.name in broken:
                await asyncio.sleep(0.2)
                raise RuntimeError("scripted")
            async for frame in answer_words(fake, req):
                yield frame

        for fake in fakes:
            fake.script = script
        # Round-robin sends half to the broken sidecar, whatever the timing.
        entered = running(*fakes, policy="round-robin")
        async with entered as entry, openai_client(entry) as client:
            texts = await asyncio.gather(*[read_stream(client) for _ in range(40)])
        assert texts == [TEXT] * 40
        assert len(fakes[0].dispatched) > 12

    run(scenario())


def test_a_stall_of_the_process_fails_no_attempt() -> None:
    """After a second without processor time, the frames that have arrived must be read
    before a connection counts as silent.
    """

    async def scenario() -> None:
        fakes = [FakeSidecar("u1"), FakeSidecar("u2")]
        began = asyncio.Event()

        async def script(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
            yield fake.accepted(req)
            began.set()
            await asyncio.sleep(0.2)
            async for frame in answer_words(fake, req):
                yield frame

        for fake in fakes:
            fake.script = script
        async with running(*fakes) as entry, openai_client(entry) as client:
            reads = asyncio.gather(*[read_stream(client) for _ in range(20)])
            await began.wait()
            time.sleep(1.0)
            texts = await reads
        assert texts == [TEXT] * 20
        assert sum(len(fake.dispatched) for fake in fakes) == 20

    run(scenario())
