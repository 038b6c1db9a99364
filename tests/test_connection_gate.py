"""A gateway that gets most new connections closes those that it can't serve, unread."""

from __future__ import annotations

import asyncio
import resource
import time
from contextlib import AsyncExitStack

import pytest

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.process.http import connection_gate, free_memory
from gooseberrydale.process.http.connection_gate import (
    DESCRIPTOR_FRACTION,
    LATE_S,
    OVERLOADED_AFTER_S,
    ConnectionGate,
    LoopDelay,
)
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    route,
    running_gateway,
)
from tests.builders_logs import logged
from tests.builders_mesh import until
from tests.clock import run_paused
from tests.sidecar_harness import run

MAX_FDS = 100
PLACES = int(MAX_FDS * DESCRIPTOR_FRACTION)


async def answer(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


async def connect(gateway: Gateway, stack: AsyncExitStack) -> asyncio.StreamReader:
    """Open a connection that stays idle."""
    host, _, port = gateway.addresses["http"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    stack.callback(writer.close)
    return reader


async def is_refused(gateway: Gateway) -> bool:
    """Whether a request on a new connection is reset before it is read."""
    try:
        return (await call(gateway)).status != 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return True


def test_connections_beyond_the_descriptors_are_closed_unread() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        async with AsyncExitStack() as stack:
            gateway = await stack.enter_async_context(
                running_gateway(declared(route()), upstream, max_fds=MAX_FDS)
            )
            idle = [await connect(gateway, stack) for _ in range(PLACES)]
            await until(lambda: gateway._gate.open == PLACES)
            assert await is_refused(gateway)
            assert not upstream.requests
            assert not any(reader.at_eof() for reader in idle)

    run(main())


def test_a_connection_that_ends_gives_its_place_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The event loop of a busy machine is late.
    monkeypatch.setattr(connection_gate, "LATE_S", 60.0)

    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        with logged("connections_refused") as lines:
            async with running_gateway(
                declared(route()), upstream, max_fds=MAX_FDS, observes_delay=True
            ) as gateway:
                async with AsyncExitStack() as stack:
                    for _ in range(PLACES + 5):
                        await connect(gateway, stack)
                    await until(lambda: gateway._gate.open == PLACES)
                    assert await is_refused(gateway)
                await until(lambda: gateway._gate.open == 0)
                assert (await call(gateway)).status == 200
                await until(lambda: bool(lines))
        assert [line["reason"] for line in lines] == ["descriptors"]
        assert lines[0]["refused"] == 6

    run(main())


def test_no_connection_is_taken_while_the_event_loop_falls_behind() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        async with running_gateway(
            declared(route()), upstream, observes_delay=True
        ) as gateway:

            async def keep_busy() -> None:
                while True:
                    time.sleep(2 * LATE_S)  # noqa: ASYNC251
                    await asyncio.sleep(0)

            assert (await call(gateway)).status == 200
            busy = asyncio.create_task(keep_busy())
            await asyncio.sleep(2 * OVERLOADED_AFTER_S)
            assert await is_refused(gateway)
            busy.cancel()
            await until(lambda: not gateway._gate._delay.is_overloaded)
            assert (await call(gateway)).status == 200
        assert len(upstream.requests) == 2

    run(main())


def test_no_connection_is_taken_while_requests_fill_a_thin_link() -> None:
    """Prompts of 18 KB on a link of 10 Mbit/s, at 80 and 20 per second."""

    async def main() -> None:
        gate = ConnectionGate(link_mbps=10.0)
        for _ in range(80):
            gate.received(18_000)
            await asyncio.sleep(1 / 80)
        assert not gate.opened()
        for _ in range(30):
            gate.received(18_000)
            await asyncio.sleep(1 / 20)
        assert gate.opened()

    run_paused(main())


def test_a_link_of_unknown_rate_takes_all_connections() -> None:
    async def main() -> None:
        gate = ConnectionGate()
        gate.received(10**9)
        assert gate.opened()

    run_paused(main())


def test_without_a_limit_of_descriptors_all_connections_are_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda _: unlimited)

    async def main() -> None:
        gate = ConnectionGate()
        assert all(gate.opened() for _ in range(5_000))

    run_paused(main())


def test_a_single_long_callback_is_no_overload() -> None:
    delay = LoopDelay()
    delay.ticked(1.0, 1.0 + 2 * OVERLOADED_AFTER_S)
    assert not delay.is_overloaded
    delay.ticked(2.0, 2.0)
    delay.ticked(3.0, 3.0 + 2 * LATE_S)
    assert not delay.is_overloaded
    delay.ticked(4.0, 4.0 + 2 * LATE_S)
    assert delay.is_overloaded
    delay.ticked(5.0, 5.0)
    assert not delay.is_overloaded


@pytest.mark.parametrize("used_mb, taken", [(40.0, True), (90.0, False)])
def test_no_connection_is_taken_while_memory_is_short(
    used_mb: float, taken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    used = [30.0]
    monkeypatch.setattr(
        connection_gate, "private_bytes", lambda: int(used[0] * 1024 * 1024)
    )

    async def main() -> None:
        gate = ConnectionGate(memory_mb=100.0)
        await gate.start()
        used[0] = used_mb
        await asyncio.sleep(1.0)
        assert gate.opened() is taken
        await gate.close()

    run_paused(main())


def test_free_memory_is_returned_before_connections_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a listener that stays closed after a crowd has gone."""
    used = [30.0]

    def trim() -> None:
        used[0] = 40.0

    monkeypatch.setattr(free_memory, "return_free_memory", trim)
    monkeypatch.setattr(
        connection_gate, "private_bytes", lambda: int(used[0] * 1024 * 1024)
    )

    async def main() -> None:
        gate = ConnectionGate(memory_mb=100.0)
        await gate.start()
        used[0] = 90.0
        await asyncio.sleep(1.0)
        assert gate.opened()
        await gate.close()

    run_paused(main())


def test_what_the_process_has_freed_is_returned_to_the_system() -> None:
    blocks = [bytes(60_000) for _ in range(2_000)]
    kept = blocks[-1]
    before = connection_gate.private_bytes()
    del blocks
    free_memory.return_free_memory()
    assert connection_gate.private_bytes() < before - 60_000_000
    assert len(kept) == 60_000


def test_a_process_that_starts_with_all_its_memory_used_still_takes_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_gate, "private_bytes", lambda: 99 * 1024 * 1024)

    async def main() -> None:
        gate = ConnectionGate(memory_mb=100.0)
        await gate.start()
        await asyncio.sleep(1.0)
        assert gate.opened()
        await gate.close()

    run_paused(main())
