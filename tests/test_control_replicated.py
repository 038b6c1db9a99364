"""Three control processes over real sockets and folders, on one event loop."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable, Callable

from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.process.control.first_start import init_folder, recover_folder
from gooseberrydale.version.control_state import SKIPPED_AFTER_RECOVERY
from tests.builders_control import claim, finish, holder
from tests.builders_operators import FLEET_TOKEN, Cluster

BOUND_S = 60.0
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
            async with asyncio.timeout(BOUND_S):
                await cluster.whole()
                await steps(cluster)
        finally:
            await cluster.stop(*cluster.running)

    asyncio.run(main())


async def change(cluster: Cluster, body: object) -> int:
    """Make a change at whichever replica leads; return the revision."""
    async with cluster.client() as operator:
        made = (await operator.post("/v1/profiles", body)).unwrap()
        return int(made["revision"])


async def in_force(cluster: Cluster, revision: int) -> None:
    """Return once every process has ``revision`` in force."""
    for control in cluster.running.values():
        await control.store.wait_newer(revision - 1)


def test_change_survives_the_leader_and_a_resend_is_recognised(tmp_path):
    async def steps(cluster: Cluster) -> None:
        assert await change(cluster, FIRST) == 1
        await in_force(cluster, 1)
        lost = await cluster.leader()
        await cluster.stop(lost)
        assert await change(cluster, FIRST) == 1
        assert await change(cluster, SECOND) == 2
        await cluster.start(lost)
        await in_force(cluster, 2)
        configs = [control.store.config for control in cluster.running.values()]
        assert configs[0] == configs[1] == configs[2]

    run(tmp_path, steps)


def test_what_a_change_builds_on_comes_from_the_leader(tmp_path):
    async def steps(cluster: Cluster) -> None:
        # The leader is asked last, and the others have not caught up at once.
        leader = await cluster.leader()
        cluster.running[leader] = cluster.running.pop(leader)
        async with cluster.client() as operator:
            for revision in range(10):
                table = (await operator.get_from_leader("/v1/config")).unwrap()
                assert table["revision"] == revision
                body = FIRST | {"change_id": f"c{revision}", "base": revision}
                (await operator.post("/v1/profiles", body)).unwrap()

    run(tmp_path, steps)


def test_a_malformed_order_is_audited_whichever_replica_is_asked_first(tmp_path):
    async def steps(cluster: Cluster) -> None:
        leader = await cluster.leader()
        cluster.running[leader] = cluster.running.pop(leader)
        async with cluster.client() as operator:
            refused = (await operator.post("/v1/orders", {"kind": "tea"})).unwrap_err()
            assert refused.code == "invalid_field"
            audit = (await operator.get_from_leader("/v1/audit")).unwrap()["audit"]
        assert [entry["outcome"] for entry in audit] == ["invalid_field"]

    run(tmp_path, steps)


def test_claims_are_granted_once_whichever_replica_is_asked(tmp_path):
    async def steps(cluster: Cluster) -> None:
        clients = [ControlClient([at], FLEET_TOKEN) for at in cluster.rpc.values()]
        asked = [
            client.ask(claim(by=holder(f"r{number}")), BOUND_S)
            for number, client in enumerate(clients)
        ]
        replies = [result.unwrap() for result in await asyncio.gather(*asked)]
        (granted,) = [reply.record.holder for reply in replies if reply.granted]
        assert {reply.record.holder for reply in replies} == {granted}
        ended = (await clients[0].ask(finish(granted), BOUND_S)).unwrap().record
        again = (await clients[1].ask(claim(by=holder("r9")), BOUND_S)).unwrap()
        assert not again.granted and again.record == ended
        for client in clients:
            await client.close()

    run(tmp_path, steps)


def test_recovery_from_one_disk_leaves_revisions_out(tmp_path):
    async def steps(cluster: Cluster) -> None:
        assert await change(cluster, FIRST) == 1
        await in_force(cluster, 1)
        await cluster.stop(*cluster.names)
        recover_folder(tmp_path / "control-1", "control-1", force=True)
        await cluster.start("control-1")
        await in_force(cluster, SKIPPED_AFTER_RECOVERY)
        async with cluster.client() as operator:
            resent = (await operator.post("/v1/profiles", FIRST)).unwrap()
            table = (await operator.get_from_leader("/v1/config")).unwrap()
        assert resent["revision"] == 1 and table["revision"] > SKIPPED_AFTER_RECOVERY
        assert [profile["name"] for profile in table["profiles"]] == ["summary"]

    run(tmp_path, steps)


def test_nothing_is_committed_without_a_quorum_nor_lost_afterwards(tmp_path):
    async def steps(cluster: Cluster) -> None:
        assert await change(cluster, FIRST) == 1
        kept = await cluster.leader()
        others = [name for name in cluster.names if name != kept]
        await cluster.stop(*others)
        async with cluster.client(timeout_s=1.0) as operator:
            refused = await operator.post("/v1/profiles", SECOND)
        assert refused.unwrap_err().code in ("no_quorum", "not_leader")
        assert cluster.running[kept].store.revision == 1
        await cluster.stop(kept)
        await cluster.start(*cluster.names)
        assert await change(cluster, SECOND) == 2
        assert await change(cluster, SECOND) == 2

    run(tmp_path, steps)
