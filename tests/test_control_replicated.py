"""Three control processes over real sockets and folders, on one event loop."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable, Callable

from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.process.control.first_start import init_folder, recover_folder
from gooseberrydale.version.control_state import NUMBERS_SKIPPED_AFTER_RECOVERY
from gooseberrydale.version.known_controls import KnownControls
from tests.builders_control import claim, finish, holder
from tests.builders_operators import FLEET_TOKEN, Cluster
from tests.builders_operators import client as client_of

TIMEOUT_S = 60.0
PROFILE = {"name": "summary", "kind": "completion", "pool": "engines", "model": "m1"}
FIRST = {"change_id": "c1", "base": 0, "profile": PROFILE}
SECOND = {"change_id": "c2", "base": 1, "profile": PROFILE | {"priority": 1}}


def run(folder: pathlib.Path, steps: Callable[[Cluster], Awaitable[None]]) -> None:
    """Initialise the first of three folders, start all, and run ``steps``."""

    async def main() -> None:
        cluster = Cluster(folder)
        init_folder(folder / "control-1", "control-1")
        await cluster.start(*cluster.names)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await cluster.whole()
                await steps(cluster)
        finally:
            await cluster.stop(*cluster.running)

    asyncio.run(main())


async def change(cluster: Cluster, body: object) -> int:
    """Commit a change at whichever replica leads; return the revision."""
    async with cluster.client() as operator:
        reply = (await operator.post("/v1/profiles", body)).unwrap()
        return int(reply["revision"])


async def wait_in_force(cluster: Cluster, revision: int) -> None:
    """Wait until every process has ``revision`` in force."""
    for control in cluster.running.values():
        await control.store.wait_newer(revision - 1)


def test_change_survives_the_loss_of_the_leader_and_a_resend_has_no_effect(tmp_path):
    async def steps(cluster: Cluster) -> None:
        assert await change(cluster, FIRST) == 1
        await wait_in_force(cluster, 1)
        stopped = await cluster.leader()
        await cluster.stop(stopped)
        assert await change(cluster, FIRST) == 1
        assert await change(cluster, SECOND) == 2
        await cluster.start(stopped)
        await wait_in_force(cluster, 2)
        configs = [control.store.config for control in cluster.running.values()]
        assert configs[0] == configs[1] == configs[2]

    run(tmp_path, steps)


def test_reads_from_the_leader_include_the_newest_change(tmp_path):
    async def steps(cluster: Cluster) -> None:
        # The client tries the leader last; the other replicas may still lack the newest
        # change.
        leader = await cluster.leader()
        cluster.running[leader] = cluster.running.pop(leader)
        async with cluster.client() as operator:
            for revision in range(10):
                table = (await operator.get_from_leader("/v1/config")).unwrap()
                assert table["revision"] == revision
                body = FIRST | {"change_id": f"c{revision}", "base": revision}
                (await operator.post("/v1/profiles", body)).unwrap()

    run(tmp_path, steps)


def test_only_the_leader_says_that_a_name_does_not_exist(tmp_path):
    """Guards against denials by a replica that lacks the newest change."""

    async def steps(cluster: Cluster) -> None:
        leader = await cluster.leader()
        codes = {}
        for name, control in cluster.running.items():
            async with client_of(control) as operator:
                reply = await operator.get("/v1/profiles/missing")
                codes[name] = reply.json()["code"]
        assert codes.pop(leader) == "unknown_name"
        assert set(codes.values()) == {"not_leader"}

    run(tmp_path, steps)


def test_a_malformed_order_is_audited_once_though_a_follower_gets_it_first(tmp_path):
    async def steps(cluster: Cluster) -> None:
        leader = await cluster.leader()
        cluster.running[leader] = cluster.running.pop(leader)
        async with cluster.client() as operator:
            refused = (await operator.post("/v1/orders", {"kind": "tea"})).unwrap_err()
            assert refused.code == "invalid_field"
            audit = (await operator.get_from_leader("/v1/audit")).unwrap()["audit"]
        assert [entry["outcome"] for entry in audit] == ["invalid_field"]

    run(tmp_path, steps)


def test_a_claim_is_granted_once_across_replicas(tmp_path):
    async def steps(cluster: Cluster) -> None:
        clients = [
            ControlClient(KnownControls([address]), FLEET_TOKEN)
            for address in cluster.rpc.values()
        ]
        calls = [
            client.ask(claim(by=holder(f"r{number}")), TIMEOUT_S)
            for number, client in enumerate(clients)
        ]
        replies = [result.unwrap() for result in await asyncio.gather(*calls)]
        (granted,) = [reply.record.holder for reply in replies if reply.granted]
        assert {reply.record.holder for reply in replies} == {granted}
        finished = (await clients[0].ask(finish(granted), TIMEOUT_S)).unwrap().record
        again = (await clients[1].ask(claim(by=holder("r9")), TIMEOUT_S)).unwrap()
        assert not again.granted and again.record == finished
        for client in clients:
            await client.close()

    run(tmp_path, steps)


def test_recovery_from_one_disk_skips_revisions(tmp_path):
    async def steps(cluster: Cluster) -> None:
        assert await change(cluster, FIRST) == 1
        await wait_in_force(cluster, 1)
        await cluster.stop(*cluster.names)
        recover_folder(tmp_path / "control-1", "control-1", force=True)
        await cluster.start("control-1")
        await wait_in_force(cluster, NUMBERS_SKIPPED_AFTER_RECOVERY)
        async with cluster.client() as operator:
            resent = (await operator.post("/v1/profiles", FIRST)).unwrap()
            table = (await operator.get_from_leader("/v1/config")).unwrap()
        assert (
            resent["revision"] == 1
            and table["revision"] > NUMBERS_SKIPPED_AFTER_RECOVERY
        )
        assert [profile["name"] for profile in table["profiles"]] == ["summary"]

    run(tmp_path, steps)


def test_a_change_without_a_quorum_is_not_committed_and_succeeds_later(tmp_path):
    async def steps(cluster: Cluster) -> None:
        assert await change(cluster, FIRST) == 1
        remaining = await cluster.leader()
        others = [name for name in cluster.names if name != remaining]
        await cluster.stop(*others)
        async with cluster.client(timeout_s=1.0) as operator:
            refused = await operator.post("/v1/profiles", SECOND)
        assert refused.unwrap_err().code in ("no_quorum", "not_leader")
        assert cluster.running[remaining].store.revision == 1
        await cluster.stop(remaining)
        await cluster.start(*cluster.names)
        assert await change(cluster, SECOND) == 2
        assert await change(cluster, SECOND) == 2

    run(tmp_path, steps)
