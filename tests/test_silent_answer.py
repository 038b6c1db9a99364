"""Whether a request without an answer is lost, judged by the engine's load report."""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Any

import pytest

from gooseberrydale.process.sidecar import upstream_watch
from gooseberrydale.process.sidecar.upstream_watch import UpstreamWatch
from tests.builders_sidecar import (
    Request,
    Writer,
    send_body,
    sidecar_cfg,
    tiny_upstream,
)
from tests.sidecar_harness import run

LOADS: dict[str, tuple[dict[str, Any], bool]] = {
    "the request is open": ({"requests": [["req-1", "2"]], "waiting": 0}, False),
    "another attempt is open": ({"requests": [["req-1", "1"]], "waiting": 0}, True),
    "none is open": ({"requests": [], "waiting": 3}, True),
    "not listed, some wait": ({"waiting": 1}, False),
    "not listed, none waits": ({"waiting": 0}, True),
}


@pytest.mark.parametrize("case", LOADS)
def test_request_is_lost_only_if_the_engine_has_ended_it(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, case: str
) -> None:
    load, lost = LOADS[case]
    monkeypatch.setattr(upstream_watch, "ANSWER_TRANSIT_S", 0.01)
    monkeypatch.setattr("tests.builders_sidecar.WATCHED", ())

    async def answer(req: Request, writer: Writer) -> None:
        assert req.target == "/load"
        await send_body(writer, json.dumps(load).encode())

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            cfg = sidecar_cfg(tmp_path, upstream.url).sidecar
            assert cfg is not None
            watch = UpstreamWatch(
                cfg, lambda *_: None, lambda _: None, IgnoreIncarnations()
            )
            assert await watch.lost("req-1", 2) is lost

    run(main())


class IgnoreIncarnations:
    """An observer that ignores all events."""

    def upstream_unreachable(self, reason: str) -> None:
        pass

    def upstream_answered(self, incarnation: str) -> None:
        pass


def test_answer_in_transit_gets_time_to_arrive(tmp_path: pathlib.Path) -> None:
    took: list[float] = []

    async def answer(req: Request, writer: Writer) -> None:
        await send_body(writer, b'{"requests": []}')

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with tiny_upstream(answer) as upstream:
            cfg = sidecar_cfg(tmp_path, upstream.url).sidecar
            assert cfg is not None
            watch = UpstreamWatch(
                cfg, lambda *_: None, lambda _: None, IgnoreIncarnations()
            )
            began = loop.time()
            await watch.lost("req-1", 1)
            took.append(loop.time() - began)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tests.builders_sidecar.WATCHED", ())
        run(main())
    assert took[0] >= upstream_watch.ANSWER_TRANSIT_S
