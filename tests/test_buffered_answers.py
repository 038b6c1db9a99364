"""What a gateway holds of answers that it has not begun to forward."""

from __future__ import annotations

import asyncio

from gooseberrydale.process.gateway.buffered_answers import (
    MAX_ANSWER_BYTES,
    BufferedAnswers,
)
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    call,
    declared,
    route,
    running_gateway,
)
from tests.sidecar_harness import run

ANSWERS = 6
BODY = b"x" * 100_000
FEW_BYTES = 250_000
"""Room for two of the answers."""


def test_answers_are_held_as_long_as_there_is_room_for_them() -> None:
    account = BufferedAnswers(max_bytes=10)
    first, second = account.begin(), account.begin()
    assert first.add(b"123456")
    assert not second.add(b"123456")
    assert (second.take_all(), account.held) == (b"123456", 6)
    first.close()
    assert account.held == 0
    assert second.add(b"1234567890")


def test_a_large_answer_is_held_no_longer() -> None:
    answer = BufferedAnswers().begin()
    assert answer.add(b"x" * MAX_ANSWER_BYTES)
    assert not answer.add(b"x")


def test_answers_that_arrive_at_once_are_held_up_to_a_bound() -> None:
    """Guards against answers of one moment that fill the memory of a process."""
    is_sent = asyncio.Event()

    async def slow(req: dict[str, str], _body: bytes, writer: Writer) -> None:
        writer.write(
            f"HTTP/1.1 200 OK\r\nid: {req['id']}\r\nsigned: 1\r\n"
            f"content-length: {len(BODY)}\r\n\r\n".encode()
        )
        writer.write(BODY[:-1])
        await writer.drain()
        await is_sent.wait()
        writer.write(BODY[-1:])

    async def main() -> None:
        upstream = RawUpstream("u1", slow)
        safe = route(repeatable=True, timeout_s=5.0)
        async with running_gateway(declared(safe), upstream) as gateway:
            account = gateway._app._deps.sends.buffered
            account._max_bytes = FEW_BYTES
            calls = [
                asyncio.create_task(call(gateway, request_id=f"r{number}"))
                for number in range(ANSWERS)
            ]
            while len(upstream.requests) < ANSWERS:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            assert 0 < account.held <= FEW_BYTES
            is_sent.set()
            answers = await asyncio.gather(*calls)
            assert [(got.status, got.body) for got in answers] == [
                (200, BODY)
            ] * ANSWERS
            assert account.held == 0

    run(main())
