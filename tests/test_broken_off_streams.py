"""Streams that are broken off must not reach callers as complete."""

from __future__ import annotations

import pytest

from tests.builders_gateway import (
    RawUpstream,
    Script,
    call,
    declared,
    event,
    reset,
    route,
    running_gateway,
)
from tests.builders_logs import logged
from tests.builders_streams import WHOLE, reset_after_end, stream_in
from tests.sidecar_harness import run

STREAM = route(path_prefix="/streams/", streamed=True, max_runs=2, name="streams")
RESUMABLE = route(
    path_prefix="/resumable/",
    streamed=True,
    resumable=True,
    max_runs=2,
    name="resumable",
)
FRAMINGS = ("connection", "length", "chunked")

# What the upstream sent before its answer ended, and the event after which a
# resumable stream goes on.
BROKEN_OFF = {
    "inside the first event": (event(1)[:7], None),
    "inside a line": (event(1) + event(2) + event(3)[:-4], "2"),
    "inside an id": (event(1) + b"id: 2", "1"),
    "between two lines": (event(1) + b"id: 2\n", "1"),
    "before a blank line": (event(1) + event(2)[:-1], "1"),
}
WHOLE_STREAMS = {
    "events": WHOLE,
    "a comment at the end": WHOLE + b": done\n",
    "a blank line at the end": WHOLE + b"\n",
    "CRLF lines": WHOLE.replace(b"\n", b"\r\n"),
    "lines of both kinds": WHOLE.replace(b"\n\n", b"\n\r\n"),
}


def upstreams(script: Script) -> list[RawUpstream]:
    return [RawUpstream(name, script) for name in ("u1", "u2")]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("case", BROKEN_OFF)
def test_stream_broken_off_inside_an_event_is_resumed(case: str, framing: str) -> None:
    part, last_event_id = BROKEN_OFF[case]

    async def main() -> None:
        both = upstreams(stream_in(framing, part))
        async with running_gateway(declared(RESUMABLE), *both) as gateway:
            got = await call(gateway, "/resumable/1")
        assert (got.status, got.whole, got.body) == (200, True, WHOLE)
        sent = [req.get("last-event-id") for up in both for req in up.requests]
        assert sorted(sent, key=str) == sorted([None, last_event_id], key=str)

    run(main())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("case", BROKEN_OFF)
def test_stream_broken_off_inside_an_event_reaches_its_caller_cut(
    case: str, framing: str
) -> None:
    part, _ = BROKEN_OFF[case]

    async def main() -> None:
        both = upstreams(stream_in(framing, part))
        with logged("request") as lines:
            async with running_gateway(declared(STREAM), *both) as gateway:
                got = await call(gateway, "/streams/1")
        assert (got.status, got.whole) == (200, False)
        assert sum(len(up.requests) for up in both) == 1
        [line] = lines
        assert (line["outcome"], line["whole"]) == ("broken", False)
        assert (line["framing"], line["inside_event"]) == (framing, True)

    run(main())


@pytest.mark.parametrize("target", ["/streams/1", "/resumable/1"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("case", WHOLE_STREAMS)
def test_stream_that_ends_after_an_event_is_complete(
    case: str, framing: str, target: str
) -> None:
    body = WHOLE_STREAMS[case]

    async def main() -> None:
        upstream = RawUpstream("u1", stream_in(framing, body))
        routes = declared(STREAM, RESUMABLE)
        async with running_gateway(routes, upstream) as gateway:
            got = await call(gateway, target)
        assert (got.status, got.whole, got.body) == (200, True, body)
        assert len(upstream.requests) == 1

    run(main())


@pytest.mark.parametrize("target", ["/streams/1", "/resumable/1"])
def test_body_that_is_no_event_stream_is_complete_where_it_ends(target: str) -> None:
    async def main() -> None:
        script = stream_in(
            "connection", b'{"text": "a"}', content_type="application/json"
        )
        upstream = RawUpstream("u1", script)
        routes = declared(STREAM, RESUMABLE)
        async with running_gateway(routes, upstream) as gateway:
            got = await call(gateway, target)
        assert (got.status, got.whole, got.body) == (200, True, b'{"text": "a"}')

    run(main())


UNRESUMABLE = {
    "no ids": (b"data: a\n\ndata: b\n\nda", "text/event-stream"),
    "no id after the last": (event(1) + b"data: b\n\nda", "text/event-stream"),
    "no events": (b"a\n\nb", "text/plain"),
}


@pytest.mark.parametrize("case", UNRESUMABLE)
def test_stream_is_not_resumed_where_parts_would_be_repeated(case: str) -> None:
    part, content_type = UNRESUMABLE[case]

    async def main() -> None:
        script = stream_in("connection", part, content_type=content_type, end=reset)
        both = upstreams(script)
        async with running_gateway(declared(RESUMABLE), *both) as gateway:
            got = await call(gateway, "/resumable/1")
        assert (got.status, got.whole) == (200, False)
        assert sum(len(up.requests) for up in both) == 1

    run(main())


def test_stream_is_resumed_after_a_comment() -> None:
    async def main() -> None:
        comment = b": ping\n\n"
        part = event(1) + comment + event(2)[:5]
        both = upstreams(stream_in("connection", part))
        async with running_gateway(declared(RESUMABLE), *both) as gateway:
            got = await call(gateway, "/resumable/1")
        assert (got.status, got.whole) == (200, True)
        assert got.body == WHOLE.replace(event(1), event(1) + comment)

    run(main())


@pytest.mark.parametrize("target", ["/streams/1", "/resumable/1"])
def test_connection_that_ends_before_the_first_event_is_no_answer(target: str) -> None:
    async def main() -> None:
        both = upstreams(stream_in("connection", b""))
        routes = declared(STREAM, RESUMABLE)
        async with running_gateway(routes, *both) as gateway:
            got = await call(gateway, target)
        if target == "/resumable/1":
            assert (got.status, got.whole, got.body) == (200, True, WHOLE)
        else:
            assert (got.status, got.whole) == (502, True)
            assert sum(len(up.requests) for up in both) == 1

    run(main())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_empty_stream_that_is_framed_as_complete_is_complete(framing: str) -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", stream_in(framing, b""))
        async with running_gateway(declared(STREAM), upstream) as gateway:
            got = await call(gateway, "/streams/1")
        assert (got.status, got.whole, got.body) == (200, True, b"")

    run(main())


def test_stream_resumed_after_its_last_event_is_complete_without_another() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", stream_in("connection", b""))
        async with running_gateway(declared(RESUMABLE), upstream) as gateway:
            got = await call(gateway, "/resumable/1", extra="Last-Event-Id: 6")
        assert (got.status, got.whole, got.body) == (200, True, b"")
        assert len(upstream.requests) == 1

    run(main())


def test_stream_that_ends_with_its_connection_inside_an_event_is_cut() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", stream_in("connection", event(1) + event(2)[:9]))
        async with running_gateway(declared(STREAM), upstream) as gateway:
            got = await call(gateway, "/streams/1")
        assert (got.status, got.whole) == (200, False)

    run(main())


@pytest.mark.parametrize(
    "target, content_type",
    [("/streams/1", "text/event-stream"), ("/calls/1", "application/json")],
)
def test_answer_reset_after_the_end_of_its_connection_is_incomplete(
    target: str, content_type: str
) -> None:
    async def main() -> None:
        script = stream_in(
            "connection", WHOLE, content_type=content_type, end=reset_after_end
        )
        upstream = RawUpstream("u1", script)
        routes = declared(route(), STREAM)
        with logged("send_ended") as ends:
            async with running_gateway(routes, upstream) as gateway:
                got = await call(gateway, target)
        assert got.status == 502 or not got.whole
        assert len(upstream.requests) == 1
        assert [end["end"] for end in ends] == ["lost"]

    run(main())
