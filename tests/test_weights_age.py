"""How long newer weights have been named, in processes that learn of them late."""

from __future__ import annotations

import asyncio
import math
import pathlib

import msgspec
import pytest

from gooseberrydale.connection.codec import decode
from gooseberrydale.connection.mesh import NamedVersion, RevisionAck
from gooseberrydale.connection.mesh_session import REPEAT_WEIGHTS_S
from gooseberrydale.process.control.named_weights_cache import (
    WRITE_INTERVAL_S,
    NamedWeightsCache,
)
from gooseberrydale.version.named_weights import MAX_VERSIONS_PER_MODEL, NamedWeights
from tests.builders_logs import logged
from tests.builders_weights import BOUND_S, MODEL, WeightsControl, WeightsGateway
from tests.clock import run_paused
from tests.free_ports import free_address
from tests.test_control_open import Replica, until

SETTLE_S = 2.0
"""More than the sessions need to exchange what they know."""


async def replica_with_engines() -> WeightsControl:
    """Return a replica with an engine on each of versions 1, 2 and 3."""
    control = await WeightsControl.start()
    for version in (1, 2, 3):
        control.announce(f"on{version}", version)
    return control


def test_restarted_gateway_sends_nothing_to_engines_outdated_past_the_bound() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        control.name_version(1)
        await asyncio.sleep(10.0)
        control.name_version(2)
        await asyncio.sleep(BOUND_S - SETTLE_S)
        gateway = await WeightsGateway.start("g1", control)
        await asyncio.sleep(SETTLE_S)
        assert gateway.candidates().keys() == {"on2", "on3"}

    run_paused(main())


def test_gateway_that_skipped_a_version_counts_from_the_first_newer_one() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        gateway = await WeightsGateway.start("g1", control)
        control.name_version(1)
        await asyncio.sleep(10.0)
        await gateway.close()
        control.name_version(2)
        await asyncio.sleep(5.0)
        control.name_version(3)
        late = await WeightsGateway.start("g1", control)
        await asyncio.sleep(SETTLE_S)
        ages_s = late.candidates()
        # Version 2 was named 7 s ago, and version 3 was 2 s ago.
        assert "on1" not in ages_s
        assert round(ages_s["on2"], 1) == SETTLE_S

    run_paused(main())


def test_restarted_control_replica_learns_the_age_of_weights_from_gateways() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        control.name_version(1)
        running = await WeightsGateway.start("g1", control)
        await asyncio.sleep(10.0)
        control.name_version(2)
        await asyncio.sleep(BOUND_S - 2 * SETTLE_S)
        await control.node.close()
        restarted = await replica_with_engines()
        restarted.name_version(2)
        running.connect(restarted)
        await asyncio.sleep(SETTLE_S)
        new = await WeightsGateway.start("g2", restarted)
        await asyncio.sleep(SETTLE_S)
        assert new.candidates().keys() == {"on2", "on3"}

    run_paused(main())


def test_replica_passes_on_the_age_of_old_weights_that_it_learns_late() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        control.name_version(1)
        running = await WeightsGateway.start("g1", control)
        await asyncio.sleep(10.0)
        control.name_version(2)
        await asyncio.sleep(REPEAT_WEIGHTS_S + SETTLE_S)
        await control.node.close()
        restarted = await replica_with_engines()
        restarted.name_version(2)
        new = await WeightsGateway.start("g2", restarted)
        await asyncio.sleep(SETTLE_S)
        running.connect(restarted)
        await asyncio.sleep(SETTLE_S)
        assert new.candidates().keys() == {"on2", "on3"}

    run_paused(main())


def test_version_that_is_received_late_counts_from_when_it_was_named() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        control.name_version(1)
        gateway = await WeightsGateway.start("g1")
        session = gateway.connect(control)
        await asyncio.sleep(10.0)
        session.silent.add("server")
        control.name_version(2)
        await asyncio.sleep(0.9)
        session.silent.clear()
        await asyncio.sleep(SETTLE_S)
        assert round(gateway.candidates()["on1"], 1) == 0.9 + SETTLE_S

    run_paused(main())


def test_processes_log_the_age_of_a_version_when_they_learn_of_it() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        with logged("weights_named") as lines:
            control.name_version(2)
            await asyncio.sleep(5.0)
            await WeightsGateway.start("g1", control)
            await asyncio.sleep(SETTLE_S)
        assert [(line["model"], line["version"]) for line in lines] == [(MODEL, 2)] * 2
        assert [line["age_ms"] for line in lines] == [0.0, 5_000.0]

    run_paused(main())


@pytest.mark.parametrize("version, age_s", [(9, 20.0), (2, math.nan), (2, math.inf)])
def test_wrong_report_changes_no_age(version: int, age_s: float) -> None:
    named = NamedWeights()
    named.record({MODEL: 2}, 10.0)
    named.merge([NamedVersion(MODEL, version, age_s)], 12.0)
    assert [named.outdated_for_s(MODEL, known, 12.0) for known in (1, 2)] == [2.0, 0.0]
    assert all(math.isfinite(item.age_s) for item in named.report(12.0))


def test_reports_that_go_around_never_raise_an_age() -> None:
    named = [NamedWeights(), NamedWeights()]
    named[0].record({MODEL: 2}, 0.0)
    for step in range(1, 2_000):
        now = step * 0.0307
        sender, receiver = named[step % 2], named[(step + 1) % 2]
        receiver.merge(sender.report(now), now)
    now = 2_000 * 0.0307
    assert all(
        now - 0.1 < weights.age_s(MODEL, 2, now) <= now + 1e-6 for weights in named
    )


def test_versions_beyond_the_limit_are_dropped_for_good() -> None:
    named, other = NamedWeights(), NamedWeights()
    for version in range(1, MAX_VERSIONS_PER_MODEL + 2):
        other.record({MODEL: version}, float(version))
        named.record({MODEL: version}, float(version))
    known = {item.version for item in named.report(100.0)}
    assert known == set(range(2, MAX_VERSIONS_PER_MODEL + 2))
    assert named.merge([NamedVersion(MODEL, 1, 99.0)], 100.0) == []
    assert {item.version for item in named.report(100.0)} == known


def test_only_recent_versions_are_repeated_to_a_peer() -> None:
    async def main() -> None:
        control = await WeightsControl.start()
        control.name_version(1)
        await asyncio.sleep(REPEAT_WEIGHTS_S)
        control.name_version(2)
        await asyncio.sleep(5.0)
        gateway = await WeightsGateway.start("g1")
        session = gateway.connect(control)
        await asyncio.sleep(REPEAT_WEIGHTS_S)
        acks = [msg for msg in session.sent["server"] if isinstance(msg, RevisionAck)]
        versions = [tuple(item.version for item in ack.weights) for ack in acks]
        assert versions[0] == (1, 2)
        assert set(versions[1:]) == {(2,), ()}
        assert versions[-1] == ()

    run_paused(main())


def test_peer_of_an_earlier_release_that_reports_no_ages_is_accepted() -> None:
    without_ages = msgspec.msgpack.encode(
        ("RevisionAck", {"name": "c1", "revision": 3, "sent_at": 1.0, "echo_at": None})
    )
    assert decode(without_ages) == RevisionAck("c1", 3, 1.0)


def test_age_of_weights_survives_a_restart_of_all_processes(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        address = free_address()
        replica = await Replica(tmp_path, address, (address,), True).start()
        await until(lambda: name_weights(replica, 2))
        await asyncio.sleep(SETTLE_S)
        await replica.control.close()
        restarted = await Replica(tmp_path, address, (address,), False).start()
        await until(lambda: restarted.control.store.config.weights)
        now = asyncio.get_running_loop().time()
        age_s = restarted.control._named_weights.age_s(MODEL, 2, now)
        await restarted.control.close()
        assert age_s >= SETTLE_S

    asyncio.run(main())


async def name_weights(replica: Replica, version: int) -> bool:
    assert replica.documents is not None
    return (await replica.documents.name_weights(MODEL, version)).is_ok()


def test_killed_replica_restores_the_age_of_weights_from_its_last_write(
    tmp_path: pathlib.Path,
) -> None:
    def cache(named: NamedWeights) -> NamedWeightsCache:
        return NamedWeightsCache(tmp_path / "weights", named, BOUND_S, named.merge)

    async def killed() -> None:
        named = NamedWeights()
        await cache(named).start()
        named.record({MODEL: 2}, asyncio.get_running_loop().time())
        await asyncio.sleep(2 * WRITE_INTERVAL_S + 0.5)

    async def restarted() -> float:
        named = NamedWeights()
        await cache(named).start()
        return named.age_s(MODEL, 2, asyncio.get_running_loop().time())

    asyncio.run(killed())
    assert asyncio.run(restarted()) >= WRITE_INTERVAL_S
    (tmp_path / "weights").write_bytes(b"no record")
    assert asyncio.run(restarted()) == 0.0
