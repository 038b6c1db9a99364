"""What gateways learn of their upstreams' speeds, alone and from each other."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydale.process.cfg import GatewayCfg, NodeCfg
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.gateway import gateway_record
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.members import Members
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.peer_loads import OTHER_ZONES, PeerLoads
from gooseberrydale.version.speeds.messages import (
    PoolReport,
    Ratios,
    SpeedReport,
    Statement,
    encode_report,
    pool_key,
    upstream_key,
)
from gooseberrydale.version.speeds.pool_rates import Rates, RateSamples
from gooseberrydale.version.speeds.pool_speeds import PRIOR_RATIOS, REFRESH_S
from gooseberrydale.version.speeds.reports import (
    FAR_BYTES_PER_S,
    NEAR_BYTES_PER_S,
    SpeedReports,
)
from gooseberrydale.version.speeds.speed import NEUTRAL, Prefill
from gooseberrydale.version.speeds.stated_slowness import DEFAULT_SPELL_S
from gooseberrydale.version.stores import Stores
from tests.builders_gateway import POOL as DESK
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    chunk,
    declared,
    event,
    no_limits,
    prompt,
    record,
    route,
    running_gateway,
    stream_head,
)
from tests.builders_speeds import (
    POOL,
    START_S,
    TOKENS_PER_S,
    Node,
    Play,
    fleet_of,
    neutral,
    node,
)
from tests.free_ports import free_port
from tests.sidecar_harness import run

NAMES = tuple(f"e{number}" for number in range(4))


def errors_of(play: Play) -> list[float]:
    """Return the errors of all gateways' rates, the largest last.

    Engines that answer less than once a second are left out.
    """
    return sorted(
        abs(speed.own_tokens_per_s / (TOKENS_PER_S * engine.factor) - 1)
        for engine in play.engines.values()
        for gateway in play.nodes
        for speed in [gateway.speeds.of(POOL, engine.name, play.now)]
        if engine.answers > play.now
    )


def trained(names: tuple[str, ...] = NAMES, *, end: float = 10.0) -> Node:
    """Return a gateway to which all engines of a pool seem equally fast."""
    known = node()
    for number in range(40):
        for name in names:
            now = end * number / 40
            known.speeds.stated(POOL, name, 1.0, now)
            own = 3_000 if number % 2 else 600
            answer(known, name, own, now)
            known.speeds.of(POOL, name, now)
    return known


def answer(known: Node, name: str, own: int, now: float, *, times: float = 1.0) -> None:
    took_s = times * (START_S + own / TOKENS_PER_S)
    known.speeds.first_event(POOL, name, Prefill(own, 0.0), took_s, now)


# Seconds after which nine of ten rates, and all of them, are within 20 %.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "announced, lost, most_s, all_s",
    [(True, 0.0, 4.5, 10.0), (True, 0.3, 7.0, 18.0), (False, 0.0, 10.0, 18.0)],
)
def test_rates_of_unequal_engines_are_learned(
    seed: int, announced: bool, lost: float, most_s: float, all_s: float
) -> None:
    """Guards against rates that noisy neighbours or lost reports distort."""
    play = Play(seed, announced=announced, lost=lost)
    play.run_until(most_s)
    errors = errors_of(play)
    assert errors[int(0.9 * len(errors))] < 0.2
    play.run_until(all_s)
    assert errors_of(play)[-1] < 0.2


@pytest.mark.parametrize("announced", [True, False])
def test_choices_by_learned_speeds_give_earlier_first_events(announced: bool) -> None:
    mean_s = {}
    for speed_of in (None, neutral):
        play = Play(announced=announced, speed_of=speed_of)
        play.run_until(12.0)
        mean_s[speed_of] = play.mean_s(since=4.0)
    assert mean_s[None] < 0.9 * mean_s[neutral]


def test_one_late_answer_changes_nothing() -> None:
    known = trained()
    before = [known.speeds.of(POOL, name, 11.0) for name in NAMES]
    answer(known, "e0", 3_000, 11.0, times=40.0)
    after = [known.speeds.of(POOL, name, 12.0) for name in NAMES]
    for old, new in zip(before, after):
        assert new.own_tokens_per_s == pytest.approx(old.own_tokens_per_s, rel=0.02)
        assert new.weight == old.weight


def test_pool_is_the_prior_of_an_upstream_that_just_started() -> None:
    known = trained()
    speed = known.speeds.of(POOL, "new", 11.0)
    assert speed.own_tokens_per_s == pytest.approx(TOKENS_PER_S, rel=0.1)
    for _ in range(PRIOR_RATIOS):
        answer(known, "new", 3_000, 11.0, times=3.0)
    again = known.speeds.of(POOL, "new", 12.0)
    assert again.own_tokens_per_s > 0.5 * speed.own_tokens_per_s
    for _ in range(PRIOR_RATIOS + 3):
        answer(known, "new", 3_000, 12.0, times=3.0)
    slow = known.speeds.of(POOL, "new", 13.0)
    assert slow.own_tokens_per_s < 0.5 * speed.own_tokens_per_s and slow.weight < 0.5
    known.speeds.forget("new")
    assert known.speeds.of(POOL, "new", 14.0).weight == 1.0


def test_rates_of_a_slower_pool_are_not_raised_by_the_neutral_ones() -> None:
    """Guards against rates that suit the engines of another deployment."""
    known = node()
    known.speeds.stated(POOL, "e0", 1.0, 0.0)
    for number in range(6):
        prefill = Prefill(3_000, 9_000.0)
        known.speeds.first_event(POOL, "e0", prefill, 1.2, number / 10)
    queued = known.speeds.of(POOL, "e0", 1.0)
    assert queued.own_tokens_per_s <= 10_500
    for number in range(6):
        prefill = Prefill(3_000, 0.0)
        known.speeds.first_event(POOL, "e0", prefill, 0.3, 1 + number / 10)
    speed = known.speeds.of(POOL, "e0", 2.0)
    assert speed.own_tokens_per_s == pytest.approx(10_000)
    assert speed.prefill_tokens_per_s <= speed.own_tokens_per_s


def test_short_queues_do_not_teach_the_queue_rate() -> None:
    """Guards against queues that seem to cost nothing after calm seconds."""
    samples = RateSamples()
    for number in range(20):
        samples.add_prompt("e0", Prefill(3_000, 0.0), 0.1, number)
        samples.add_prompt("e0", Prefill(3_000, 1_500.0), 0.1, number)
    calm = samples.fit(lambda _: 1.0, 20.0)
    assert calm.own_tokens_per_s == pytest.approx(30_000)
    assert calm.prefill_tokens_per_s == pytest.approx(30_000 * 4 / 7)
    for number in range(9):
        # Most short queues have ended, and the long one runs at 20,000 tokens/s.
        samples.add_prompt("e0", Prefill(3_000, 3_000.0), 0.1, number)
        samples.add_prompt("e0", Prefill(3_000, 20_000.0), 1.1, number)
    busy = samples.fit(lambda _: 1.0, 20.0)
    assert busy.prefill_tokens_per_s == pytest.approx(20_000)


def test_one_late_prompt_does_not_teach_the_queue_rate() -> None:
    samples = RateSamples()
    for number in range(7):
        ahead, took_s = (90_000.0, 90.0) if number == 3 else (6_000.0, 0.3)
        samples.add_prompt("e0", Prefill(3_000, 0.0), 0.1, number)
        samples.add_prompt("e0", Prefill(3_000, ahead), took_s, number)
    rates = samples.fit(lambda _: 1.0, 7.0)
    assert rates.prefill_tokens_per_s == pytest.approx(30_000)


def test_fetches_and_services_have_rates_of_their_own() -> None:
    samples = RateSamples()
    for number in range(9):
        samples.add_prompt("e0", Prefill(3_000, 0.0), 0.1, number)
        samples.add_prompt("e0", Prefill(3_000, 0.0, 6_000), 0.15, number)
        samples.add_service("e0", 0.09, number)
    rates = samples.fit(lambda _: 1.0, 9.0)
    assert rates.fetch_tokens_per_s == pytest.approx(120_000)
    assert rates.service_run_s == pytest.approx(0.09)


def test_stated_slowness_takes_effect_at_once_everywhere_and_ends() -> None:
    a, relay, far_relay, b = nodes = [trained() for _ in range(4)]
    for known in nodes:
        known.reports.own(18.0), known.reports.zone(18.0)
    a.speeds.stated(POOL, "e1", 2.5, 20.0)
    assert a.speeds.of(POOL, "e1", 20.0).slowness == pytest.approx(2.5)
    relay.reports.merge_own("a", a.reports.own(20.01), 20.01)
    far_relay.reports.merge_area("z1", relay.reports.zone(20.02), 20.02)
    b.reports.merge_area(OTHER_ZONES, far_relay.reports.elsewhere(20.03), 20.04)
    for known in (relay, far_relay, b):
        assert 2.2 < known.speeds.of(POOL, "e1", 20.05).slowness < 2.5
        # What comes from elsewhere must not circulate between zones.
        assert known is relay or not known.reports.zone(20.05)
    assert b.speeds.of(POOL, "e1", 20.0 + DEFAULT_SPELL_S + 0.1).slowness == 1.0


def test_older_statement_does_not_replace_a_newer_one() -> None:
    known = trained()
    known.speeds.stated(POOL, "e1", 1.0, 20.0)
    late = Statement(upstream_key(POOL, "e1"), 2.5, 19.9)
    known.reports.merge_own("a", encode_report(SpeedReport([late]), 20.0), 20.0)
    assert known.speeds.of(POOL, "e1", 20.0).slowness == 1.0


@pytest.mark.parametrize("gap_s", [0.1, 0.2])
def test_slowness_decays_over_the_length_of_earlier_spells(gap_s: float) -> None:
    """Guards against engines that are avoided for long after a slow spell."""
    known, now = trained(), 20.0
    for _ in range(100):
        for tick in range(round(2.0 / gap_s) + 1):
            is_slow = tick < 2.0 / gap_s
            known.speeds.stated(POOL, "e1", 2.0 if is_slow else 1.0, now)
            now += gap_s
        # The end of a spell that is noticed late teaches nothing.
        known.speeds.stated(POOL, "e2", 2.0, now)
        now += 5.0
        known.speeds.stated(POOL, "e2", 1.0, now)
    known.speeds.stated(POOL, "e1", 2.0, now)
    assert known.speeds.of(POOL, "e1", now + 1.0).slowness == pytest.approx(
        1.5, abs=0.05
    )


def test_slowness_of_an_answer_does_not_remain_in_the_factor() -> None:
    known = trained()
    for number in range(60):
        now = 20.0 + number / 10
        known.speeds.stated(POOL, "e1", 2.5, now)
        answer(known, "e1", 3_000, now, times=2.5)
    speed = known.speeds.of(POOL, "e1", 27.0)
    assert speed.own_tokens_per_s == pytest.approx(TOKENS_PER_S, rel=0.1)


def test_gateway_that_just_started_uses_the_first_report() -> None:
    old, new = trained(), node()
    assert not new.speeds.is_on(POOL)
    assert new.speeds.of(POOL, "e0", 10.0) is NEUTRAL
    new.reports.merge_own("a", old.reports.own(10.0), 10.0)
    assert new.speeds.is_on(POOL) and not new.speeds.is_on("another pool")
    speed = new.speeds.of(POOL, "e0", 10.0)
    assert speed.own_tokens_per_s == pytest.approx(TOKENS_PER_S, rel=0.1)
    assert speed.start_s == pytest.approx(START_S, rel=0.1)


def test_one_wrong_reporter_does_not_decide() -> None:
    """Guards against a faulty gateway that makes an upstream look slow to all."""
    known = trained()
    before = known.speeds.of(POOL, "e1", 20.0)
    wrong = SpeedReport(
        ratios=[Ratios(upstream_key(POOL, "e1"), (-1.6, -1.6, -1.6, -1.6))],
        pools=[PoolReport(pool_key(POOL), Rates(1e6, 1e6, 1e6, 0.0, 1.0))],
    )
    known.reports.merge_own("a", encode_report(wrong, 20.0), 20.0)
    after = known.speeds.of(POOL, "e1", 21.0)
    assert after.own_tokens_per_s == pytest.approx(before.own_tokens_per_s, rel=0.05)


@pytest.mark.parametrize("gateways", [9, 117])
def test_reports_stay_within_their_bound(gateways: int) -> None:
    """Guards against reports that fill the links of a fleet of 350 gateways."""
    names = tuple(f"e{number}" for number in range(100))
    known = trained(names)
    known.reports = SpeedReports(known.speeds, fleet_of(gateways))
    sent, zone_sent = [0, 0], [0, 0]
    for tick in range(400):
        now, counted = 20.0 + tick / 20, tick // 200
        for name in names:
            known.speeds.stated(POOL, name, 1.0 + 2 * (tick % 2), now)
            answer(known, name, 3_000, now)
        sent[counted] += len(known.reports.own(now))
        zone_sent[counted] += len(known.reports.zone(now))
    # The first ten seconds contain what may be sent at once.
    assert sent[1] / 10 * (gateways - 1) <= NEAR_BYTES_PER_S
    assert 0.3 * FAR_BYTES_PER_S < zone_sent[1] / 10 <= FAR_BYTES_PER_S


packed_reports = st.builds(
    lambda lists: bytes([1]) + b"".join(lists), st.lists(st.binary(max_size=40))
)


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.one_of(st.binary(max_size=80), packed_reports), max_size=5))
def test_any_report_leaves_speeds_within_bounds(reports: list[bytes]) -> None:
    known = SHARED_NODE
    key, pool = upstream_key(POOL, "e1"), pool_key(POOL)
    for number, data in enumerate(reports):
        known.reports.merge_own("a", data, 20.0)
        # The same bytes, as if they were about a known upstream and pool.
        about = data[:2] + key.to_bytes(4, "big") + data[6:]
        known.reports.merge_area(f"z{number}", about, 20.0)
        known.reports.merge_own("a", b"\1\0\0\1" + pool.to_bytes(4, "big") + data, 20)
    check_bounds(known, 20.0)


@settings(derandomize=True, max_examples=100)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(NAMES),
            st.floats(),
            st.integers(-1, 100_000),
            st.floats(),
            st.floats(),
        ),
        max_size=40,
    )
)
def test_any_answers_leave_speeds_within_bounds(
    answers: list[tuple[str, float, int, float, float]],
) -> None:
    known = node()
    now = 0.0
    for name, slowness, own, ahead, took_s in answers:
        now += 2 * REFRESH_S
        known.speeds.stated(POOL, name, slowness, now)
        known.speeds.first_event(POOL, name, Prefill(own, ahead), took_s, now)
        known.speeds.service_ended(POOL, name, took_s, now)
        check_bounds(known, now)
        known.reports.own(now)


def check_bounds(known: Node, now: float) -> None:
    for name in NAMES:
        for at in (now, now + REFRESH_S, now + 100.0):
            speed = known.speeds.of(POOL, name, at)
            assert 0.2 <= speed.slowness <= 10.0
            assert 0.19 <= speed.weight <= 5.1
            assert 5.0 <= speed.prefill_tokens_per_s <= 5e7
            assert 20.0 <= speed.own_tokens_per_s <= 5e7
            assert 0.0 <= speed.start_s <= 50.0 and speed.service_run_s <= 3_000.0


SHARED_NODE = trained()


def members_of(weights: dict[str, float]) -> Members:
    members = Members("", "")
    members.refresh(tuple(record(f"u{number}", pool="") for number in range(40)))
    members.weigh(weights)
    return members


KEYS = [b"prefix %d" % number for number in range(400)]
some_weights = st.dictionaries(
    st.sampled_from([f"u{number}" for number in range(40)]),
    st.sampled_from([0.41, 0.8, 1.0, 1.25]),
)


@settings(derandomize=True, max_examples=40)
@given(some_weights, st.sampled_from([0.33, 0.64, 1.0, 1.56]))
def test_changed_weight_moves_prefixes_only_to_or_from_its_upstream(
    weights: dict[str, float], changed: float
) -> None:
    before, after = members_of(weights), members_of({**weights, "u7": changed})
    for key in KEYS:
        old, new = (
            [name for name in members.preferred(key) if name != "u7"]
            for members in (before, after)
        )
        assert old == new


def test_equal_weights_keep_the_order_of_unweighted_members() -> None:
    """Guards against prefixes that move as soon as speeds are learned."""
    plain = members_of({})
    for weight in (1.0, 0.8):
        equal = members_of({name: weight for name in plain.names})
        assert all(plain.preferred(key) == equal.preferred(key) for key in KEYS)


def test_prefixes_are_preferred_in_proportion_to_weights() -> None:
    members = members_of({f"u{number}": 0.5 for number in range(20)})
    firsts = [members.preferred(b"%d" % number)[0] for number in range(6_000)]
    slow = sum(int(name[1:]) < 20 for name in firsts)
    assert slow / len(firsts) == pytest.approx(1 / 3, abs=0.03)


@pytest.mark.parametrize("learn", [True, False])
def test_choices_use_speeds_only_where_they_are_learned(learn: bool) -> None:
    """Guards against deployments that are served otherwise than they ask for."""
    directory, known = Directory(), trained(("u0", "u1", "u2"))
    for name in ("u0", "u1", "u2"):
        directory.offer(record(name, pool=POOL, model="m", lease_s=99.0), 0.0)
    for number in range(60):
        answer(known, "u0", 3_000, 11.0 + number / 100, times=4.0)
    view = Upstreams(
        *(directory, "local", random.Random(1), PeerLoads(), NamedWeights(), 8.0),
        *(Stores(), EndedIncarnations(), no_limits()),
        sharing=CapacitySharing(GatewayCfg(learn_speeds=learn), known.speeds),
        speeds=known.speeds,
    )
    firsts = []
    for number in range(200):
        asked = prompt(("guide", 100), (f"lot {number}", 100))
        query = UpstreamQuery(Pool(POOL, 10, EngineSize(48, 100_000)), asked, "")
        candidates = [candidate for _, candidate in view.candidates(query, 20.0)]
        firsts.append(candidates[0].name)
        assert all((c.speed is NEUTRAL) is not learn for c in candidates)
    assert (firsts.count("u0") < 40) is learn


def test_gateway_measures_first_events_and_services(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against times that include the rest of an answer or resumed events."""

    async def script(req: dict[str, str], body: bytes, writer: Writer) -> None:
        await asyncio.sleep(0.05)
        if "/streams/" not in req["line"]:
            writer.write(answer_bytes(req["id"], b"done"))
            return
        writer.write(stream_head(req["id"]) + chunk(b": queued\n\n"))
        await asyncio.sleep(0.05)
        writer.write(chunk(event(1)))
        await asyncio.sleep(0.2)
        writer.write(chunk(event(2)) + b"0\r\n\r\n")

    async def main() -> None:
        stream = route(path_prefix="/streams/", streamed=True, name="streams")
        upstream = RawUpstream("u1", script)
        async with running_gateway(declared(route(), stream), upstream) as gateway:
            speeds = gateway._upstreams.speeds
            seen: list[tuple[Any, ...]] = []

            def measured(_pool: str, _name: str, *what: Any) -> None:
                seen.append(what[:-1])

            monkeypatch.setattr(speeds, "first_event", measured)
            monkeypatch.setattr(speeds, "service_ended", measured)
            parts = "Parts: guide,lot,own"
            await call(gateway, "/streams/1", extra=parts)
            assert not seen
            speeds.stated(DESK, "u1", 1.0, asyncio.get_running_loop().time())
            await call(gateway, "/streams/1", extra=parts)
            prefill, first_s = seen.pop()
            assert prefill == Prefill(10, 0) and 0.1 <= first_s < 0.3
            await call(gateway, "/streams/1", extra=f"{parts}\r\nLast-Event-Id: 1")
            assert not seen
            await call(gateway)
            assert len(seen) == 1 and 0.05 <= seen[0][0] < 0.2

    run(main())


def test_gateways_report_speeds_to_each_other() -> None:
    """Guards against a gateway that does not pass speeds to its reports of work."""

    async def main() -> None:
        ports = [f"127.0.0.1:{free_port()}" for _ in range(2)]
        async with (
            running_gateway(declared(), gossip=ports[0]) as first,
            running_gateway(declared(), gossip=ports[1], name="g2") as second,
        ):
            now = asyncio.get_running_loop().time()
            other = gateway_record(NodeCfg("g2"), ports[1], "1")
            first.directory.offer(other, now)
            first._upstreams.speeds.stated(DESK, "u1", 2.0, now)
            first._gossip.changed()
            await asyncio.sleep(0.2)
            assert second._upstreams.sharing.learns_speeds(DESK)

    run(main())
