"""Upstreams that refuse a request and ask the gateway to back off for a time."""

from __future__ import annotations

import asyncio

import pytest

from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    json_body,
    record,
    route,
    running_gateway,
)
from tests.builders_limits import LimitedUpstream
from tests.builders_logs import logged
from tests.sidecar_harness import run

BACKOFF_S = 3.0
SETTLE_S = 0.5
"""Requests that were already being sent may still arrive for this long."""

REFUSAL = f"signed: 1\r\nnot-run: 1\r\nretry-after: {BACKOFF_S}"


class BusyUpstream:
    """An upstream that refuses all requests with a backoff time while ``is_short``."""

    def __init__(self, name: str, refusal: str = REFUSAL) -> None:
        self.server = RawUpstream(name, self._serve)
        self.refusal = refusal
        self.is_short = True
        self.arrivals: list[float] = []

    async def _serve(self, req: dict[str, str], body: bytes, writer: Writer) -> None:
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.is_short:
            status = "503 Service Unavailable"
            writer.write(answer_bytes(req["id"], b"", status, headers=self.refusal))
        else:
            writer.write(answer_bytes(req["id"], body))

    def max_arrivals_per_backoff(self) -> int:
        """Return the highest number of arrivals within any one backoff time."""
        return max(
            sum(at + SETTLE_S < other <= at + BACKOFF_S for other in self.arrivals)
            for at in self.arrivals
        )


def test_backoff_time_is_logged() -> None:
    async def main() -> None:
        busy, other = BusyUpstream("u1"), LimitedUpstream("u2")
        with logged("upstream_backoff") as lines:
            async with running_gateway(
                declared(), busy.server, other.server
            ) as gateway:
                while not busy.arrivals:
                    assert (await call(gateway)).status == 200
        assert lines == [{"upstream": "u1", "for_ms": 3_000.0}]

    run(main())


def test_upstream_gets_no_requests_during_its_backoff_time() -> None:
    async def main() -> None:
        busy, other = BusyUpstream("u1"), LimitedUpstream("u2")
        async with running_gateway(declared(), busy.server, other.server) as gateway:
            for number in range(100):
                got = await call(gateway, request_id=f"r{number}")
                assert got.status == 200
                await asyncio.sleep(0.04)
        assert busy.max_arrivals_per_backoff() <= 2

    run(main())


@pytest.mark.parametrize("refusal", [REFUSAL, f"retry-after: {BACKOFF_S}"])
def test_backoff_applies_whether_or_not_the_request_is_reported_as_not_run(
    refusal: str,
) -> None:
    async def main() -> None:
        busy = BusyUpstream("u1", refusal)
        other = LimitedUpstream("u2")
        document = declared(route(repeatable=True, max_runs=2))
        async with running_gateway(document, busy.server, other.server) as gateway:
            for number in range(40):
                await call(gateway, method="GET", request_id=f"r{number}")
        assert len(busy.arrivals) == 1

    run(main())


def test_request_is_refused_immediately_if_all_upstreams_back_off() -> None:
    async def main() -> None:
        busy = BusyUpstream("u1")
        async with running_gateway(declared(), busy.server) as gateway:
            await call(gateway)
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await call(gateway, request_id="r2")
            assert loop.time() - began < 0.2
            assert got.status == 503 and float(got.headers["retry-after"]) > 0.0
            error = json_body(got)["error"]
            assert (error["code"], error["not_run"]) == ("no_room", True)
            assert len(busy.arrivals) == 1

    run(main())


def test_backoff_expires_and_does_not_apply_to_the_next_incarnation() -> None:
    async def main() -> None:
        busy = BusyUpstream("u1", "signed: 1\r\nnot-run: 1\r\nretry-after: 0.4")
        async with running_gateway(declared(), busy.server) as gateway:
            await call(gateway)
            busy.is_short = False
            assert (await call(gateway, request_id="r2")).status == 200
            first, second = busy.arrivals
            assert second - first >= 0.4
            now = asyncio.get_running_loop().time()
            gateway._upstreams.back_off("u1", 60.0, now)
            restarted = record("u1", incarnation="2", address=busy.server.address)
            gateway.directory.offer(restarted, now)
            assert (await call(gateway, request_id="r3")).status == 200

    run(main())
