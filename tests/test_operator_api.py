"""The operators' HTTP interface of one control process with its state in memory."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import httpx2
import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.rpc import PROPOSE, RpcChannel
from gooseberrydale.process.control import Control
from gooseberrydale.version.acknowledgements import Acknowledgements, RevisionStatus
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config
from tests.builders_control import change, claim, finish, holder, profile
from tests.builders_operators import FLEET_TOKEN, client, joining_mesh, running_control

PROFILE = {"name": "summary", "kind": "completion", "pool": "engines", "model": "m1"}
BODY = {"change_id": "c1", "base": 0, "profile": PROFILE}
MARK = {"kind": "mark_leaving", "name": "e1"}
ORDER = {"change_id": "o1", "upstream": "e1", "kind": "load_weights", "model": "m1"}
E1 = UpstreamRecord("e1", "i", 1, "127.0.0.1:1", "z", "r", "p", "completion")

Steps = Callable[[Control, httpx2.AsyncClient], Awaitable[None]]


def run(steps: Steps, **settings: Any) -> None:
    async def main() -> None:
        async with running_control(**settings) as control, client(control) as operator:
            await steps(control, operator)

    asyncio.run(main())


def test_change_is_in_force_and_audited():
    async def steps(control, operator):
        reply = await operator.post("/v1/profiles", json=BODY)
        assert (reply.status_code, reply.json()["revision"]) == (200, 1)
        assert control.store.config.profiles == {"summary": profile()}
        listed = (await operator.get("/v1/profiles")).json()
        assert listed["profiles"][0]["pool"] == "engines"
        profile_reply = await operator.get("/v1/profiles/summary")
        assert profile_reply.json()["model"] == "m1"
        (entry,) = (await operator.get("/v1/audit")).json()["audit"]
        assert (entry["operator"], entry["outcome"]) == ("ana", "accepted")

    run(steps)


@pytest.mark.parametrize(
    ("path", "body", "status", "expected_text"),
    [
        ("/v1/profiles", BODY | {"base": 3}, 409, "revision_from_future"),
        ("/v1/profiles", BODY | {"profile": PROFILE | {"pool": ""}}, 422, "pool"),
        ("/v1/profiles", BODY | {"profile": PROFILE | {"pol": "x"}}, 400, "pol"),
        ("/v1/profiles", BODY | {"base": "0"}, 400, "base"),
        ("/v1/profiles", {"base": 0}, 400, "change_id"),
        ("/v1/profiles", BODY | {"change_id": "c" * 200}, 400, "change_id"),
        ("/v1/workspaces", BODY, 400, "workspace"),
        ("/v1/changes", BODY, 400, "edits"),
        ("/v1/changes", {"change_id": "c", "base": 0, "edits": [{}]}, 400, "kind"),
        ("/v1/changes", {"edits": [[]] * 150_000}, 400, "too_many_values"),
        ("/v1/orders", ORDER | {"kind": "explode"}, 400, "load_weights"),
        ("/v1/orders", ORDER | {"model": ""}, 422, "model"),
    ],
)
def test_refusal_names_what_to_correct(path, body, status, expected_text):
    async def steps(control, operator):
        refused = await operator.post(path, json=body)
        assert refused.status_code == status, refused.text
        assert expected_text in refused.text
        assert control.store.revision == 0
        (entry,) = (await operator.get("/v1/audit")).json()["audit"]
        code = refused.json()["code"]
        assert (entry["operator"], entry["outcome"]) == ("ana", code)

    run(steps)


@pytest.mark.parametrize("path", ["/v1/config", "/v1/audit", "/v1/status"])
def test_wrong_token_is_refused_and_audited(path):
    async def steps(control, operator):
        async with client(control, "wrong-token") as stranger:
            refused = await stranger.get(path)
        assert refused.status_code == 401
        assert refused.json()["code"] == "wrong_operator_token"
        (entry,) = (await operator.get("/v1/audit")).json()["audit"]
        assert entry["outcome"] == "wrong_operator_token"
        assert path in entry["after"] and "wrong-token" not in str(entry)

    run(steps)


def test_dry_run_commits_nothing():
    async def steps(control, operator):
        reply = await operator.post("/v1/profiles", json=BODY | {"dry_run": True})
        assert reply.json() == {"revision": 1, "dry_run": True}
        assert control.store.revision == 0

    run(steps)


def test_upstreams_are_listed_with_their_leaving_marks():
    async def steps(control, operator):
        now = asyncio.get_running_loop().time()
        record = UpstreamRecord("e2", "i", 1, "127.0.0.1:1", "z", "r", "p", "service")
        control.directory.offer(record, now)
        change = {"change_id": "c", "base": 0, "edits": [MARK]}
        await operator.post("/v1/changes", json=change)
        listed = (await operator.get("/v1/upstreams")).json()["upstreams"]
        shown = [(u["name"], u["announced"], u["marked_leaving"]) for u in listed]
        assert shown == [("e1", False, True), ("e2", True, False)]

    run(steps)


def test_order_is_listed_under_its_number():
    async def steps(control, operator):
        control.directory.offer(E1, asyncio.get_running_loop().time())
        placed = await operator.post("/v1/orders", json=ORDER)
        assert placed.json()["order"]["order_id"] == 1
        (listed,) = (await operator.get("/v1/orders")).json()["orders"]
        assert (listed["state"], listed["number"]) == ("issued", 1)

    run(steps)


def test_order_to_an_unknown_upstream_changes_nothing_and_is_audited():
    async def steps(control, operator):
        refused = await operator.post("/v1/orders", json=ORDER)
        assert refused.status_code == 404, refused.text
        assert refused.json()["code"] == "unknown_name" and "e1" in refused.text
        assert (await operator.get("/v1/orders")).json()["orders"] == []
        assert control.state.orders.last_number == 0
        (entry,) = (await operator.get("/v1/audit")).json()["audit"]
        assert (entry["name"], entry["outcome"]) == ("e1", "unknown_name")

    run(steps)


def test_a_resent_order_is_answered_after_its_upstream_was_removed():
    async def steps(control, operator):
        now = asyncio.get_running_loop().time()
        control.directory.offer(E1, now)
        first = await operator.post("/v1/orders", json=ORDER)
        control.directory.expire(now + 1e6)
        assert control.directory.records(now + 1e6) == ()
        again = await operator.post("/v1/orders", json=ORDER)
        assert again.json()["order"]["order_id"] == first.json()["order"]["order_id"]

    run(steps)


def test_limits_from_the_settings_are_committed():
    async def steps(control, _operator):
        async with asyncio.timeout(10):
            while control.state.limits.audit_entries != 7:
                await asyncio.sleep(0.01)

    run(steps, audit_entries=7)


def test_entries_and_sidecars_can_claim_but_not_change_declarations():
    async def steps(control, _operator):
        channel = RpcChannel(control.addresses["rpc"], FLEET_TOKEN)
        first, other, ended, again, refused = [
            await channel.call(PROPOSE, req, timeout_s=10)
            for req in (
                claim(),
                claim(by=holder("r2")),
                finish(),
                claim(by=holder("r3")),
                change(),
            )
        ]
        await channel.close()
        assert (first.granted, other.granted, again.granted) == (True, False, False)
        assert ended.record == again.record and again.record.body == b"sold"
        assert refused.problem.code == "not_proposable"
        assert control.store.revision == 0

    run(steps)


def test_many_claims_share_an_entry():
    async def steps(control, _operator):
        before = control.state.index
        submissions = [control._commit.submit(claim(f"k{n}")) for n in range(200)]
        replies = [result.unwrap() for result in await asyncio.gather(*submissions)]
        assert all(reply.granted for reply in replies)
        assert [reply.record.key for reply in replies] == [f"k{n}" for n in range(200)]
        assert control.state.index - before < 20

    run(steps)


def test_outcomes_and_levels_are_measured():
    async def steps(control, operator):
        await operator.post("/v1/profiles", json=BODY)
        await operator.post("/v1/profiles", json=BODY | {"change_id": "c2"})
        (await control._commit.submit(claim())).unwrap()
        for line in (
            'gooseberrydale_changes_total{outcome="accepted"} 1.0',
            'gooseberrydale_changes_total{outcome="revision_conflict"} 1.0',
            'gooseberrydale_claims_made_total{outcome="granted"} 1.0',
        ):
            assert control.metrics is not None
            assert line in control.metrics.render().decode()
        async with asyncio.timeout(20):
            while "cfg_revision 1.0" not in control.metrics.render().decode():
                await asyncio.sleep(0.05)

    run(steps)


def test_initial_declarations_are_in_force_from_the_start():
    async def steps(control, operator):
        assert control.store.revision == 4
        body = BODY | {"base": 4}
        assert (await operator.post("/v1/profiles", json=body)).json()["revision"] == 5

    run(steps, declarations=Config(revision=4))


def test_acknowledgements_list_the_process_that_is_behind():
    standing = RevisionStatus("entry", "entry-1", "i2", "z", 3, received_at=10.0)
    acknowledgements = Acknowledgements()
    acknowledgements.record_status(standing)
    acknowledgements.record_status(
        RevisionStatus("entry", "entry-1", "i1", "z", 9, received_at=11.0)
    )
    assert acknowledgements.behind(3, now=12.0) == []
    assert acknowledgements.behind(4, now=12.0) == [standing]
    assert acknowledgements.behind(4, now=400.0) == []


def test_change_reaches_processes_and_status_shows_it(tmp_path):
    async def steps(control, operator):
        store = ConfigStore()
        mesh = joining_mesh(tmp_path, control, store)
        await mesh.start()
        try:
            await operator.post("/v1/profiles", json=BODY)
            async with asyncio.timeout(20):
                await store.wait_newer(0)
                status = await status_with_a_process(operator)
        finally:
            await mesh.close()
        assert store.config == control.store.config
        (process,) = status["processes"]
        assert (process["name"], process["revision"]) == ("entry-1", 1)

    run(steps)


async def status_with_a_process(operator: httpx2.AsyncClient) -> Any:
    """Poll until a process has reported that the revision is in force there."""
    while True:
        status = (await operator.get("/v1/status")).json()
        if status["processes"] and status["in_force_everywhere"]:
            return status
        await asyncio.sleep(0.01)
