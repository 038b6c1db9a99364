"""Calls to an upstream, checked by what a raw server receives on its socket."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest
from aiosonic.client import HTTPClient
from aiosonic.exceptions import ConnectionDisconnected

from gooseberrydale.connection.upstream_http import UpstreamCall, UpstreamError
from tests.builders_gateway import reset
from tests.builders_sidecar import Request, Writer, send_body, tiny_upstream
from tests.builders_streams import reset_after_end

BOUND_S = 10.0
METHODS = ("GET", "PUT", "DELETE", "POST")


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run the body of a test; fail after ``BOUND_S`` seconds."""
    asyncio.run(asyncio.wait_for(main, BOUND_S))


async def drop_all_but_warm_up(req: Request, writer: Writer) -> None:
    """Answer ``/warm-up``; drop the connection on every other request."""
    if req.target == "/warm-up":
        await send_body(writer, b"warm")
    else:
        writer.close()


async def read_all(call: UpstreamCall) -> bytes:
    return b"".join([data async for data in call.chunks()])


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
def test_the_library_resends_on_a_reused_connection_by_default(method: str) -> None:
    """UpstreamCall prevents this resend; if this fails, the library has changed."""

    async def main() -> None:
        async with tiny_upstream(drop_all_but_warm_up) as upstream:
            async with HTTPClient() as client:
                await client.get(upstream.url + "/warm-up")
                with pytest.raises(ConnectionDisconnected):
                    await client.request(upstream.url + "/bid", method)
        assert len([r for r in upstream.requests if r.target == "/bid"]) > 1

    run(main())


@pytest.mark.parametrize("method", METHODS)
def test_a_call_is_sent_once_however_it_fails(method: str) -> None:
    async def main() -> None:
        async with tiny_upstream(drop_all_but_warm_up) as upstream:
            warm = UpstreamCall(upstream.url)
            await warm.open("GET", "/warm-up")
            assert await read_all(warm) == b"warm"
            await warm.close()
            call = UpstreamCall(upstream.url)
            with pytest.raises(UpstreamError) as raised:
                await call.open(method, "/bid", (), b"1")
            assert raised.value.sent
        assert [r.target for r in upstream.requests] == ["/warm-up", "/bid"]
        assert upstream.requests[1].method == method
        assert upstream.requests[1].body == b"1"
        assert upstream.connections == 2

    run(main())


def test_the_response_to_a_cancelled_call_never_reaches_the_next_call() -> None:
    async def answer(req: Request, writer: Writer) -> None:
        await asyncio.sleep(0.2 if req.target == "/slow" else 0)
        await send_body(writer, req.target.encode())

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            slow = UpstreamCall(upstream.url)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(slow.open("GET", "/slow"), 0.1)
            await slow.close()
            await asyncio.sleep(0.2)
            call = UpstreamCall(upstream.url)
            await call.open("GET", "/fast")
            assert await read_all(call) == b"/fast"
            await call.close()

    run(main())


TRUNCATED_RESPONSES = {
    "length": b"content-length: 10\r\n\r\n12345",
    "chunk": b"transfer-encoding: chunked\r\n\r\na\r\n12345",
    "no last chunk": b"transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n",
    "no head": b"content-len",
    "no blank line after the head": b"x-a: 1\r\n",
    "part of the length": b"content-length: 1",
    "a header without a colon": b"x-a\r\ncontent-length: 5\r\n\r\n12345",
}


@pytest.mark.parametrize("name", TRUNCATED_RESPONSES)
def test_a_truncated_response_is_never_accepted_as_complete(name: str) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + TRUNCATED_RESPONSES[name])
        await writer.drain()
        writer.close()

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            call = UpstreamCall(upstream.url)
            with pytest.raises(UpstreamError):
                await call.open("POST", "/x", (), b"{}")
                await read_all(call)
            await call.close()

    run(main())


UNFRAMED = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n12345"


@pytest.mark.parametrize("method", METHODS)
def test_a_body_without_framing_ends_with_its_connection(method: str) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        writer.write(UNFRAMED)
        await writer.drain()
        writer.close()

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            call = UpstreamCall(upstream.url)
            await call.open(method, "/x")
            assert await read_all(call) == b"12345"
            await call.close()
        assert upstream.connections == 1

    run(main())


async def reset_body(writer: Writer) -> None:
    await asyncio.sleep(0.05)
    reset(writer)


async def reset_ended_body(writer: Writer) -> None:
    reset_after_end(writer)


@pytest.mark.parametrize("end", [reset_body, reset_ended_body])
def test_a_body_without_framing_that_is_reset_is_incomplete(
    end: Callable[[Writer], Awaitable[None]],
) -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        writer.write(UNFRAMED)
        await writer.drain()
        await end(writer)

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            call = UpstreamCall(upstream.url)
            with pytest.raises(UpstreamError):
                await call.open("POST", "/x", (), b"{}")
                await read_all(call)
            await call.close()

    run(main())


def test_a_body_without_framing_that_is_aborted_is_incomplete() -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        writer.write(UNFRAMED)
        await asyncio.sleep(BOUND_S)

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            call = UpstreamCall(upstream.url)
            await call.open("POST", "/x", (), b"{}")
            asyncio.get_running_loop().call_later(0.05, call.abort)
            with pytest.raises(UpstreamError):
                await read_all(call)
            await call.close()

    run(main())


def test_a_call_on_a_refused_connection_is_reported_as_not_sent() -> None:
    async def main() -> None:
        async with tiny_upstream(drop_all_but_warm_up) as upstream:
            pass
        with pytest.raises(UpstreamError) as raised:
            await UpstreamCall(upstream.url).open("POST", "/x", (), b"1")
        assert not raised.value.sent

    run(main())


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    async def answer(_req: Request, writer: Writer) -> None:
        writer.write(
            b"HTTP/1.1 201 Created\r\nkeep-alive: timeout=5\r\nset-cookie: a=1\r\n"
            b"set-cookie: b=2\r\ncontent-length: 2\r\n\r\nok"
        )

    async def main() -> None:
        headers = (
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "99"),
            ("Accept", "a"),
            ("accept", "b"),
            ("Host", "elsewhere"),
        )
        async with tiny_upstream(answer) as upstream:
            call = UpstreamCall(upstream.url)
            await call.open("PUT", "/lots;v=2/a b\r\nx?q=1 2", headers, b"body")
            assert await read_all(call) == b"ok"
            assert call.status == 201
            assert [h for h in call.headers if h[0] == "set-cookie"] == [
                ("set-cookie", "a=1"),
                ("set-cookie", "b=2"),
            ]
            assert "keep-alive" not in dict(call.headers)
            await call.close()
        sent = upstream.requests[0]
        assert sent.target == "/lots%3Bv=2/a%20b%0D%0Ax?q=1%202"
        assert sent.headers["content-length"] == "4"
        assert sent.headers["accept"] == "a, b"
        assert sent.headers["host"] == f"127.0.0.1:{upstream.port}"
        assert not {"x-hop", "transfer-encoding"} & set(sent.headers)

    run(main())


def test_a_cancellation_as_the_connection_is_refused_is_not_lost() -> None:
    async def main() -> None:
        async with tiny_upstream(drop_all_but_warm_up) as upstream:
            pass
        for steps in range(300):
            call = UpstreamCall(upstream.url)
            opening = asyncio.create_task(call.open("GET", "/x"))
            for _ in range(steps % 60):
                await asyncio.sleep(0)
            if opening.cancel():
                with pytest.raises(asyncio.CancelledError):
                    await opening
            else:
                assert isinstance(opening.exception(), UpstreamError)

    run(main())


def test_a_cancellation_as_the_connection_opens_is_not_lost() -> None:
    """``wait_for`` of Python 3.11 drops it if connecting ends in the same loop step."""

    async def answer(_req: Request, _writer: Writer) -> None:
        await asyncio.sleep(BOUND_S)

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            call = UpstreamCall(upstream.url)
            opening = asyncio.create_task(call.open("GET", "/x"))
            while not call.connections or call.connections[0].writer is None:
                await asyncio.sleep(0)
            opening.cancel()
            with pytest.raises(asyncio.CancelledError):
                await opening
            assert not call.sent
            await call.close()

    run(main())
