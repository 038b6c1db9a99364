"""Streams that are broken off must not reach callers as complete."""

from __future__ import annotations

from tests.builders_gateway import (
    RawUpstream,
    call,
    declared,
    event,
    route,
    running_gateway,
)
from tests.builders_streams import stream_in
from tests.sidecar_harness import run

STREAM = route(path_prefix="/streams/", streamed=True, max_runs=2, name="streams")


def test_stream_that_ends_with_its_connection_inside_an_event_is_cut() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", stream_in("connection", event(1) + event(2)[:9]))
        async with running_gateway(declared(STREAM), upstream) as gateway:
            got = await call(gateway, "/streams/1")
        assert (got.status, got.whole) == (200, False)

    run(main())
