"""The sidecar in this process, with real sockets on both sides."""

from __future__ import annotations

import asyncio
import json
import pathlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

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
from tests import sidecar_bench
from tests.builders_sidecar import (
    Request,
    Writer,
    send_body,
    send_event,
    send_events,
    start_stream,
    tiny_upstream,
)
from tests.sidecar_bench import BOUND_S, Bench, events_of, frames_of, frames_until, run

EVENTS = [b'{"n":%d}' % n for n in range(5)]


@asynccontextmanager
async def bench(
    folder: pathlib.Path, answer: Any, **settings: Any
) -> AsyncIterator[Bench]:
    async with tiny_upstream(answer) as upstream:
        async with sidecar_bench.bench(folder, upstream.url, **settings) as made:
            made.upstream = upstream
            yield made


async def whole_stream(_req: Request, writer: Writer) -> None:
    await send_events(writer, EVENTS)


async def endless_stream(_req: Request, writer: Writer) -> None:
    await start_stream(writer)
    while True:
        await send_event(writer, b'{"n":0}')
        await asyncio.sleep(0.02)


async def stuck_stream(_req: Request, writer: Writer) -> None:
    await start_stream(writer)
    await send_event(writer, EVENTS[0])
    await asyncio.sleep(BOUND_S)


def test_a_dispatch_brings_the_whole_answer_in_order(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            frames = await frames_of(made.dispatch())
        assert isinstance(frames[0], Accepted)
        assert frames[0].status == 200
        assert events_of(frames) == EVENTS
        assert isinstance(frames[-1], End)
        assert frames[-1].offset == len(EVENTS)
        sent = made.upstream.requests[0]
        assert sent.headers["x-request-id"] == "req-1"
        assert b'"model":"model-a"' in sent.body
        assert b'"cache_salt"' in sent.body

    run(main())


def test_a_stream_that_stops_without_its_end_marker_has_failed(
    tmp_path: pathlib.Path,
) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        await send_events(writer, EVENTS, done=False)

    async def main() -> None:
        async with bench(tmp_path, answer) as made:
            frames = await frames_of(made.dispatch())
        assert isinstance(frames[-1], Failed)
        assert frames[-1].problem.code == "upstream_failed"
        assert frames[-1].problem.not_run is False

    run(main())


def test_a_dispatch_to_another_incarnation_is_refused(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            frames = await frames_of(made.dispatch(incarnation="earlier"))
        assert isinstance(frames[0], Refused)
        assert frames[0].problem.code == "wrong_incarnation"
        assert made.upstream.requests == []

    run(main())


def test_an_attempt_that_was_cancelled_before_it_came_never_starts(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            assert (await made.cancel()).not_run is True
            frames = await frames_of(made.dispatch())
        assert frames[0].problem.code == "tombstoned"
        assert made.upstream.requests == []

    run(main())


def test_a_cancelled_attempt_is_cancelled_at_the_upstream(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, endless_stream) as made:
            call = made.dispatch()
            await frames_until(call, 3)
            assert (await made.cancel()).not_run is False
            while not made.upstream.gone:
                await asyncio.sleep(0.01)

    run(main())


def test_a_call_that_may_not_be_repeated_is_not_stopped_half_way(
    tmp_path: pathlib.Path,
) -> None:
    asked = asyncio.Event()
    go = asyncio.Event()

    async def answer(_req: Request, writer: Writer) -> None:
        asked.set()
        await go.wait()
        await send_events(writer, EVENTS)

    async def main() -> None:
        async with bench(tmp_path, answer) as made:
            call = made.dispatch(repeatable=False)
            reading = asyncio.create_task(frames_of(call))
            await asked.wait()
            assert (await made.cancel()).not_run is False
            go.set()
            assert isinstance((await reading)[-1], End)
        assert made.upstream.gone == 0

    run(main())


def test_queued_work_is_taken_out_by_a_cancellation(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with bench(tmp_path, endless_stream, max_running=1) as made:
            first = made.dispatch(request_id="req-0")
            await frames_until(first, 1)
            queued = made.dispatch()
            await queued.read()
            assert (await made.cancel()).not_run is True
            frames = await frames_of(queued)
            assert frames[0].problem.not_run is True
            first.cancel()
            await made.cancel("req-0")
        assert len(made.upstream.requests) == 1

    run(main())


def test_a_full_queue_refuses_at_once_with_a_time_to_come_back(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        settings = {"max_running": 1, "max_queued": 0, "drain_s": 0.1}
        async with bench(tmp_path, endless_stream, **settings) as made:
            first = made.dispatch(request_id="req-0")
            await frames_until(first, 1)
            frames = await frames_of(made.dispatch())
            assert frames[0].problem.code == "queue_full"
            assert frames[0].problem.retry_after_s > 0
            again = await frames_of(made.dispatch())
            assert again[0].problem.code == "tombstoned"

    run(main())


def test_a_lost_reader_comes_back_at_its_offset(tmp_path: pathlib.Path) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        await start_stream(writer)
        for n in range(60):
            await send_event(writer, b'{"n":%d}' % n)
            await asyncio.sleep(0.01)
        await send_event(writer, b"[DONE]")
        writer.write(b"0\r\n\r\n")

    async def main() -> None:
        async with bench(tmp_path, answer) as made:
            call = made.dispatch()
            got = await frames_until(call, 10)
            call.cancel()
            refused = await frames_of(made.attach(10, "workspace-b"))
            assert refused[0].problem.code == "unknown_stream"
            frames = await frames_of(made.attach(5))
        assert got[:5] + events_of(frames) == [b'{"n":%d}' % n for n in range(60)]
        assert isinstance(frames[-1], End)
        assert len(made.upstream.requests) == 1

    run(main())


def test_a_stream_that_nobody_comes_back_for_is_cancelled_at_the_upstream(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, endless_stream, replay_s=0.5) as made:
            call = made.dispatch()
            await frames_until(call, 3)
            call.cancel()
            while not made.upstream.gone:
                await asyncio.sleep(0.01)

    run(main())


def test_a_draining_sidecar_refuses_new_work_and_finishes_what_runs(
    tmp_path: pathlib.Path,
) -> None:
    go = asyncio.Event()

    async def answer(_req: Request, writer: Writer) -> None:
        await go.wait()
        await send_events(writer, EVENTS)

    async def main() -> None:
        async with bench(tmp_path, answer) as made:
            reading = asyncio.create_task(frames_of(made.dispatch()))
            while not made.upstream.requests:
                await asyncio.sleep(0.01)
            closing = asyncio.create_task(made.sidecar.close())
            await asyncio.sleep(0)
            frames = await frames_of(made.dispatch(request_id="req-2"))
            assert frames[0].problem.code == "shutting_down"
            assert frames[0].problem.not_run is True
            go.set()
            assert isinstance((await reading)[-1], End)
            await closing

    run(main())


def test_a_bounded_drain_hands_streams_over(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with bench(tmp_path, endless_stream, drain_s=0.2) as made:
            call = made.dispatch()
            await frames_until(call, 1)
            reading = asyncio.create_task(frames_of(call))
            await made.sidecar.close()
            last = (await reading)[-1]
        assert isinstance(last, Failed)
        assert last.problem.code == "upstream_failed"

    run(main())


def test_a_silent_connection_is_given_up_while_the_upstream_answers(
    tmp_path: pathlib.Path,
) -> None:
    cases = {True: ("upstream_failed", False), False: ("outcome_unknown", None)}

    async def main() -> None:
        async with bench(tmp_path, stuck_stream, upstream_silence_s=0.3) as made:
            for repeatable, outcome in cases.items():
                req_id = f"req-{repeatable}"
                call = made.dispatch(request_id=req_id, repeatable=repeatable)
                last = (await frames_of(call))[-1]
                assert isinstance(last, Failed)
                assert (last.problem.code, last.problem.not_run) == outcome

    run(main())


def test_an_upstream_that_is_not_there_is_known_not_to_have_run(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            await made.upstream.close()
            frames = await frames_of(made.dispatch(repeatable=False))
        assert frames[0].problem.code == "upstream_unreachable"
        assert frames[0].problem.not_run is True

    run(main())


def test_what_a_service_answers_passes_through(tmp_path: pathlib.Path) -> None:
    async def answer(req: Request, writer: Writer) -> None:
        await send_body(writer, req.body * 2, "409 Conflict", "text/plain")

    async def main() -> None:
        async with bench(tmp_path, answer, kind="service") as made:
            call = made.dispatch(
                method="PUT",
                path="/bids/7?lot=1",
                body=b"\x00bid",
                headers=(("Content-Type", "application/x-bid"), ("TE", "trailers")),
                stream=False,
                repeatable=False,
            )
            frames = await frames_of(call)
        assert frames[0].status == 409
        assert ("content-type", "text/plain") in frames[0].headers
        assert b"".join(events_of(frames)) == b"\x00bid\x00bid"
        sent = made.upstream.requests[0]
        assert (sent.method, sent.target) == ("PUT", "/bids/7?lot=1")
        assert sent.headers["content-type"] == "application/x-bid"
        assert sent.headers["x-attempt"] == "1"
        assert "te" not in sent.headers

    run(main())


def test_a_resumed_stream_asks_for_the_rest_and_counts_on(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            body = b'{"messages":[{"role":"user","content":"hi"}],"max_tokens":9}'
            call = made.dispatch(body=body, emitted="so far", first_offset=4)
            frames = await frames_of(call)
        assert frames[0].offset == 4
        assert frames[1].offset == 4
        assert frames[-1].offset == 4 + len(EVENTS)
        sent = json.loads(made.upstream.requests[0].body)
        assert sent["messages"][-1] == {"role": "assistant", "content": "so far"}
        assert sent["continue_final_message"] is True
        assert sent["add_generation_prompt"] is False
        assert sent["max_tokens"] == 5

    run(main())


def test_a_newer_configuration_is_taken_and_handed_out(tmp_path: pathlib.Path) -> None:
    config = Config(revision=7, leaving=frozenset({"upstream-1"}))

    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            for pushed in (config, Config(revision=6)):
                ack = await made.channel.call(PUSH_CONFIG, PushConfig(pushed))
                assert ack == ConfigAck(7)
            read = await made.channel.call(READ_CONFIG, ReadConfig(6))
            assert read == ConfigAck(7, config)
            assert await made.channel.call(READ_CONFIG, ReadConfig(7)) == ConfigAck(7)
            frames = await frames_of(made.dispatch())
            assert frames[0].problem.code == "upstream_leaving"
            assert frames[0].cfg_revision == 7
            record = own_record(made)
            assert record is not None and record.leaving

    run(main())


def test_leaving_refuses_what_waits_and_finishes_what_runs(
    tmp_path: pathlib.Path,
) -> None:
    config = Config(revision=7, leaving=frozenset({"upstream-1"}))

    async def main() -> None:
        async with bench(tmp_path, endless_stream, max_running=1) as made:
            running = made.dispatch()
            await frames_until(running, 1)
            waiting = made.dispatch(request_id="req-2")
            while made.sidecar.dispatcher.load().queued == 0:
                await asyncio.sleep(0.01)
            await made.channel.call(PUSH_CONFIG, PushConfig(config))
            frames = await frames_of(waiting)
            assert isinstance(frames[-1], Refused)
            assert frames[-1].problem.code == "upstream_leaving"
            assert frames[-1].problem.not_run is True
            assert len(await frames_until(running, 5)) >= 5
            assert len(made.upstream.requests) == 1
            await made.cancel()

    run(main())


def own_record(made: Bench) -> UpstreamRecord | None:
    """What the sidecar announces of its upstream."""
    now = asyncio.get_running_loop().time()
    return made.sidecar.directory.get("upstream-1", now)


def test_a_new_incarnation_of_the_upstream_ends_what_ran_on_the_old_one(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        silence = {"upstream_silence_s": 2 * BOUND_S}
        async with bench(tmp_path, stuck_stream, **silence) as made:
            made.upstream.health = {"ready": True, "incarnation": "incarnation-1"}
            while made.sidecar.upstream_state.incarnation != "incarnation-1":
                await asyncio.sleep(0.01)
            call = made.dispatch()
            await frames_until(call, 1)
            await asyncio.sleep(0.6)
            made.upstream.health = {"ready": True, "incarnation": "incarnation-2"}
            last = (await frames_of(call))[-1]
            assert isinstance(last, Failed)
            assert last.problem.code == "upstream_failed"
            record = own_record(made)
            assert record is not None and record.upstream_incarnation == "incarnation-2"

    run(main())


def test_the_cache_salt_keeps_workspaces_and_weights_apart(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            for weights in ("v1", "v2"):
                made.upstream.health = {"ready": True, "weights_version": weights}
                while made.sidecar.upstream_state.weights_version != weights:
                    await asyncio.sleep(0.01)
                for workspace in ("workspace-a", "workspace-b", "workspace-a"):
                    count = len(made.upstream.requests)
                    await frames_of(
                        made.dispatch(request_id=f"req-{count}", workspace=workspace)
                    )
        salts = [json.loads(r.body)["cache_salt"] for r in made.upstream.requests]
        assert salts[0] == salts[2] and salts[3] == salts[5]
        assert len(set(salts)) == 4

    run(main())


def test_an_upstream_that_does_not_answer_is_announced_as_not_ready(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with bench(tmp_path, whole_stream) as made:
            await asyncio.sleep(0)
            record = own_record(made)
            assert record is not None and record.ready and not record.leaving
            await made.upstream.close()
            while record is not None and record.ready:
                await asyncio.sleep(0.01)
                record = own_record(made)
            assert record is not None

    run(main())


def test_an_upstream_that_names_a_limit_gets_no_more_through_its_sidecar(
    tmp_path: pathlib.Path,
) -> None:
    async def limited(_req: Request, writer: Writer) -> None:
        head = "HTTP/1.1 200 OK\r\nx-limit-per-s: 5\r\ncontent-length: 2\r\n\r\nok"
        writer.write(head.encode())
        await writer.drain()

    async def main() -> None:
        async with bench(tmp_path, limited, kind="service", max_running=50) as made:
            await frames_of(made.dispatch(request_id="first"))
            sent = [
                asyncio.create_task(frames_of(made.dispatch(request_id=f"r{n}")))
                for n in range(40)
            ]
            await asyncio.sleep(2.0)
            # The first one, and those of two seconds.
            assert 6 <= len(made.upstream.requests) <= 1 + 5 * 2.0 + 1
            for task in sent:
                task.cancel()
            await asyncio.gather(*sent, return_exceptions=True)

    run(main())


def test_a_sidecar_sends_nothing_while_its_upstream_asks_to_back_off(
    tmp_path: pathlib.Path,
) -> None:
    arrivals: list[float] = []

    async def turn_away(_req: Request, writer: Writer) -> None:
        arrivals.append(asyncio.get_running_loop().time())
        head = "HTTP/1.1 503 Busy\r\nretry-after: 0.8\r\ncontent-length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()

    async def main() -> None:
        async with bench(tmp_path, turn_away, kind="service") as made:
            await frames_of(made.dispatch(request_id="first"))
            late = await frames_of(made.dispatch(request_id="late", deadline_s=0.5))
            assert isinstance(late[0], Refused) and late[0].problem.not_run
            await frames_of(made.dispatch(request_id="second"))
        first, second = arrivals
        assert second - first >= 0.8

    run(main())
