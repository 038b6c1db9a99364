"""When an upstream from which nothing comes is asked, and taken for dead."""

from __future__ import annotations

import asyncio
from typing import ClassVar, cast

import pytest

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.process.gateway import prober
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.version.silence import (
    IN_VAIN,
    SILENT_S,
    TRUSTED_S,
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
from tests.sidecar_bench import run

NEVER = float("-inf")


def asked(silence: Silence, until: float, step_s: float = 0.1) -> list[float]:
    """The moments at which the upstream is asked, looked at each ``step_s``."""
    moments = [round(n * step_s, 3) for n in range(round(until / step_s))]
    return [now for now in moments if silence.is_doubtful(now, NEVER)]


def test_an_upstream_without_requests_is_never_asked() -> None:
    assert asked(Silence(), 9.0) == []


def test_one_that_says_nothing_while_requests_are_open_is_asked() -> None:
    silence = Silence()
    silence.opened(0.0)
    assert asked(silence, 1.0)[0] == pytest.approx(SILENT_S)


def test_events_of_any_request_are_signs_of_incarnation() -> None:
    silence = Silence()
    silence.opened(0.0)
    for tenth in range(1, 50):
        silence.heard(tenth / 10)
        assert not silence.is_doubtful(tenth / 10 + 0.09, NEVER)


def test_a_live_but_silent_upstream_is_asked_now_and_then() -> None:
    """An upstream that lets requests wait for long is asked ever less often."""
    silence = Silence()
    silence.opened(0.0)
    moments = []
    for now in (n / 10 for n in range(40)):
        if silence.is_doubtful(now, NEVER):
            moments.append(now)
            silence.reached(now)
    pauses = [after - at for at, after in zip(moments, moments[1:])]
    assert len(moments) <= 4 and pauses == sorted(pauses)
    # It said something: the next silence is asked about as soon as the first.
    silence.heard(4.0)
    assert silence.is_doubtful(4.0 + SILENT_S, NEVER)


def test_one_question_in_vain_takes_nobody_for_dead() -> None:
    silence = Silence()
    silence.opened(0.0)
    answers = [silence.unanswered(0.3 * n) for n in range(IN_VAIN)]
    assert answers == [False] * (IN_VAIN - 1) + [True]


def test_what_may_be_repeated_is_broken_off_once() -> None:
    silence, broken = Silence(), list[str]()

    def first() -> None:
        broken.append("first")

    def second() -> None:
        broken.append("second")

    silence.watch(first)
    silence.watch(second)
    silence.unwatch(second)
    assert (silence.give_up(), broken) == (1, ["first"])
    assert silence.give_up() == 0


def test_others_are_believed_only_where_the_upstream_has_not_just_answered() -> None:
    silence = Silence()
    assert silence.doubt(0.0)
    assert silence.is_doubtful(0.0, NEVER)
    silence.reached(0.1)
    assert not silence.doubt(0.1 + TRUSTED_S / 2)
    assert silence.doubt(0.1 + 2 * TRUSTED_S)


def test_one_left_alone_is_asked_before_its_time_is_over() -> None:
    """Were it not, a request would have to find out, and be lost."""
    load = UpstreamLoad()
    load.unreachable(0.0)
    until = load.suspect_until
    moments = [n / 100 for n in range(200)]
    first = next(m for m in moments if load.silence.is_doubtful(m, until))
    assert first < until - 0.3
    load.silence.reached(first)
    assert load.reached() == 1
    assert load.suspect_until < 0


class DarkConn:
    """Connections to upstreams without power never come about."""

    dark: ClassVar[set[str]] = set()

    @classmethod
    async def open(cls, address: str) -> HttpConn:
        if address in cls.dark:
            await asyncio.sleep(0.05)
            raise UpstreamError("no connection in time", sent=False)
        return await HttpConn.open(address)


async def hang(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Take the request and say nothing."""
    await asyncio.Event().wait()


async def well(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer as one should."""
    writer.write(answer_bytes(req["id"], b"done"))


SAFE = route(path_prefix="/safe/", repeatable=True, max_runs=2, name="safe")


@pytest.mark.parametrize("dark", [True, False])
def test_repeatable_requests_leave_the_dead_and_stay_with_the_slow(
    monkeypatch: pytest.MonkeyPatch, dark: bool
) -> None:
    """A silent upstream keeps its requests as long as it grants connections."""
    monkeypatch.setattr(prober, "HttpConn", DarkConn)

    async def main() -> None:
        first, other = RawUpstream("u1", hang), RawUpstream("u2", well)
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
            # Nobody is sent to the dead one to find out whether it is back.
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
def test_how_an_earlier_incarnation_ends_its_request_says_nothing_of_the_next(
    ending: str,
) -> None:
    """An upstream starts again under its name while a request of before is open."""

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
            # What is known of an incarnation goes with it.
            del upstreams._loads["u1"]
            later = upstreams.load_of("u1")
            later.unreachable(asyncio.get_running_loop().time())
            suspected_until = later.suspect_until
            over.set()
            await calling
            assert (later.failures, later.suspect_until) == (1, suspected_until)

    run(main())


def test_a_question_to_an_earlier_incarnation_says_nothing_of_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer comes once another incarnation bears the name."""

    async def main() -> None:
        loads = {"u1": UpstreamLoad()}
        later = UpstreamLoad()

        class Lives:
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
        asked = loads["u1"]
        asked.silence.unanswered(0.0)
        incarnations = Lives()
        upstreams = cast(Upstreams, incarnations)
        await prober.Prober(upstreams, lambda: None)._ask(record("u1"))
        assert (asked.failures, later.failures) == (1, 0)
        assert incarnations.over == [asked]

    asyncio.run(main())
