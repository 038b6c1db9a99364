"""A stream goes on only at the software version that brought its first event."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from gooseberrydale.process.gateway import origin_client
from gooseberrydale.process.gateway.origin_client import FIND_S
from gooseberrydale.process.gateway.placer import HOLD_S
from gooseberrydale.version.declared import KeyHolder, Pool, Share
from gooseberrydale.version.served_software import KEPT_S
from tests.builders_gateway import KEY, POOL, call, declared, json_body
from tests.builders_versions import (
    RESUMABLE,
    TARGET,
    VersionedUpstream,
    running_fleet,
    upstream,
    written,
)
from tests.sidecar_harness import run

STREAMS = 12
"""So many that chance does not choose the right upstream for each."""


@pytest.fixture
def long_running(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no gateway count as just started."""
    monkeypatch.setattr(origin_client, "STARTUP_S", 0.0)


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


def test_stream_goes_on_after_the_gateway_that_began_it_has_ended() -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", breaks_after=2), others()
        async with running_fleet(begun, *rest, count=4) as fleet:
            await fleet.begin(begun, *rest)
            await fleet.end(0)
            for index in (1, 2, 3):
                got = await fleet.take_up(after=2, index=index)
                assert (got.status, got.body) == (200, written("v1", 3))

    run(main())


def test_stream_that_is_taken_up_twice_keeps_the_name_of_its_first_request() -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", 2), others()
        later = upstream("later", "v1", breaks_after=3, breaks_all=True)
        async with running_fleet(begun, later, *rest, count=3) as fleet:
            await fleet.begin(begun, *rest)
            await begun.close()
            fleet.announce(begun, seq=3, ready=False, leaving=True)
            fleet.announce(later)
            second = await fleet.take_up(after=2, index=1)
            assert (second.whole, second.body) == (False, written("v1", 3, 3))
            third = await fleet.take_up(after=3, index=2)
        assert (third.whole, third.body) == (True, written("v1", 4))

    run(main())


REFUSED = {
    "its version serves no more": ("first", "software_gone", None),
    "its origin is not known": ("never seen", "unknown_origin", None),
    "its first request is not named": (None, "unknown_origin", None),
}


@pytest.mark.parametrize("case", REFUSED)
def test_stream_is_refused_at_once_where_it_must_not_go_on(
    case: str, long_running: None
) -> None:
    resumes, code, retry_after = REFUSED[case]

    async def main() -> None:
        begun, rest = upstream("begun", "v1", breaks_after=2), others()
        async with running_fleet(begun, *rest, count=2) as fleet:
            await fleet.begin(begun, *rest)
            fleet.announce(begun, seq=3, ready=False, leaving=True)
            started_at = asyncio.get_running_loop().time()
            got = await fleet.take_up(after=2, index=1, resumes=resumes)
            took_s = asyncio.get_running_loop().time() - started_at
        error = json_body(got)["error"]
        assert (got.status, error["code"], error["not_run"]) == (503, code, True)
        assert got.headers.get("retry-after") == retry_after
        assert took_s < FIND_S
        assert not any(item.requests for item in rest)

    run(main())


def test_caller_may_try_again_while_a_gateway_that_may_know_is_silent(
    long_running: None,
) -> None:
    async def main() -> None:
        known, rest = upstream("known", "v1"), others()
        async with running_fleet(known, *rest, count=2) as fleet:
            fleet.announce(known, *rest)
            await fleet.end(0)
            got = await fleet.take_up(after=2, index=1)
        assert (got.status, json_body(got)["error"]["code"]) == (503, "unknown_origin")
        assert 0.0 < float(got.headers["retry-after"]) <= 1.5

    run(main())


SINGLE_VERSIONS = {"announced": "v1", "not announced": ""}


@pytest.mark.parametrize("case", SINGLE_VERSIONS)
@pytest.mark.parametrize("resumes", [None, "never seen"])
def test_stream_without_known_origin_goes_on_if_no_versions_are_announced(
    case: str, resumes: str | None
) -> None:
    software = SINGLE_VERSIONS[case]

    async def main() -> None:
        upstreams = [upstream(f"u{number}", software) for number in range(2)]
        async with running_fleet(*upstreams) as fleet:
            fleet.announce(*upstreams)
            got = await fleet.take_up(after=2, resumes=resumes)
        # A name that is not known may be that of a stream of another version.
        goes_on = resumes is None or not software
        assert got.status == (200 if goes_on else 503)
        if goes_on:
            assert got.body == written(software, 3)

    run(main())


def test_unnamed_stream_is_refused_until_leaving_upstreams_are_forgotten() -> None:
    async def main() -> None:
        left, rest = upstream("left", "v1"), others()
        async with running_fleet(left, *rest) as fleet:
            fleet.announce(left, *rest)
            fleet.announce(left, seq=3, ready=False, leaving=True)
            got = await fleet.take_up(after=2, resumes=None)
        assert got.status == 503

    run(main())


UNCERTAIN: dict[str, tuple[tuple[str, ...], bool]] = {
    "an earlier version has left": (("v0", "v1"), True),
    "no version is listed": ((), True),
    "the configuration may be old": (("v1",), False),
}


@pytest.mark.parametrize("case", UNCERTAIN)
def test_unnamed_stream_is_refused_where_a_single_version_is_known_but_not_certain(
    case: str,
) -> None:
    """Guards against a process that takes the one version it knows for the only one."""
    listed, is_current = UNCERTAIN[case]

    async def main() -> None:
        upstreams = [upstream(f"u{number}", "v1") for number in range(2)]
        async with running_fleet(
            *upstreams, software=listed, is_current=is_current
        ) as fleet:
            fleet.announce(*upstreams)
            got = await fleet.take_up(after=2, resumes=None)
        assert (got.status, json_body(got)["error"]["code"]) == (503, "unknown_origin")
        assert ("retry-after" in got.headers) != is_current
        assert not any(item.requests for item in upstreams)

    run(main())


@pytest.mark.parametrize("case", SINGLE_VERSIONS)
def test_unnamed_stream_that_outlasts_the_list_of_versions_is_refused(
    case: str,
) -> None:
    """Its version may have been dropped; without versions there is nothing to tell."""
    software = SINGLE_VERSIONS[case]
    long = replace(RESUMABLE, timeout_s=KEPT_S)

    async def main() -> None:
        upstreams = [upstream(f"u{number}", software) for number in range(2)]
        async with running_fleet(*upstreams, document=declared(long)) as fleet:
            fleet.announce(*upstreams)
            got = await fleet.take_up(after=2, resumes=None)
        assert got.status == (503 if software else 200)

    run(main())


def test_stream_of_another_workspace_is_not_found() -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", breaks_after=2), others()
        workspaces = (KeyHolder("a", (KEY,)), KeyHolder("b", ("other-key",)))
        document = declared(RESUMABLE, workspaces=workspaces)
        async with running_fleet(begun, *rest, document=document) as fleet:
            await fleet.begin(begun, *rest)
            got = await fleet.take_up(after=2, key="other-key")
        assert (got.status, json_body(got)["error"]["code"]) == (503, "unknown_origin")

    run(main())


def test_stream_goes_on_in_its_pool_if_its_route_has_several() -> None:
    async def main() -> None:
        names = (POOL, "second")
        shares = tuple(Share(name, 1.0) for name in names)
        pools = {name: Pool(name, 100, None) for name in names}
        document = declared(replace(RESUMABLE, shares=shares), pools=pools)
        # Each names its pool in the events that it writes.
        upstreams = [upstream(f"of {name}", name, breaks_after=2) for name in names]
        async with running_fleet(*upstreams, document=document) as fleet:
            for name, item in zip(names, upstreams, strict=True):
                fleet.announce(item, pool=name, software="v1")
            for number in range(STREAMS):
                first = f"r{number}"
                got = await call(fleet.gateways[0], TARGET, request_id=first)
                rest = await fleet.take_up(after=2, resumes=first)
                assert got.body + rest.body in [written(name, 1) for name in names]

    run(main())


def test_stream_goes_on_after_all_gateways_have_ended(tmp_path: Path) -> None:
    async def main() -> None:
        begun, rest = upstream("begun", "v1", breaks_after=2), others()
        async with running_fleet(begun, *rest, count=3, data_dir=tmp_path) as fleet:
            await fleet.begin(begun, *rest)
        begun, rest = upstream("begun", "v1"), others()
        async with running_fleet(begun, *rest, count=3, data_dir=tmp_path) as fleet:
            fleet.announce(begun, *rest)
            for index in range(3):
                got = await fleet.take_up(after=2, index=index)
                assert (got.status, got.body) == (200, written("v1", 3))

    run(main())


REBORN = {"other software": ("v2", False), "the same software": ("v1", True)}


@pytest.mark.parametrize("case", REBORN)
def test_stream_of_an_upstream_restarted_under_its_name_may_be_of_either_version(
    case: str,
) -> None:
    software, goes_on = REBORN[case]

    async def main() -> None:
        begun, same = upstream("begun", "v1", breaks_after=2), upstream("same", "v1")
        async with running_fleet(begun, same, *others(), count=2) as fleet:
            got = await fleet.begin(begun, same, restarted_with=software)
            taken_up = await fleet.take_up(after=2, index=1)
        assert got.whole is goes_on
        assert taken_up.status == (200 if goes_on else 503)

    run(main())
