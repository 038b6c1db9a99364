"""A stream goes on only at the software version that brought its first event."""

from __future__ import annotations

import asyncio

from gooseberrydale.process.gateway.placer import HOLD_S
from tests.builders_gateway import call
from tests.builders_versions import (
    TARGET,
    VersionedUpstream,
    running_fleet,
    upstream,
    written,
)
from tests.sidecar_harness import run

STREAMS = 12
"""So many that chance does not choose the right upstream for each."""


def others(count: int = 6) -> list[VersionedUpstream]:
    return [upstream(f"other{number}", "v2") for number in range(count)]


def test_broken_off_streams_go_on_at_their_software_version() -> None:
    async def main() -> None:
        upstreams = [
            upstream(f"{version}-{number}", version, breaks_after=2)
            for version in ("v1", "v2")
            for number in range(3)
        ]
        async with running_fleet(*upstreams, retry_slack=1_000.0) as fleet:
            fleet.announce(*upstreams)
            for number in range(STREAMS):
                got = await call(fleet.gateways[0], TARGET, request_id=f"r{number}")
                assert (got.status, got.whole) == (200, True)
                assert got.body in (written("v1", 1), written("v2", 1))

    run(main())


def test_streams_taken_up_by_their_callers_go_on_at_their_software_version() -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", breaks_after=2), others()
        async with running_fleet(begun, *rest, count=2) as fleet:
            await fleet.begin(begun, *rest)
            answers = [await fleet.take_up(after=2, index=index) for index in (0, 1)]
        assert [(got.status, got.body) for got in answers] == [
            (200, written("v1", 3)),
            (200, written("v1", 3)),
        ]
        assert not any(item.requests for item in rest)

    run(main())


def test_broken_off_stream_goes_on_at_an_upstream_announced_since_it_began() -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", 2), [*others(), upstream("same", "v1")]
        async with running_fleet(begun, *rest) as fleet:
            got = await fleet.begin(begun, *rest)
        assert (got.status, got.whole, got.body) == (200, True, written("v1", 1))

    run(main())


def test_broken_off_stream_is_cut_at_once_if_its_version_serves_no_more() -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", breaks_after=2), others()
        async with running_fleet(begun, *rest) as fleet:
            started_at = asyncio.get_running_loop().time()
            got = await fleet.begin(begun, *rest)
            took_s = asyncio.get_running_loop().time() - started_at
        assert (got.status, got.whole, got.body) == (200, False, written("v1", 1, 2))
        assert not any(item.requests for item in rest)
        assert took_s < HOLD_S

    run(main())


def test_a_send_that_brought_no_event_binds_no_version() -> None:
    async def main() -> None:
        empty, rest = upstream("empty", "v1", breaks_after=0), others()
        async with running_fleet(empty, *rest) as fleet:
            got = await fleet.begin(empty, *rest)
        assert (got.status, got.whole, got.body) == (200, True, written("v2", 1))

    run(main())
