"""Crowds at the listeners of a gateway, of control and of a signpost."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import uuid
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from soak.competition import HOST, NOT_RUN
from tests.builders_crowd import BODIES, MIB, UNUSUAL_BODIES
from tests.builders_crowd_fleet import CrowdEnvironment, Listener, cases, check_crowd
from tests.callers import BackgroundLoop

FEW = ("bodies over the limit", "requests ahead", "requests with bodies ahead")
HEADS = "heads without their end"

SENDERS = 60
PAUSE_S = 1.0
ANSWER_S = 10.0


@dataclass(frozen=True, slots=True)
class Sent:
    """One request and the status of its answer, 0 if none arrived."""

    request_id: str
    status: int


CASES = [
    *(
        ("gateway", form)
        for form in (*BODIES, *UNUSUAL_BODIES, "requests ahead", HEADS)
    ),
    ("gateway", "trailers without their end"),
    ("gateway", "offers of upgrades ahead"),
    ("gateway", "unread answers"),
    ("gateway", "nothing at all"),
    ("gateway's long answers", "unread answers"),
    ("gateway without a key", "whole bodies"),
    ("gateway without a key", "requests ahead"),
    *(("control", form) for form in (*BODIES, "requests ahead", HEADS)),
    ("control", "nothing at all"),
    ("control's reads", "requests ahead"),
    ("control's reads", "unread answers"),
    ("heartbeats", "bodies without their last byte"),
    ("departures", "distinct requests ahead"),
    *(("signpost", form) for form in FEW),
    *(("readiness", form) for form in FEW),
    ("metrics", "requests ahead"),
    ("metrics", "unread answers"),
]
BY_HAND_CASES = [
    *(("control", form) for form in UNUSUAL_BODIES),
    ("readiness", "nothing at all"),
]


@pytest.fixture(scope="module")
def environment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[CrowdEnvironment]:
    load = BackgroundLoop()
    environment = CrowdEnvironment(tmp_path_factory.mktemp("crowds"), load)
    try:
        environment.start()
        yield environment
    finally:
        environment.close()
        load.close()


@pytest.mark.parametrize(("listener", "form"), cases(CASES, BY_HAND_CASES))
def test_crowd_leaves_the_process_and_ordinary_callers_alone(
    environment: CrowdEnvironment, listener: str, form: str
) -> None:
    """Guards against clients that fill the memory of a process."""
    found = environment.listener(listener)
    crowd = found.make_crowd(form)
    check_crowd(environment.processes, environment.load, found, crowd)


async def send_once(address: str, listener: Listener, *, pauses: bool) -> Sent:
    """Send a request that must not run twice; with ``pauses`` stop before its end."""
    request_id = uuid.uuid4().hex
    headers = {**listener.headers, "host": HOST, "x-request-id": request_id}
    lines = [f"POST /confirm/{request_id} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join((*lines, f"content-length: {MIB}", "", "")).encode()
    host, _, port = address.rpartition(":")
    status = 0
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head + b" " * (MIB - 1))
            if pauses:
                await asyncio.sleep(PAUSE_S)
            writer.write(b" ")
            async with asyncio.timeout(ANSWER_S):
                status = int((await reader.readline()).split()[1])
        finally:
            writer.close()
    return Sent(request_id, status)


def test_what_is_refused_as_not_run_has_not_run(tmp_path: pathlib.Path) -> None:
    """Guards against refusals of requests that an upstream gets all the same."""
    load = BackgroundLoop()
    settings = f"max_held_bytes = {8 * MIB}\n"
    environment = CrowdEnvironment(tmp_path, load, settings=settings)

    async def main() -> list[Sent]:
        listener = environment.listener("gateway")
        sends = (
            send_once(listener.address, listener, pauses=bool(number % 2))
            for number in range(SENDERS)
        )
        sent = await asyncio.gather(*sends)
        await asyncio.sleep(PAUSE_S)
        return list(sent)

    try:
        environment.start()
        sent = load.run(main())
        runs = Counter(run for item in environment.upstreams for run in item.runs)
        print(sorted(Counter(item.status for item in sent).items()))
        refused = {item.request_id for item in sent if item.status in NOT_RUN}
        assert refused, "nothing was refused"
        assert not refused & set(runs)
        assert [item for item in sent if runs[item.request_id] > 1] == []
        answered = [item for item in sent if item.status == 200]
        assert all(runs[item.request_id] == 1 for item in answered)
    finally:
        environment.close()
        load.close()


def test_idle_connections_make_room_for_ordinary_callers(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against clients that use up the descriptors of a process."""
    load = BackgroundLoop()
    environment = CrowdEnvironment(tmp_path, load, max_fds=1_000)
    try:
        environment.start()
        listener = environment.listener("gateway")
        crowd = listener.make_crowd("nothing at all")
        check_crowd(environment.processes, load, listener, crowd, 800)
    finally:
        environment.close()
        load.close()
