"""The sidecar in this process, with real sockets on both sides."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import grpc.aio

from gooseberrydale.connection.messages import (
    Accepted,
    AttachReq,
    CancelReply,
    CancelReq,
    Chunk,
    End,
    Failed,
    Heartbeat,
    Refused,
)
from gooseberrydale.connection.rpc import ATTACH, CANCEL, DISPATCH, RpcChannel
from gooseberrydale.process.sidecar import Sidecar
from tests.builders_sidecar import (
    TOKEN,
    Request,
    TinyUpstream,
    Writer,
    dispatch_req,
    send_event,
    send_events,
    sidecar_cfg,
    start_stream,
    tiny_upstream,
)

BOUND_S = 20.0
EVENTS = [b'{"n":%d}' % n for n in range(5)]


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test's body within a generous bound."""

    async def bounded() -> None:
        async with asyncio.timeout(BOUND_S):
            await main

    asyncio.run(bounded())


class Bench:
    """A sidecar before a tiny upstream, and a channel to it."""

    def __init__(self, upstream: TinyUpstream, sidecar: Sidecar) -> None:
        self.upstream = upstream
        self.sidecar = sidecar
        self.channel = RpcChannel(sidecar.addresses["rpc"], TOKEN)

    def dispatch(self, **fields: Any) -> Any:
        incarnation = fields.pop("incarnation", self.sidecar.incarnation)
        return self.channel.call(DISPATCH, dispatch_req(incarnation, **fields))

    def attach(self, offset: int, workspace: str = "workspace-a") -> Any:
        req = AttachReq("req-1", self.sidecar.incarnation, workspace, offset)
        return self.channel.call(ATTACH, req)

    async def cancel(self, attempt: int = 1) -> CancelReply:
        req = CancelReq("req-1", attempt, self.sidecar.incarnation, "workspace-a")
        reply = await self.channel.call(CANCEL, req)
        assert isinstance(reply, CancelReply)
        return reply


@asynccontextmanager
async def bench(
    folder: pathlib.Path, answer: Any, **settings: Any
) -> AsyncIterator[Bench]:
    async with tiny_upstream(answer) as upstream:
        sidecar = Sidecar(sidecar_cfg(folder, upstream.url, **settings))
        await sidecar.start()
        made = Bench(upstream, sidecar)
        try:
            yield made
        finally:
            await made.channel.close()
            await sidecar.close()


async def frames_of(call: Any) -> list[Any]:
    """All frames to come but heartbeats."""
    frames = []
    while (frame := await call.read()) is not grpc.aio.EOF:
        if not isinstance(frame, Heartbeat):
            frames.append(frame)
    return frames


async def frames_until(call: Any, count: int) -> list[bytes]:
    """The first ``count`` events."""
    events: list[bytes] = []
    while len(events) < count:
        frame = await call.read()
        if isinstance(frame, Chunk):
            events.extend(frame.events)
    return events


def events_of(frames: list[Any]) -> list[bytes]:
    return [e for frame in frames if isinstance(frame, Chunk) for e in frame.events]


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
            await made.channel.call(
                CANCEL,
                CancelReq("req-0", 1, made.sidecar.incarnation, "workspace-a"),
            )
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
            frames = await frames_of(made.attach(len(got)))
        assert got + events_of(frames) == [b'{"n":%d}' % n for n in range(60)]
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
