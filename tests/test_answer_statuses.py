"""Answers whose status is none: not of three digits in the range of statuses."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import UpstreamError
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    json_body,
    route,
    running_gateway,
)
from tests.builders_machines import call as call_machine
from tests.builders_machines import running_machines
from tests.sidecar_harness import run

SAFE = route(path_prefix="/safe/", repeatable=True, max_runs=2, name="safe")
ROUTES = declared(route(), SAFE)

AT_ONCE_S = 0.8
"""Well before the deadline of these routes, which is two seconds."""

RETRY_WINDOW_S = 0.5
"""Processes that have all just started limit their retries for one window, as what was
spent before is unknown."""

NO_STATUSES = ("000", "007", "099", "600", "742", "999")


async def answer(req: dict[str, str], _body: bytes, writer: Writer) -> None:
    """Answer correctly."""
    writer.write(answer_bytes(req["id"], b"whole"))


@pytest.mark.parametrize("status", NO_STATUSES)
@pytest.mark.parametrize("path", ["/safe/1", "/calls/1"])
def test_answer_whose_status_is_none_is_no_answer(status: str, path: str) -> None:
    """Guards against callers that wait for, or get, what is no answer."""

    async def spoilt(req: dict[str, str], _body: bytes, writer: Writer) -> None:
        writer.write(answer_bytes(req["id"], b"spoilt", f"{status} Status"))

    async def main() -> None:
        first, other = RawUpstream("u1", spoilt), RawUpstream("u2", answer)
        async with running_gateway(ROUTES, first, other) as gateway:
            gateway._upstreams.load_of("u2").error_rate = 0.9
            async with asyncio.timeout(AT_ONCE_S):
                got = await call(gateway, path)
        if path == "/safe/1":
            assert (got.status, got.body) == (200, b"whole")
        else:
            assert (got.status, other.requests) == (502, [])
            assert json_body(got)["error"]["not_run"] is not True

    run(main())


@pytest.mark.parametrize("status", NO_STATUSES)
def test_response_whose_status_is_none_fails_a_call(status: str) -> None:
    async def spoilt(req: dict[str, str], _body: bytes, writer: Writer) -> None:
        writer.write(answer_bytes("r1", b"spoilt", f"{status} Status"))

    async def main() -> None:
        upstream = RawUpstream("u1", spoilt)
        await upstream.start()
        request = UpstreamCall(f"http://{upstream.address}")
        async with asyncio.timeout(AT_ONCE_S):
            with pytest.raises(UpstreamError) as failure:
                await request.open("POST", "/calls/1")
        assert failure.value.sent
        await request.close()
        await upstream.close()

    run(main())


def test_callers_of_real_processes_get_no_answer_whose_status_is_none(
    tmp_path: pathlib.Path,
) -> None:
    """The same beside a sound upstream, at all gateways of some machines."""

    async def main() -> None:
        async with running_machines(
            tmp_path, "v1", "v1", settings=f"retry_window_s = {RETRY_WINDOW_S}"
        ) as (machines, upstreams):
            await asyncio.sleep(2 * RETRY_WINDOW_S)
            for status in NO_STATUSES:
                upstreams[0].status = f"{status} Status"
                for number, front in enumerate(machines.fronts):
                    for path in ("/safe/1", "/unsafe/1"):
                        request_id = f"{status}-{number}-{path[1]}"
                        async with asyncio.timeout(AT_ONCE_S):
                            got = await call_machine(front, path, request_id)
                        reached = request_id in upstreams[0].reached
                        once = path == "/unsafe/1"
                        assert got.status == (502 if reached and once else 200)
            assert len(upstreams[0].reached) > len(NO_STATUSES)

    asyncio.run(main())
