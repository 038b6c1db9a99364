"""Answers of upstreams that never end, in each part that can be endless."""

from __future__ import annotations

import asyncio
import random
import tracemalloc
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.http_call import pooled_call
from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.http_pool import HttpPool
from gooseberrydale.connection.reply_limits import (
    CHUNK_OVERHEAD_BYTES,
    MAX_REPORT_BYTES,
    PROCESS_MEMORY,
    ReplyMemory,
    read_reply,
)
from gooseberrydale.connection.response_bounds import (
    FORWARDED,
    FRAMING_BYTES_PER_BODY_BYTE,
    MAX_FRAMING_BYTES,
    responses_too_long,
)
from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.process.metrics import Metrics
from tests.builders_endless import (
    CHUNKED,
    ENDLESS_BODY,
    ENDLESS_FRAMING,
    HEAD,
    EndlessServer,
    cut,
    endless,
)

READ_BYTES = 256 * 1024
"""Most bytes that the event loop reads at once."""


class FakeTransport(asyncio.Transport):
    """A transport that only records whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0


def connected() -> tuple[HttpConn, FakeTransport]:
    """Return a connection that has sent a request, and its transport."""
    conn, transport = HttpConn(), FakeTransport()
    conn._transport = transport
    conn.send(b"GET /r HTTP/1.1\r\n\r\n", b"")
    return conn, transport


@pytest.mark.parametrize("part", ENDLESS_FRAMING)
@pytest.mark.parametrize("seed", range(4))
def test_a_connection_is_reset_once_a_part_without_body_exceeds_its_bound(
    part: str, seed: int
) -> None:
    """Guards against parts that the parser takes without an event and that nothing
    counts: they held the process until the request timed out."""

    async def main() -> None:
        rng = random.Random(f"{part} {seed}")
        section = rng.choice([1, 7, 100, 4_096, READ_BYTES])
        conn, transport = connected()
        received = 0
        begin, repeated = ENDLESS_FRAMING[part]
        for data in endless(begin, repeated, section):
            for piece in cut(data, rng, max(section, len(repeated))):
                conn.data_received(piece)
                received += len(piece)
                if transport.aborted:
                    break
            if transport.aborted:
                break
            assert received < MAX_FRAMING_BYTES + 2 * READ_BYTES
        with pytest.raises(UpstreamError) as caught:
            while True:
                await conn._next()
        # The request may have run.
        assert caught.value.sent
        assert not conn.reusable(0.0)

    asyncio.run(main())


def test_a_long_head_that_is_read_at_once_is_refused() -> None:
    """Guards against heads that end within the read that exceeds their bound."""

    async def main() -> None:
        conn, transport = connected()
        line = b"x: " + b"y" * 1_000 + b"\r\n"
        conn.data_received(HEAD + line * 100 + b"content-length: 0\r\n\r\n")
        assert transport.aborted

    asyncio.run(main())


def test_an_endless_trailer_after_a_large_body_is_bounded_by_itself() -> None:
    """Guards against a bound that only grows with the body."""

    async def main() -> None:
        conn, transport = connected()
        conn.data_received(CHUNKED)
        body = b"x" * 65_536
        for _ in range(200):
            conn.data_received(b"10000\r\n" + body + b"\r\n")
        conn.data_received(b"0\r\nx: ")
        received = 0
        while not transport.aborted:
            conn.data_received(b"y" * 16_384)
            received += 16_384
            assert received <= MAX_FRAMING_BYTES + READ_BYTES

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(8))
def test_sound_answers_pass_however_they_are_cut(seed: int) -> None:
    """Guards against bounds that refuse small chunks, or long streams of them."""

    async def main() -> None:
        rng = random.Random(seed)
        conn, transport = connected()
        chunks = [rng.randbytes(rng.choice([1, 2, 60])) for _ in range(60_000)]
        data = (
            b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" * 3
            + CHUNKED
            + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
            + b"0\r\nchecksum: 1234\r\n\r\n"
        )
        for piece in cut(data, rng, rng.choice([500, READ_BYTES])):
            conn.data_received(piece)
        assert not transport.aborted
        await conn.head(lambda _: True)
        body = [part async for part in conn.body()]
        assert b"".join(body) == b"word" + b"".join(chunks)

    asyncio.run(main())


@pytest.mark.parametrize("broken", [b"no size\r\n", b"0" * 3 * MAX_FRAMING_BYTES])
def test_what_arrived_before_the_broken_part_is_delivered(broken: bytes) -> None:
    """Guards against events that are lost with the connection that brought them."""

    async def main() -> None:
        conn, transport = connected()
        conn.data_received(CHUNKED + b"5\r\nwords\r\n" + broken)
        assert transport.aborted
        await conn.head(lambda _: True)
        body: list[bytes] = []
        with pytest.raises(UpstreamError):
            async for part in conn.body():
                body.append(part)
        assert b"".join(body) == b"wordwords"

    asyncio.run(main())


def test_tiny_chunks_with_long_extensions_are_bounded() -> None:
    """Guards against framing without end that a few bytes of body are mixed into."""

    async def main() -> None:
        conn, transport = connected()
        conn.data_received(CHUNKED)
        chunk = b"1;" + b"e" * 4 * FRAMING_BYTES_PER_BODY_BYTE + b"\r\nx\r\n"
        received = 0
        while not transport.aborted:
            conn.data_received(chunk * 50)
            received += 50 * len(chunk)
            assert received < 4 * MAX_FRAMING_BYTES

    asyncio.run(main())


PARTS = ENDLESS_FRAMING | ENDLESS_BODY
# To a call that takes any response, it is a complete one.
del PARTS["answers to others"]
CALL_BOUND_S = 1.0
"""Far less than the time limit of the calls: the bytes decide."""


async def pooled(address: str) -> None:
    await pooled_call(
        HttpPool(), address, "GET", "/r", max_bytes=MAX_REPORT_BYTES, timeout_s=20.0
    )


async def single(address: str) -> None:
    await upstream_api.call(
        f"http://{address}", "GET", "/r", max_bytes=MAX_REPORT_BYTES, timeout_s=20.0
    )


# To a client that reads no trailers, the response with these is complete.
CALLS = [
    (part, call)
    for part in PARTS
    for call in (pooled, single)
    if (part, call) != ("trailer lines", single)
]


@pytest.mark.parametrize("measures_memory", [True, False])
@pytest.mark.parametrize(("part", "call"), CALLS)
def test_a_call_ends_once_an_endless_answer_exceeds_its_bound(
    part: str, call: Callable[[str], Awaitable[None]], measures_memory: bool
) -> None:
    """Guards against reports that fill the memory of the process that asks for them."""

    async def main() -> None:
        servers = [await EndlessServer(*PARTS[part]).start() for _ in range(4)]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if measures_memory:
            tracemalloc.start()
        results = await asyncio.gather(
            *(call(server.address) for server in servers), return_exceptions=True
        )
        if measures_memory:
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            # Four bodies, what was read beyond them, and what the servers wrote.
            assert peak < 4 * (MAX_REPORT_BYTES + 2 * READ_BYTES) + 2 * 1024 * 1024
        else:
            assert loop.time() - started_at < CALL_BOUND_S
        assert [type(result) for result in results] == [UpstreamError] * 4
        assert all(isinstance(r, UpstreamError) and r.sent for r in results)
        assert PROCESS_MEMORY.held == 0
        for server in servers:
            await server.close()

    asyncio.run(main())


def test_all_calls_of_a_process_hold_a_bounded_amount() -> None:
    """Guards against many calls that each stay within their own bound."""

    async def main() -> None:
        memory = ReplyMemory(100 * (1 + CHUNK_OVERHEAD_BYTES))
        peak = 0

        async def body(size: int) -> AsyncIterator[bytes]:
            nonlocal peak
            for _ in range(size):
                await asyncio.sleep(0)
                peak = max(peak, memory.held)
                yield b"x"

        each = 30 * (1 + CHUNK_OVERHEAD_BYTES)
        reads = [read_reply("GET /r", body(30), each, memory) for _ in range(10)]
        results = await asyncio.gather(*reads, return_exceptions=True)
        assert peak <= memory.limit and memory.held == 0
        whole = [result for result in results if result == b"x" * 30]
        assert 0 < len(whole) < 10
        assert await read_reply("GET /r", body(30), each, memory) == b"x" * 30

    asyncio.run(main())


def test_responses_that_are_too_long_are_counted_by_call() -> None:
    """Guards against a label for each target that a caller asks for."""

    async def main() -> None:
        metrics = Metrics("gateway", "g1")
        before = dict(responses_too_long())
        begin, repeated = ENDLESS_FRAMING["header value"]
        conn, transport = connected()
        while not transport.aborted:
            conn.data_received(begin + repeated * READ_BYTES)
        conn, transport = HttpConn(), FakeTransport()
        conn._transport = transport
        conn.send(b"GET /v1/kv-events?since=7 HTTP/1.1\r\n\r\n", b"", 100)
        while not transport.aborted:
            conn.data_received(begin + repeated * READ_BYTES)
        grown = Counter(responses_too_long()) - Counter(before)
        assert grown == {FORWARDED: 1, "GET /v1/kv-events": 1}
        text = metrics.render().decode()
        assert 'gooseberrydale_responses_too_long_total{call="forwarded"}' in text

    asyncio.run(main())


def test_a_sidecar_counts_targets_without_number_together() -> None:
    """Guards against a label for each request of a caller or each stored block."""

    async def main() -> None:
        before = dict(responses_too_long())
        server = await EndlessServer(*ENDLESS_FRAMING["header lines"]).start()
        url = f"http://{server.address}"
        for number in range(3):
            forwarded = UpstreamCall(url)
            with pytest.raises(UpstreamError):
                await forwarded.open("POST", f"/services/bids/{number}", (), b"{}")
            await forwarded.close()
            for kind in ("GET /kv", ""):
                target = f"/kv/root/{number}" if kind else f"/state?since={number}"
                with pytest.raises(UpstreamError):
                    await upstream_api.call(
                        url, "GET", target, max_bytes=MAX_REPORT_BYTES, kind=kind
                    )
        await server.close()
        grown = Counter(responses_too_long()) - Counter(before)
        assert grown == {FORWARDED: 3, "GET /kv": 3, "GET /state": 3}

    asyncio.run(main())
