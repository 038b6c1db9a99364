"""When an upstream that sends nothing is probed, and when it counts as dead."""

from __future__ import annotations

import asyncio
from typing import ClassVar, cast

import pytest

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.process.gateway import prober
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.version.silence import (
    MAX_FAILED_PROBES,
    OWN_PROBE_TRUST_S,
    SILENT_S,
    Silence,
)
from gooseberrydale.version.upstream_load import UpstreamLoad
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    record,
    route,
    running_gateway,
)
from tests.sidecar_harness import run

NEVER = float("-inf")


def probed(silence: Silence, until: float, step_s: float = 0.1) -> list[float]:
    """Return the times of probes if a probe is considered every ``step_s``."""
    moments = [round(n * step_s, 3) for n in range(round(until / step_s))]
    return [now for now in moments if silence.is_probe_due(now, NEVER)]


def test_an_upstream_without_requests_is_never_probed() -> None:
    assert probed(Silence(), 9.0) == []


def test_an_upstream_that_is_silent_while_requests_are_open_is_probed() -> None:
    silence = Silence()
    silence.opened(0.0)
    assert probed(silence, 1.0)[0] == pytest.approx(SILENT_S)


def test_events_of_any_request_show_that_the_upstream_runs() -> None:
    silence = Silence()
    silence.opened(0.0)
    for tenth in range(1, 50):
        silence.note_received(tenth / 10)
        assert not silence.is_probe_due(tenth / 10 + 0.09, NEVER)


def test_a_live_but_silent_upstream_is_probed_ever_less_often() -> None:
    """An upstream that queues requests for long must not be flooded with probes."""
    silence = Silence()
    silence.opened(0.0)
    moments = []
    for now in (n / 10 for n in range(40)):
        if silence.is_probe_due(now, NEVER):
            moments.append(now)
            silence.probe_succeeded(now)
    pauses = [after - at for at, after in zip(moments, moments[1:])]
    assert len(moments) <= 4 and pauses == sorted(pauses)
    # Bytes arrived: the next silence leads to a probe as early as the first one.
    silence.note_received(4.0)
    assert silence.is_probe_due(4.0 + SILENT_S, NEVER)


def test_a_single_failed_probe_declares_no_upstream_dead() -> None:
    silence = Silence()
    silence.opened(0.0)
    verdicts = [silence.probe_failed(0.3 * n) for n in range(MAX_FAILED_PROBES)]
    assert verdicts == [False] * (MAX_FAILED_PROBES - 1) + [True]


def test_registered_requests_are_aborted_once() -> None:
    silence, broken = Silence(), list[str]()

    def first() -> None:
        broken.append("first")

    def second() -> None:
        broken.append("second")

    silence.watch(first)
    silence.watch(second)
    silence.unwatch(second)
    assert (silence.abort_all(), broken) == (1, ["first"])
    assert silence.abort_all() == 0


def test_reports_by_others_are_ignored_just_after_a_successful_probe() -> None:
    silence = Silence()
    assert silence.report_dead(0.0)
    assert silence.is_probe_due(0.0, NEVER)
    silence.probe_succeeded(0.1)
    assert not silence.report_dead(0.1 + OWN_PROBE_TRUST_S / 2)
    assert silence.report_dead(0.1 + 2 * OWN_PROBE_TRUST_S)


def test_an_avoided_upstream_is_probed_before_its_backoff_ends() -> None:
    """Otherwise a request would be sent to find out, and lost."""
    load = UpstreamLoad()
    load.note_unreachable(0.0)
    until = load.suspect_until
    moments = [n / 100 for n in range(200)]
    first = next(m for m in moments if load.silence.is_probe_due(m, until))
    assert first < until - 0.3
    load.silence.probe_succeeded(first)
    assert load.reached() == 1
    assert load.suspect_until < 0


class DarkConn:
    """Connections that fail for the upstreams in ``dark``, as without power."""

    dark: ClassVar[set[str]] = set()

    @classmethod
    async def open(cls, address: str) -> HttpConn:
        if address in cls.dark:
            await asyncio.sleep(0.05)
            raise UpstreamError("no connection in time", sent=False)
        return await HttpConn.open(address)


async def never_answer(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Accept the request and send nothing."""
    await asyncio.Event().wait()


async def answer_normally(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer correctly."""
    writer.write(answer_bytes(req["id"], b"done"))


SAFE = route(path_prefix="/safe/", repeatable=True, max_runs=2, name="safe")


@pytest.mark.parametrize("dark", [True, False])
def test_repeatable_requests_leave_a_dead_upstream_but_not_a_slow_one(
    monkeypatch: pytest.MonkeyPatch, dark: bool
) -> None:
    """A silent upstream keeps its requests as long as it grants connections."""
    monkeypatch.setattr(prober, "HttpConn", DarkConn)

    async def main() -> None:
        first, other = RawUpstream("u1", never_answer), RawUpstream(
            "u2", answer_normally
        )
        document = declared(route(), SAFE)
        async with running_gateway(document, first, other) as gateway:
            DarkConn.dark = {first.address} if dark else set()
            calls = [
                asyncio.create_task(call(gateway, "/safe/1", request_id=f"r{n}"))
                for n in range(6)
            ]
            await asyncio.sleep(1.5)
            done = [task for task in calls if task.done()]
            assert first.requests and other.requests
            assert len(done) == (6 if dark else len(other.requests))
            assert all(task.result().status == 200 for task in done)
            # No request is sent to the dead upstream to find out whether it is back.
            seen = len(first.requests)
            if dark:
                for n in range(10):
                    got = await call(gateway, "/safe/1", request_id=f"s{n}")
                    assert got.status == 200
                assert len(first.requests) == seen
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    run(main())


@pytest.mark.parametrize("ending", ["broken", "answered"])
def test_a_late_end_at_an_earlier_incarnation_does_not_count_for_the_next(
    ending: str,
) -> None:
    """An upstream restarts under its name while an earlier request is open."""

    async def main() -> None:
        over = asyncio.Event()

        async def end_late(req: dict[str, str], body: bytes, writer: Writer) -> None:
            await over.wait()
            if ending == "answered":
                writer.write(answer_bytes(req["id"], b"done"))
            else:
                writer.transport.abort()

        upstream = RawUpstream("u1", end_late)
        async with running_gateway(declared(route(), SAFE), upstream) as gateway:
            calling = asyncio.create_task(call(gateway, "/safe/1", request_id="r1"))
            while not upstream.requests:
                await asyncio.sleep(0.01)
            upstreams = gateway._upstreams
            # The load of an incarnation is dropped with it.
            del upstreams._loads["u1"]
            later = upstreams.load_of("u1")
            later.note_unreachable(asyncio.get_running_loop().time())
            suspected_until = later.suspect_until
            over.set()
            await calling
            assert (later.failures, later.suspect_until) == (1, suspected_until)

    run(main())


def test_a_probe_of_an_earlier_incarnation_does_not_count_for_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The probe fails after the upstream has restarted under its name."""

    async def main() -> None:
        loads = {"u1": UpstreamLoad()}
        later = UpstreamLoad()

        class IncarnationRecorder:
            def __init__(self) -> None:
                self.over: list[UpstreamLoad] = []

            def load_of(self, name: str) -> UpstreamLoad:
                return loads[name]

            def ended(
                self, name: str, load: UpstreamLoad, now: float, reason: str
            ) -> None:
                self.over.append(load)

        class LateConn:
            @classmethod
            async def open(cls, address: str) -> HttpConn:
                loads["u1"] = later
                raise UpstreamError("no connection in time", sent=False)

        monkeypatch.setattr(prober, "HttpConn", LateConn)
        probed = loads["u1"]
        probed.silence.probe_failed(0.0)
        incarnations = IncarnationRecorder()
        upstreams = cast(Upstreams, incarnations)
        await prober.Prober(upstreams, lambda: None)._probe(record("u1"))
        assert (probed.failures, later.failures) == (1, 0)
        assert incarnations.over == [probed]

    asyncio.run(main())
