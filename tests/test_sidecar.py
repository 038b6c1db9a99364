"""The sidecar in the test's process, with real sockets to entry and upstream."""

from __future__ import annotations

import asyncio
import json
import pathlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    Accepted,
    ConfigAck,
    End,
    Failed,
    PushConfig,
    ReadConfig,
    Refused,
)
from gooseberrydale.connection.rpc import PUSH_CONFIG, READ_CONFIG
from gooseberrydale.version.declarations import Config
from tests import sidecar_harness
from tests.builders_sidecar import (
    Request,
    Writer,
    send_body,
    send_event,
    send_events,
    start_stream,
    tiny_upstream,
)
from tests.sidecar_harness import (
    TEST_TIMEOUT_S,
    SidecarHarness,
    events_of,
    read_events,
    read_frames,
    run,
)

EVENTS = [b'{"n":%d}' % n for n in range(5)]


@asynccontextmanager
async def running_sidecar(
    folder: pathlib.Path, answer: Any, **settings: Any
) -> AsyncIterator[SidecarHarness]:
    async with tiny_upstream(answer) as upstream:
        async with sidecar_harness.running_sidecar(
            folder, upstream.url, **settings
        ) as harness:
            harness.upstream = upstream
            yield harness


async def complete_stream(_req: Request, writer: Writer) -> None:
    await send_events(writer, EVENTS)


async def endless_stream(_req: Request, writer: Writer) -> None:
    await start_stream(writer)
    while True:
        await send_event(writer, b'{"n":0}')
        await asyncio.sleep(0.02)


async def stuck_stream(_req: Request, writer: Writer) -> None:
    await start_stream(writer)
    await send_event(writer, EVENTS[0])
    await asyncio.sleep(TEST_TIMEOUT_S)


def test_a_dispatch_delivers_the_complete_answer_in_order(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            frames = await read_frames(harness.dispatch())
        assert isinstance(frames[0], Accepted)
        assert frames[0].status == 200
        assert events_of(frames) == EVENTS
        assert isinstance(frames[-1], End)
        assert frames[-1].offset == len(EVENTS)
        sent = harness.upstream.requests[0]
        assert sent.headers["x-request-id"] == "req-1"
        assert b'"model":"model-a"' in sent.body
        assert b'"cache_salt"' in sent.body

    run(main())


def test_a_stream_that_ends_without_its_end_marker_fails(
    tmp_path: pathlib.Path,
) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        await send_events(writer, EVENTS, done=False)

    async def main() -> None:
        async with running_sidecar(tmp_path, answer) as harness:
            frames = await read_frames(harness.dispatch())
        assert isinstance(frames[-1], Failed)
        assert frames[-1].problem.code == "upstream_failed"
        assert frames[-1].problem.not_run is False

    run(main())


@pytest.mark.parametrize("done", [True, False])
def test_a_stream_without_framing_is_complete_only_with_its_end_marker(
    tmp_path: pathlib.Path, done: bool
) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")
        events = [*EVENTS, b"[DONE]"] if done else EVENTS
        writer.write(b"".join(b"data: " + event + b"\n\n" for event in events))
        await writer.drain()
        writer.close()

    async def main() -> None:
        async with running_sidecar(tmp_path, answer) as harness:
            frames = await read_frames(harness.dispatch())
        assert events_of(frames) == EVENTS
        assert isinstance(frames[-1], End if done else Failed)

    run(main())


def test_a_dispatch_to_another_incarnation_is_refused(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            frames = await read_frames(harness.dispatch(incarnation="earlier"))
        assert isinstance(frames[0], Refused)
        assert frames[0].problem.code == "wrong_incarnation"
        assert harness.upstream.requests == []

    run(main())


def test_an_attempt_that_was_cancelled_before_its_dispatch_never_starts(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            assert (await harness.cancel()).not_run is True
            frames = await read_frames(harness.dispatch())
        assert frames[0].problem.code == "tombstoned"
        assert harness.upstream.requests == []

    run(main())


def test_a_cancelled_attempt_is_cancelled_at_the_upstream(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, endless_stream) as harness:
            call = harness.dispatch()
            await read_events(call, 3)
            assert (await harness.cancel()).not_run is False
            while not harness.upstream.disconnected:
                await asyncio.sleep(0.01)

    run(main())


def test_cancelling_a_running_call_that_is_not_repeatable_does_not_stop_it(
    tmp_path: pathlib.Path,
) -> None:
    received = asyncio.Event()
    go = asyncio.Event()

    async def answer(_req: Request, writer: Writer) -> None:
        received.set()
        await go.wait()
        await send_events(writer, EVENTS)

    async def main() -> None:
        async with running_sidecar(tmp_path, answer) as harness:
            call = harness.dispatch(repeatable=False)
            reading = asyncio.create_task(read_frames(call))
            await received.wait()
            assert (await harness.cancel()).not_run is False
            go.set()
            assert isinstance((await reading)[-1], End)
        assert harness.upstream.disconnected == 0

    run(main())


def test_a_cancelled_attempt_is_removed_from_the_queue(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, endless_stream, max_running=1) as harness:
            first = harness.dispatch(request_id="req-0")
            await read_events(first, 1)
            queued = harness.dispatch()
            await queued.read()
            assert (await harness.cancel()).not_run is True
            frames = await read_frames(queued)
            assert frames[0].problem.not_run is True
            first.cancel()
            await harness.cancel("req-0")
        assert len(harness.upstream.requests) == 1

    run(main())


def test_a_full_queue_refuses_immediately_with_a_retry_time(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        settings = {"max_running": 1, "max_queued": 0, "drain_s": 0.1}
        async with running_sidecar(tmp_path, endless_stream, **settings) as harness:
            first = harness.dispatch(request_id="req-0")
            await read_events(first, 1)
            frames = await read_frames(harness.dispatch())
            assert frames[0].problem.code == "queue_full"
            assert frames[0].problem.retry_after_s > 0
            again = await read_frames(harness.dispatch())
            assert again[0].problem.code == "tombstoned"

    run(main())


def test_a_reader_that_lost_its_connection_attaches_at_its_offset(
    tmp_path: pathlib.Path,
) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        await start_stream(writer)
        for n in range(60):
            await send_event(writer, b'{"n":%d}' % n)
            await asyncio.sleep(0.01)
        await send_event(writer, b"[DONE]")
        writer.write(b"0\r\n\r\n")

    async def main() -> None:
        async with running_sidecar(tmp_path, answer) as harness:
            call = harness.dispatch()
            got = await read_events(call, 10)
            call.cancel()
            refused = await read_frames(harness.attach(10, "workspace-b"))
            assert refused[0].problem.code == "unknown_stream"
            frames = await read_frames(harness.attach(5))
        assert got[:5] + events_of(frames) == [b'{"n":%d}' % n for n in range(60)]
        assert isinstance(frames[-1], End)
        assert len(harness.upstream.requests) == 1

    run(main())


def test_a_stream_without_a_reader_is_cancelled_at_the_upstream(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, endless_stream, replay_s=0.5) as harness:
            call = harness.dispatch()
            await read_events(call, 3)
            call.cancel()
            while not harness.upstream.disconnected:
                await asyncio.sleep(0.01)

    run(main())


def test_a_draining_sidecar_refuses_new_work_and_finishes_running_work(
    tmp_path: pathlib.Path,
) -> None:
    go = asyncio.Event()

    async def answer(_req: Request, writer: Writer) -> None:
        await go.wait()
        await send_events(writer, EVENTS)

    async def main() -> None:
        async with running_sidecar(tmp_path, answer) as harness:
            reading = asyncio.create_task(read_frames(harness.dispatch()))
            while not harness.upstream.requests:
                await asyncio.sleep(0.01)
            closing = asyncio.create_task(harness.sidecar.close())
            await asyncio.sleep(0)
            frames = await read_frames(harness.dispatch(request_id="req-2"))
            assert frames[0].problem.code == "shutting_down"
            assert frames[0].problem.not_run is True
            go.set()
            assert isinstance((await reading)[-1], End)
            await closing

    run(main())


def test_a_stream_that_outlasts_the_drain_time_ends_so_that_it_can_be_resumed(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, endless_stream, drain_s=0.2) as harness:
            call = harness.dispatch()
            await read_events(call, 1)
            reading = asyncio.create_task(read_frames(call))
            await harness.sidecar.close()
            last = (await reading)[-1]
        assert isinstance(last, Failed)
        assert last.problem.code == "upstream_failed"

    run(main())


def test_a_silent_connection_is_aborted_while_the_upstream_answers(
    tmp_path: pathlib.Path,
) -> None:
    cases = {True: ("upstream_failed", False), False: ("outcome_unknown", None)}

    async def main() -> None:
        async with running_sidecar(
            tmp_path, stuck_stream, upstream_silence_s=0.3
        ) as harness:
            for repeatable, outcome in cases.items():
                req_id = f"req-{repeatable}"
                call = harness.dispatch(request_id=req_id, repeatable=repeatable)
                last = (await read_frames(call))[-1]
                assert isinstance(last, Failed)
                assert (last.problem.code, last.problem.not_run) == outcome

    run(main())


def test_a_call_to_an_unreachable_upstream_is_reported_as_not_run(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            await harness.upstream.close()
            frames = await read_frames(harness.dispatch(repeatable=False))
        assert frames[0].problem.code == "upstream_unreachable"
        assert frames[0].problem.not_run is True

    run(main())


def test_request_and_answer_of_a_service_are_forwarded_unchanged(
    tmp_path: pathlib.Path,
) -> None:
    async def answer(req: Request, writer: Writer) -> None:
        await send_body(writer, req.body * 2, "409 Conflict", "text/plain")

    async def main() -> None:
        async with running_sidecar(tmp_path, answer, kind="service") as harness:
            call = harness.dispatch(
                method="PUT",
                path="/bids/7?lot=1",
                body=b"\x00bid",
                headers=(("Content-Type", "application/x-bid"), ("TE", "trailers")),
                stream=False,
                repeatable=False,
            )
            frames = await read_frames(call)
        assert frames[0].status == 409
        assert ("content-type", "text/plain") in frames[0].headers
        assert b"".join(events_of(frames)) == b"\x00bid\x00bid"
        sent = harness.upstream.requests[0]
        assert (sent.method, sent.target) == ("PUT", "/bids/7?lot=1")
        assert sent.headers["content-type"] == "application/x-bid"
        assert sent.headers["x-attempt"] == "1"
        assert "te" not in sent.headers

    run(main())


def test_a_resumed_stream_requests_the_rest_and_continues_its_offsets(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            body = b'{"messages":[{"role":"user","content":"hi"}],"max_tokens":9}'
            call = harness.dispatch(body=body, emitted="so far", first_offset=4)
            frames = await read_frames(call)
        assert frames[0].offset == 4
        assert frames[1].offset == 4
        assert frames[-1].offset == 4 + len(EVENTS)
        sent = json.loads(harness.upstream.requests[0].body)
        assert sent["messages"][-1] == {"role": "assistant", "content": "so far"}
        assert sent["continue_final_message"] is True
        assert sent["add_generation_prompt"] is False
        assert sent["max_tokens"] == 5

    run(main())


def test_a_newer_configuration_is_stored_and_returned(tmp_path: pathlib.Path) -> None:
    config = Config(revision=7, leaving=frozenset({"upstream-1"}))

    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            for pushed in (config, Config(revision=6)):
                ack = await harness.channel.call(PUSH_CONFIG, PushConfig(pushed))
                assert ack == ConfigAck(7)
            read = await harness.channel.call(READ_CONFIG, ReadConfig(6))
            assert read == ConfigAck(7, config)
            assert await harness.channel.call(READ_CONFIG, ReadConfig(7)) == ConfigAck(
                7
            )
            frames = await read_frames(harness.dispatch())
            assert frames[0].problem.code == "upstream_leaving"
            assert frames[0].cfg_revision == 7
            record = own_record(harness)
            assert record is not None and record.leaving

    run(main())


def test_a_leaving_upstream_refuses_queued_work_and_finishes_running_work(
    tmp_path: pathlib.Path,
) -> None:
    config = Config(revision=7, leaving=frozenset({"upstream-1"}))

    async def main() -> None:
        async with running_sidecar(tmp_path, endless_stream, max_running=1) as harness:
            running = harness.dispatch()
            await read_events(running, 1)
            waiting = harness.dispatch(request_id="req-2")
            while harness.sidecar.dispatcher.load().queued == 0:
                await asyncio.sleep(0.01)
            await harness.channel.call(PUSH_CONFIG, PushConfig(config))
            frames = await read_frames(waiting)
            assert isinstance(frames[-1], Refused)
            assert frames[-1].problem.code == "upstream_leaving"
            assert frames[-1].problem.not_run is True
            assert len(await read_events(running, 5)) >= 5
            assert len(harness.upstream.requests) == 1
            await harness.cancel()

    run(main())


def own_record(harness: SidecarHarness) -> UpstreamRecord | None:
    """The record of its upstream that the sidecar announces."""
    now = asyncio.get_running_loop().time()
    return harness.sidecar.directory.get("upstream-1", now)


def test_attempts_on_an_old_incarnation_of_the_upstream_fail(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        silence = {"upstream_silence_s": 2 * TEST_TIMEOUT_S}
        async with running_sidecar(tmp_path, stuck_stream, **silence) as harness:
            harness.upstream.health = {"ready": True, "incarnation": "incarnation-1"}
            while harness.sidecar.upstream_state.incarnation != "incarnation-1":
                await asyncio.sleep(0.01)
            call = harness.dispatch()
            await read_events(call, 1)
            await asyncio.sleep(0.6)
            harness.upstream.health = {"ready": True, "incarnation": "incarnation-2"}
            last = (await read_frames(call))[-1]
            assert isinstance(last, Failed)
            assert last.problem.code == "upstream_failed"
            record = own_record(harness)
            assert record is not None and record.upstream_incarnation == "incarnation-2"

    run(main())


def test_the_software_version_of_the_upstream_is_announced(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            for software in ("v1", "v2"):
                harness.upstream.health = {"ready": True, "software": software}
                while (known := own_record(harness)) is None or (
                    known.software != software
                ):
                    await asyncio.sleep(0.01)

    run(main())


def test_the_cache_salt_differs_between_workspaces_and_between_weights(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            for weights in ("v1", "v2"):
                harness.upstream.health = {"ready": True, "weights_version": weights}
                while harness.sidecar.upstream_state.weights_version != weights:
                    await asyncio.sleep(0.01)
                for workspace in ("workspace-a", "workspace-b", "workspace-a"):
                    count = len(harness.upstream.requests)
                    await read_frames(
                        harness.dispatch(request_id=f"req-{count}", workspace=workspace)
                    )
        salts = [json.loads(r.body)["cache_salt"] for r in harness.upstream.requests]
        assert salts[0] == salts[2] and salts[3] == salts[5]
        assert len(set(salts)) == 4

    run(main())


def test_an_unreachable_upstream_is_announced_as_not_ready(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with running_sidecar(tmp_path, complete_stream) as harness:
            await asyncio.sleep(0)
            record = own_record(harness)
            assert record is not None and record.ready and not record.leaving
            await harness.upstream.close()
            while record is not None and record.ready:
                await asyncio.sleep(0.01)
                record = own_record(harness)
            assert record is not None

    run(main())


def test_a_sidecar_observes_the_rate_limit_that_its_upstream_names(
    tmp_path: pathlib.Path,
) -> None:
    async def limited(_req: Request, writer: Writer) -> None:
        head = "HTTP/1.1 200 OK\r\nx-limit-per-s: 5\r\ncontent-length: 2\r\n\r\nok"
        writer.write(head.encode())
        await writer.drain()

    async def main() -> None:
        async with running_sidecar(
            tmp_path, limited, kind="service", max_running=50
        ) as harness:
            await read_frames(harness.dispatch(request_id="first"))
            sent = [
                asyncio.create_task(read_frames(harness.dispatch(request_id=f"r{n}")))
                for n in range(40)
            ]
            await asyncio.sleep(2.0)
            # The first request, and two seconds at the limit; one more for timing.
            assert 6 <= len(harness.upstream.requests) <= 1 + 5 * 2.0 + 1
            for task in sent:
                task.cancel()
            await asyncio.gather(*sent, return_exceptions=True)

    run(main())


def test_a_sidecar_sends_nothing_while_its_upstream_asks_for_backoff(
    tmp_path: pathlib.Path,
) -> None:
    arrivals: list[float] = []

    async def refuse_busy(_req: Request, writer: Writer) -> None:
        arrivals.append(asyncio.get_running_loop().time())
        head = "HTTP/1.1 503 Busy\r\nretry-after: 0.8\r\ncontent-length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()

    async def main() -> None:
        async with running_sidecar(tmp_path, refuse_busy, kind="service") as harness:
            await read_frames(harness.dispatch(request_id="first"))
            late = await read_frames(
                harness.dispatch(request_id="late", deadline_s=0.5)
            )
            assert isinstance(late[0], Refused) and late[0].problem.not_run
            await read_frames(harness.dispatch(request_id="second"))
        first, second = arrivals
        assert second - first >= 0.8

    run(main())
