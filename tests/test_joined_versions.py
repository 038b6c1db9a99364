"""Streams that callers take up after all machines were killed; real processes.

Their events name the software version that wrote them, which shows an answer that was
joined from two versions.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import re
from collections import Counter
from dataclasses import dataclass

import pytest

from tests.builders_machines import (
    OK,
    START_BOUND_S,
    TOUCH_S,
    Machines,
    MachineUpstream,
    Received,
    call,
    running_machines,
)

STREAMS = 12
EVENTS, GAP_S = 60, 0.1
BEGUN_EVENTS = 5
"""Streams have so many events at least when they are broken off."""

TRY_AGAIN_S = 60.0
"""Callers follow ``Retry-After`` for so long, whatever the speed of the machine."""

RECORDED_S = 1.0
"""Time in which what began a stream is on the disks of other gateways."""

RESTORED_S = 8.0
"""Records that a replica restores from its disk expire within this time."""

TAKEN_UP_AFTER_S = (0.0, 1.0, 2.5, 5.0, RESTORED_S)
"""When callers take up their streams after the machines are back, within their time."""


@dataclass
class Stream:
    """What the caller of one stream has received of it."""

    number: int
    begun: Received
    reading: asyncio.Task[Received] | None = None

    @property
    def last(self) -> int:
        """The id of the last complete event."""
        return self.begun.body.count(b"\n\n")


async def begin(machines: Machines) -> list[Stream]:
    """Begin streams at all gateways; return once each has some events."""
    streams = [Stream(number, Received()) for number in range(STREAMS)]
    for stream in streams:
        front = machines.fronts[stream.number % machines.count]
        name = f"begun-{stream.number}"
        reading = call(front, "/streams/1", name, into=stream.begun)
        stream.reading = asyncio.create_task(reading)
    async with asyncio.timeout(START_BOUND_S):
        while min(stream.last for stream in streams) < BEGUN_EVENTS:
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(RECORDED_S)
    return streams


async def take_up(
    machines: Machines, streams: list[Stream], *, named: bool, turn: int
) -> list[Received]:
    """Take the streams up at other gateways; ``named`` says at which first request.

    Callers try again when they are told to.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + TRY_AGAIN_S

    async def go_on(stream: Stream) -> Received:
        headers = {"last_event_id": str(stream.last)}
        if named:
            headers["resumes"] = f"begun-{stream.number}"
        for tries in itertools.count(1):
            front = machines.fronts[(stream.number + turn + tries) % machines.count]
            name = f"again-{turn}-{stream.number}-{tries}"
            got = await call(front, "/streams/1", name, **headers)
            after_s = float(got.headers.get("retry-after", "inf"))
            if loop.time() + after_s >= until:
                break
            await asyncio.sleep(after_s)
        return got

    return await asyncio.gather(*(go_on(stream) for stream in streams))


async def start_again(machines: Machines) -> None:
    """Start all machines after they were killed."""
    machines.start()
    # They accept connections; nothing says that they know any upstream yet.
    async with asyncio.timeout(TOUCH_S * 4):
        for front in machines.fronts:
            while (await call(front, "/safe/1", "probe")).status == 0:
                await asyncio.sleep(0.02)


def joined(stream: Stream, answer: Received) -> set[str]:
    """Return the versions that wrote what the caller has of a stream."""
    return {*stream.begun.events[: stream.last], *answer.events}


async def all_take_ups(
    machines: Machines, streams: list[Stream], *, named: bool
) -> list[tuple[Stream, Received]]:
    """Take all streams up at several moments; return the answers."""
    loop = asyncio.get_running_loop()
    back_at = loop.time()

    async def at(turn: int, after_s: float) -> list[tuple[Stream, Received]]:
        await asyncio.sleep(max(0.0, back_at + after_s - loop.time()))
        answers = await take_up(machines, streams, named=named, turn=turn)
        return list(zip(streams, answers, strict=True))

    turns = [at(turn, after_s) for turn, after_s in enumerate(TAKEN_UP_AFTER_S)]
    return [pair for found in await asyncio.gather(*turns) for pair in found]


def ends(answers: list[tuple[Stream, Received]]) -> Counter[tuple[int, bool, str]]:
    """Count how the answers ended, to explain a failure."""
    found = [re.search(r'"code":"(\w+)"', got.body.decode()) for _, got in answers]
    codes = ["" if match is None else match[1] for match in found]
    pairs = zip(answers, codes, strict=True)
    return Counter((got.status, got.whole, code) for (_, got), code in pairs)


def share_that_goes_on(answers: list[tuple[Stream, Received]]) -> float:
    """Return the share of the streams of which callers get more events."""
    return sum(got.status == OK and bool(got.events) for _, got in answers) / len(
        answers
    )


def slow(upstreams: list[MachineUpstream]) -> None:
    """Let their streams last for some seconds."""
    for upstream in upstreams:
        upstream.events, upstream.gap_s = EVENTS, GAP_S


@pytest.mark.parametrize("named", [False, True], ids=["unnamed", "named"])
@pytest.mark.parametrize("old_serves_on", [False, True], ids=["old left", "two serve"])
def test_no_stream_is_joined_from_two_versions_after_all_were_killed(
    named: bool, old_serves_on: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that takes the one version it knows for the only one."""

    async def main() -> None:
        async with running_machines(tmp_path, "v1", "v1") as (machines, old):
            slow(old)
            streams = await begin(machines)
            new = MachineUpstream("u9", machines.ip(120), machines.controls, "v2")
            slow([new])
            await new.start()
            await asyncio.sleep(0.5)
            if not old_serves_on:
                for upstream in old:
                    upstream.silence()
                    assert await upstream.deregister(machines.controls[0]) == OK
            machines.kill()
            if not old_serves_on:
                for upstream in old:
                    await upstream.close()
            await start_again(machines)
            answers = await all_take_ups(machines, streams, named=named)
            await new.close()
            assert all(joined(stream, got) == {"v1"} for stream, got in answers)
            if named and old_serves_on:
                # Their origins are on disks.
                assert share_that_goes_on(answers[-STREAMS:]) == 1.0, ends(answers)
                assert share_that_goes_on(answers) > 0.5, ends(answers)

    asyncio.run(main())


@pytest.mark.parametrize("named", [False, True], ids=["unnamed", "named"])
def test_streams_of_a_single_version_go_on_after_all_were_killed(
    named: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against refusals of streams whose origin is certain."""

    async def main() -> None:
        async with running_machines(tmp_path, "v1", "v1") as (machines, upstreams):
            slow(upstreams)
            streams = await begin(machines)
            machines.kill()
            await start_again(machines)
            answers = await all_take_ups(machines, streams, named=named)
            assert all(joined(stream, got) == {"v1"} for stream, got in answers)
            assert share_that_goes_on(answers) == 1.0, ends(answers)

    asyncio.run(main())
