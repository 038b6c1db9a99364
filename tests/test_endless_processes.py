"""Upstreams that answer without end, with a real gateway and a real control replica."""

from __future__ import annotations

import asyncio
import pathlib
import uuid
from collections.abc import Iterator
from typing import Any

import httpx2
import pytest

from soak.competition import DEADLINE_S, HOST, api_key
from soak.gateway_environment import (
    HEARTBEAT_S,
    MAX_MEMORY_MIB,
    GatewayEnvironment,
    peak_mib,
)
from soak.plan import GatewayTargets
from tests.builders_endless import ENDLESS_BODY, ENDLESS_FRAMING, EndlessServer
from tests.callers import BackgroundLoop

BROKEN = "broken"
WATCHED = "watched"
REPORT = "/v1/report"
SERVERS = 12
AT_ONCE = 6
ASKING_S = 2.0

OTHERS_BOUND_S = 0.6
"""The objective of the other callers' route."""

TIMEOUT_S = DEADLINE_S + 2.0
PARTS = ENDLESS_FRAMING | ENDLESS_BODY


class EndlessEnvironment(GatewayEnvironment):
    """The soak's gateways beside two pools whose upstreams answer without end.

    One gets requests; the other one is to load weights, so that control reads reports.
    """

    def __init__(self, folder: pathlib.Path, load: BackgroundLoop) -> None:
        super().__init__(folder, load)
        self.broken: dict[str, EndlessServer] = {}

    def document(self) -> dict[str, Any]:
        """Return the document with two more pools, and a route to one of them."""
        document = super().document()
        route = document["routes"][0]
        broken = {"name": BROKEN, "pathPrefix": f"/{BROKEN}/", "service": BROKEN}
        document["routes"].append({**route, **broken, "timeoutMs": 2_500})
        for name in (BROKEN, WATCHED):
            document["services"].append({"name": name, "maxConns": 120})
        return document

    def start(self) -> GatewayTargets:
        """Start all processes, and name newer weights than the engines have."""
        targets = super().start()
        assert self.post("/v1/version-put", {"model": "m", "version": 2})
        return targets

    def beat_all(self, seq: int) -> None:
        """Send the heartbeats of all upstreams."""
        super().beat_all(seq)
        for name, server in tuple(self.broken.items()):
            beat = {"address": server.address, "zone": "zone-1", "seq": seq, "slots": 6}
            beat |= {"version": "v1", "state": "ready", "coldLeftMs": 0}
            plain = beat | {"service": BROKEN}
            engine = beat | {
                "service": WATCHED,
                "models": [{"name": "m", "version": 1}],
            }
            self.post(f"/v1/Instances.Heartbeat/{name}", plain)
            self.post(f"/v1/Instances.Heartbeat/{name}-m", engine)

    def peak_mib(self) -> dict[str, float]:
        """Return the peak memory of each process in MiB."""
        return {name: peak_mib(p.pid) for name, p in self.processes.items()}


@pytest.fixture(scope="module")
def environment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[EndlessEnvironment]:
    load = BackgroundLoop()
    environment = EndlessEnvironment(tmp_path_factory.mktemp("endless"), load)
    try:
        environment.start()
        yield environment
    finally:
        environment.close()
        load.close()


async def get(
    client: httpx2.AsyncClient, url: str, path: str
) -> tuple[int, float, str]:
    """Send a GET request; return the status, the seconds it took and the body."""
    # Requests that differ: one that is open when several upstreams end is refused.
    request_id = uuid.uuid4().hex
    headers = {
        "host": HOST,
        "x-api-key": api_key("workspace-1"),
        "x-request-id": request_id,
    }
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with client.stream(
        "GET", f"{url}/{path}/{request_id}", headers=headers
    ) as got:
        first = b""
        try:
            async for data in got.aiter_raw():
                first = first or data[:500]
        except httpx2.HTTPError:
            first = first or b"cut off"
    return got.status_code, loop.time() - started_at, first.decode("latin-1")


@pytest.mark.parametrize("part", PARTS)
def test_endless_answers_leave_memory_and_other_callers_alone(
    environment: EndlessEnvironment, part: str
) -> None:
    """Guards against one upstream that fills the memory or holds the event loop."""

    async def ask_broken(client: httpx2.AsyncClient) -> list[tuple[int, float, str]]:
        loop = asyncio.get_running_loop()
        asked: list[tuple[int, float, str]] = []
        ends_at = loop.time() + ASKING_S
        while loop.time() < ends_at:
            calls = (get(client, url, BROKEN) for _ in range(AT_ONCE))
            asked += await asyncio.gather(*calls)
        return asked

    async def ask_all() -> None:
        others = []
        async with httpx2.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client:
            await get(client, url, "urgent")
            asking = asyncio.create_task(ask_broken(client))
            while not asking.done():
                others.append(await get(client, url, "urgent"))
                await asyncio.sleep(0.02)
            asked = await asking
        for status, _, body in asked:
            assert status in (200, 502, 503, 504), (status, body)
            assert '"not_run":true' not in body or status == 503
        peaks = environment.peak_mib()
        slowest_s = max(took_s for _, took_s, _ in others)
        print(part, sorted({status for status, _, _ in asked}), len(asked), peaks)
        print(f"slowest of {len(others)} others: {slowest_s:.2f} s")
        assert [status for status, _, _ in others if status != 200] == []
        assert slowest_s < OTHERS_BOUND_S
        assert max(peaks.values()) < MAX_MEMORY_MIB, peaks

    async def main() -> None:
        servers = [await EndlessServer(*PARTS[part]).start() for _ in range(SERVERS)]
        environment.broken = {
            f"{part.replace(' ', '-')}-{n}": server for n, server in enumerate(servers)
        }
        try:
            # Control reads the reports meanwhile.
            await asyncio.sleep(4 * HEARTBEAT_S)
            await ask_all()
            targets = set().union(*(server.targets for server in servers))
            assert REPORT in targets, "control has read no report"
            assert len(targets) > 1, "the gateway has sent no request"
        finally:
            environment.broken = {}
            for server in servers:
                await server.close()

    url = environment.urls[0]
    environment.load.run(main())
