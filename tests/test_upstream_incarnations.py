"""Upstreams that restart under their name, and malformed announcements."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import httpx2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.connection.engine_orders import EngineReport
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.origins.origin import UNKNOWN_SOFTWARE
from gooseberrydale.version.upstream_incarnation import (
    announced_incarnation,
    born_ms,
    incarnation_after,
    incarnation_name,
)
from tests import builders_platform as wire  # puts platform/ on the path
from tests.clock import run_paused

from control_http import ControlHttp  # isort: skip
from document_json import decode_document  # isort: skip
from http_wire import PlatformWire  # isort: skip
from store_http import _Events, _List, _read_event, _read_held, _readable  # isort: skip

BORN = 1_790_000_000_000


class StubEngines:
    """Engines that report their start time; counts how often they are asked.

    Engines named in ``stopped`` do not answer.
    """

    def __init__(self, born: int) -> None:
        self.born = born
        self.asked = 0
        self.stopped: set[str] = set()

    async def report(self, engine: UpstreamRecord) -> EngineReport | None:
        self.asked += 1
        if engine.name in self.stopped:
            return None
        return EngineReport({"m": 3}, 0, False, born_ms=self.born)


class Fleet:
    """Control's HTTP interface over one directory."""

    def __init__(self, engines: Any = None) -> None:
        self.directory = Directory()
        self.engines = engines
        self.announcements = Announcements(self.directory, 1.2, engines)
        app = ControlHttp(None, self.announcements).build()  # type: ignore[arg-type]
        transport = httpx2.ASGITransport(app)
        self.client = httpx2.AsyncClient(transport=transport, base_url="http://c")

    async def beat(self, seq: Any, name: str = "e", **fields: Any) -> int:
        path = f"/v1/Instances.Heartbeat/{name}"
        content = msgspec.json.encode(wire.beat(seq, **fields))
        return (await self.client.post(path, content=content)).status_code

    async def beat_of(self, content: bytes) -> int:
        path = "/v1/Instances.Heartbeat/e"
        return (await self.client.post(path, content=content)).status_code

    def known(self, name: str = "e") -> UpstreamRecord:
        known = self.directory.get(name, asyncio.get_running_loop().time())
        assert known is not None
        return known


def play(scenario: Callable[[Fleet], Coroutine[Any, Any, None]], born: int = 0) -> None:
    async def main() -> None:
        await scenario(Fleet(StubEngines(born)))

    run_paused(main())


def test_a_restarted_upstream_replaces_its_earlier_incarnation() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(40, born=BORN, models=[{"name": "m", "version": 5}])
        await fleet.beat(1, born=BORN + 1, models=[{"name": "m", "version": 4}])
        assert (fleet.known().weights_version, fleet.known().ready) == ("4", True)
        # A late announcement of the earlier incarnation changes nothing.
        await fleet.beat(41, born=BORN, state="draining")
        assert (fleet.known().weights_version, fleet.known().leaving) == ("4", False)

    play(scenario, born=BORN + 1)


def test_an_incarnation_that_has_left_does_not_exclude_the_next_one() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(7, born=BORN)
        await fleet.client.post("/v1/Instances.Deregister/e", content=b"{}")
        assert fleet.known().leaving
        await fleet.beat(8, born=BORN)
        assert fleet.known().leaving
        await fleet.beat(1, born=BORN + 900)
        assert fleet.known().ready and not fleet.known().leaving

    play(scenario)


def test_the_upstream_reports_which_incarnation_runs_after_a_clock_change():
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(30, born=BORN)
        await fleet.beat(1, born=BORN - 2_000, models=[{"name": "m", "version": 2}])
        await asyncio.sleep(0.1)
        assert fleet.known().weights_version == "2"
        await fleet.beat(2, born=BORN - 2_000, models=[{"name": "m", "version": 6}])
        assert fleet.known().weights_version == "6"

    play(scenario, born=BORN - 2_000)


def test_an_earlier_upstream_at_the_same_address_counts_as_ended() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(9, name="a", born=BORN)
        await fleet.beat(9, name="far", born=BORN, address="10.0.0.8:1")
        fleet.engines.stopped = {"a"}
        await fleet.beat(1, name="b", born=BORN + 900)
        await asyncio.sleep(0.1)
        assert fleet.known("a").leaving
        assert fleet.known("b").ready and fleet.known("far").ready
        # An announcement sent before the end of its upstream replaces no other one.
        await fleet.beat(10, name="a", born=BORN)
        await asyncio.sleep(0.1)
        assert fleet.known("a").leaving and fleet.known("b").ready
        # Nor does that of an ended upstream whose clock was fast.
        fleet.engines.stopped = {"a", "c"}
        await fleet.beat(5, name="c", born=BORN + 9_000)
        await asyncio.sleep(0.1)
        assert fleet.known("b").ready

    play(scenario)


def test_a_late_announcement_of_an_earlier_incarnation_is_ignored() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(2, born=BORN)
        await fleet.beat(90, born=BORN - 2_000, state="draining")
        await asyncio.sleep(0.1)
        assert fleet.known().ready

    play(scenario, born=BORN)


def test_weights_of_a_new_incarnation_count_before_its_announcement() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(30, born=BORN, models=[{"name": "m", "version": 2}])
        fleet.announcements.record_weights("e", "3", BORN + 5)
        assert fleet.known().weights_version == "3"
        await fleet.beat(31, born=BORN, models=[{"name": "m", "version": 2}])
        assert fleet.known().weights_version == "3"
        await fleet.beat(1, born=BORN + 5, models=[{"name": "m", "version": 4}])
        assert fleet.known().weights_version == "4"

    play(scenario, born=BORN + 5)


def test_software_of_a_new_incarnation_is_unknown_before_its_announcement() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(30, born=BORN, version="v1")
        fleet.announcements.record_weights("e", "3", BORN + 5)
        assert fleet.known().software == UNKNOWN_SOFTWARE
        await fleet.beat(31, born=BORN, version="v1")
        assert fleet.known().software == UNKNOWN_SOFTWARE
        await fleet.beat(1, born=BORN + 5, version="v2")
        assert fleet.known().software == "v2"

    play(scenario, born=BORN + 5)


MALFORMED = {
    **{f"no {field}": {field: None} for field in wire.BEAT_FIELDS},
    "no models at a stage": {"models": None, "stage": "colocated"},
    "a model without a version": {"models": [{"name": "m"}]},
    "a port out of range": {"address": "10.0.0.9:99999"},
    "port 0": {"address": "10.0.0.9:0"},
    "an unknown state": {"state": "dancing"},
    "a number as text": {"seq": "seven"},
    "a number that is none": {"seq": -4},
    "a moment as text": {"born": "now"},
    "an address without a port": {"address": "10.0.0.9"},
    "an address of another type": {"address": ["10.0.0.9", 1]},
    "models of another type": {"models": "m"},
    "a nameless service": {"service": ""},
}


@pytest.mark.parametrize("case", MALFORMED)
def test_a_malformed_announcement_is_refused_without_effect(case: str) -> None:
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.beat(3, born=BORN) == 200
        before = fleet.known()
        assert await fleet.beat(**{"seq": 9, "born": BORN, **MALFORMED[case]}) == 400
        assert await fleet.beat(**{"seq": 9, "name": "f", **MALFORMED[case]}) == 400
        assert fleet.known() == before
        now = asyncio.get_running_loop().time()
        assert [record.name for record in fleet.directory.records(now)] == ["e"]

    play(scenario)


def test_an_upstream_keeps_its_model_within_an_incarnation() -> None:
    """Guards against another writer that turns a model upstream into a plain one."""

    async def scenario(fleet: Fleet) -> None:
        assert await fleet.beat(3, born=BORN) == 200
        assert await fleet.beat(4, born=BORN, models=None) == 400
        assert (fleet.known().model, fleet.known().kind) == ("m", "completion")
        assert await fleet.beat(5, born=BORN, state="draining") == 200
        assert fleet.known().leaving
        # Another service may start at its name; plain services name no models.
        assert await fleet.beat(1, born=BORN + 1, models=None, service="p") == 200
        assert (fleet.known().model, fleet.known().kind) == ("", "service")
        assert await fleet.beat(1, name="plain", models=None) == 200
        assert await fleet.beat(2, name="plain", models=None) == 200

    play(scenario, born=BORN + 1)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda values: st.lists(values, max_size=3)
    | st.dictionaries(st.text(max_size=9), values, max_size=3),
    max_leaves=9,
)
KEYS = ("service", "address", "zone", "seq", "slots", "state", "born", "models")
BEATS = st.dictionaries(st.sampled_from(KEYS), JSON)


@given(st.binary(max_size=60) | BEATS.map(lambda fields: wire.beat_bytes(**fields)))
def test_no_announcement_affects_other_upstreams(content: bytes) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.beat(3, name="other", born=BORN)
        assert await fleet.beat_of(content) in (200, 400)
        assert fleet.known("other").ready
        now = asyncio.get_running_loop().time()
        for record in fleet.directory.records(now):
            assert record.pool and record.address

    play(scenario)


DOCUMENTS = st.dictionaries(
    st.sampled_from(("version", "routes", "services", "limits", "tenants")), JSON
)


@given(st.binary(max_size=60) | DOCUMENTS.map(lambda fields: wire.body(**fields)))
def test_every_document_is_decoded_or_refused(content: bytes) -> None:
    result = decode_document(content)
    assert result.is_ok() or result.is_err()


HEADER = st.tuples(
    st.sampled_from(
        [
            *(b"x-request-id", b"x-model", b"x-token-usage", b"x-prefix-hash"),
            *(b"x-deadline-ms", b"x-api-key", b"host", b"connection", b"x-load-report"),
        ]
    ),
    st.binary(max_size=20),
)


@given(st.lists(HEADER, max_size=6))
def test_every_request_head_is_decoded_or_refused(
    headers: list[tuple[bytes, bytes]],
) -> None:
    result = PlatformWire().read_call("POST", b"/a", tuple(headers))
    assert result.is_ok() or result.is_err()
    PlatformWire().read_answer(200, tuple(headers))


@given(st.lists(JSON, max_size=5))
def test_malformed_store_events_do_not_affect_the_others(items: list[Any]) -> None:
    valid = [7, "+", "salt", "part", 800, "m"]
    table = {"bootEpoch": 1, "next": 9, "lost": False, "events": [*items, valid]}
    decoded = msgspec.json.decode(msgspec.json.encode(table), type=_Events)
    assert tuple(valid) in _readable("s", decoded.events, _read_event)
    held = {"bootEpoch": 1, "next": 9, "held": [*items, ["salt", "part", 8, "m"]]}
    listed = msgspec.json.decode(msgspec.json.encode(held), type=_List)
    assert ("salt", "part", 8, "m") in _readable("s", listed.held, _read_held)


MOMENTS = st.integers(min_value=0, max_value=2**63 - 1)


@given(st.lists(MOMENTS, min_size=1, max_size=6))
def test_incarnations_sort_in_the_order_in_which_they_ran(
    moments: list[int],
) -> None:
    incarnations = [incarnation_name(moments[0])]
    for born in moments[1:]:
        incarnations.append(incarnation_after(incarnations[-1], born))
        assert born_ms(incarnations[-1]) == born
        assert announced_incarnation(incarnations[-1], born) == incarnations[-1]
    assert incarnations == sorted(incarnations)
