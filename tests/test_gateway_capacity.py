"""Log lines and metrics of a gateway's requests that compete for capacity."""

from __future__ import annotations

import asyncio
import math
from dataclasses import asdict

from gooseberrydale.process.cfg import MetricsCfg
from gooseberrydale.request.capacity_decision import CapacityDecision
from gooseberrydale.request.draining import Drain
from gooseberrydale.version.declared import KeyHolder
from tests.builders_gateway import (
    KEY,
    POOL,
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    route,
    running_gateway,
)
from tests.builders_logs import logged
from tests.sidecar_harness import run

DOCUMENT = declared(
    route(priority=2), workspaces=(KeyHolder("dealers", (KEY,), priority=1),)
)


async def answer_correctly(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


def test_request_line_names_rank_and_workspace_and_is_neutral_otherwise() -> None:
    """Guards against a line that blames competition where capacity is not shared."""

    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        with logged("request") as lines:
            async with running_gateway(DOCUMENT, upstream) as gateway:
                await call(gateway)
        expected = asdict(CapacityDecision(POOL, rank=1, workspace="dealers"))
        assert expected.items() <= lines[0].items()

    run(main())


def test_request_that_is_refused_before_it_is_forwarded_has_rank_and_workspace() -> (
    None
):
    """Guards against refusals of any rank that count as those of rank 0."""

    async def main() -> None:
        with logged("request") as lines:
            async with running_gateway(DOCUMENT) as gateway:
                gateway._app.drain = Drain(-math.inf, -math.inf)
                await call(gateway)
                gateway._app.drain = None
        assert lines[0]["outcome"] == "shutting_down"
        expected = asdict(CapacityDecision(POOL, rank=1, workspace="dealers"))
        assert expected.items() <= lines[0].items()

    run(main())


def test_refusal_for_lack_of_capacity_is_counted_with_its_rank() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        listener = MetricsCfg(http="127.0.0.1:0")
        async with running_gateway(DOCUMENT, upstream, metrics=listener) as gateway:
            await call(gateway)
            now = asyncio.get_running_loop().time()
            gateway._upstreams.back_off("u1", 60.0, now)
            assert (await call(gateway, request_id="r2")).status == 503
        # The refusal is counted after its caller has the answer.
        assert gateway.metrics is not None
        text = gateway.metrics.render().decode()
        labels = 'rank="1",reason="no_capacity"'
        assert f"gooseberrydale_capacity_refusals_total{{{labels}}} 1.0" in text

    run(main())
