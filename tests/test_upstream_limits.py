"""Upstreams that limit the rate of requests that they take from all gateways."""

from __future__ import annotations

import pytest

from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    running_gateway,
)
from tests.builders_limits import LimitedUpstream, allowed, deployment
from tests.builders_logs import logged
from tests.sidecar_bench import run


def test_a_limit_that_is_named_changed_or_lifted_is_logged_once() -> None:
    limits = iter(("", "limit: 5", "limit: 5", "limit: 7.5", ""))

    async def script(req: dict[str, str], body: bytes, writer: Writer) -> None:
        headers = "\r\n".join(filter(None, ("signed: 1", next(limits))))
        writer.write(answer_bytes(req["id"], body, headers=headers))

    async def main() -> None:
        upstream = RawUpstream("u1", script)
        with logged("upstream_limited") as lines:
            async with running_gateway(declared(), upstream) as gateway:
                for number in range(5):
                    await call(gateway, request_id=f"r{number}")
        assert lines == [
            {"upstream": "u1", "per_s": 5.0, "before_per_s": None},
            {"upstream": "u1", "per_s": 7.5, "before_per_s": 5.0},
            {"upstream": "u1", "per_s": None, "before_per_s": 7.5},
        ]

    run(main())


@pytest.mark.parametrize("gateways", [1, 8])
def test_a_limited_upstream_gets_no_more_than_it_takes(gateways: int) -> None:
    async def main() -> None:
        limited, other = LimitedUpstream("u1"), LimitedUpstream("u2")
        async with deployment(declared(), limited, other, gateways=gateways) as fleet:
            await fleet.load(per_s=40.0, for_s=1.0)
            limited.limit_per_s = 1.6
            await fleet.load(per_s=40.0, for_s=8.0)
        assert set(fleet.statuses) == {200}
        assert limited.most_when_bound() <= allowed(1.6)

    run(main())
