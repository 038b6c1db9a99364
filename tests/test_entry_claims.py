"""Calls with an Idempotency-Key run at most once, however often they are sent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import httpx2
import pytest

from gooseberrydale.connection.control_messages import (
    ClaimReply,
    ClaimReq,
    ClaimState,
    FinishReq,
    Limits,
    MoveReq,
    ReleaseReq,
)
from gooseberrydale.connection.messages import CancelReply, DispatchReq
from gooseberrydale.errors import QUEUE_FULL, problem
from gooseberrydale.process.entry import Entry
from gooseberrydale.version.claims import ClaimTable
from tests.builders_claims import (
    BID_BODY,
    FakeControl,
    answer_bid,
    answer_bid_late,
    holder_at,
    keep_bid,
)
from tests.builders_entry import (
    KEY_A,
    KEY_B,
    FakeSidecar,
    make_config,
    run,
    running,
    wait_until,
)

KEY = "bid-1"
SEQ = 7


@contextlib.asynccontextmanager
async def fleet(*fakes: FakeSidecar, **entry: Any) -> AsyncIterator[tuple[Entry, Any]]:
    """Run an entry, the leader that stores its claims, and a follower."""
    leader = FakeControl(ClaimTable())
    await leader.start()
    follower = FakeControl(None, leader.address)
    await follower.start()
    controls = (follower.address, leader.address)
    try:
        async with running(*fakes, controls=controls, **entry) as started:
            yield started, leader
    finally:
        await follower.close()
        await leader.close()


def service(name: str = "s1", script: Any = answer_bid) -> FakeSidecar:
    fake = FakeSidecar(name, "bidding")
    fake.script = script
    return fake


async def bid(
    entry: Entry, key: str = KEY, body: bytes = b"9", caller: str = KEY_A
) -> httpx2.Response:
    base = f"http://{entry.addresses['http']}"
    headers = {"Authorization": f"Bearer {caller}"}
    if key:
        headers["Idempotency-Key"] = key
    async with httpx2.AsyncClient(base_url=base, headers=headers, timeout=20) as client:
        return await client.post("/services/bids/lots/42", content=body)


def error_code(answer: httpx2.Response) -> str:
    return str(answer.json()["error"]["code"])


def test_resend_gets_the_recorded_answer() -> None:
    async def scenario() -> None:
        fake = service()
        async with fleet(fake) as (entry, leader):
            answers = [await bid(entry), await bid(entry)]
            [record] = leader.table.records
        assert [(a.status_code, a.content) for a in answers] == [(201, BID_BODY)] * 2
        assert len(fake.dispatched) == 1
        assert record.state is ClaimState.FINISHED
        [req] = fake.dispatched
        assert record.holder.request_id == req.request_id
        assert record.holder.record_seq == req.record_seq == fake.record().seq

    run(scenario())


def test_resend_attaches_to_the_running_call() -> None:
    async def scenario() -> None:
        fake = service()
        keep_bid(fake)
        async with fleet(fake) as (entry, _):
            first = asyncio.create_task(bid(entry))
            await wait_until(lambda: bool(fake.dispatched))
            others = [asyncio.create_task(bid(entry)) for _ in range(2)]
            await wait_until(lambda: len(fake.attached) >= 2)
            # Readers that replaced each other would have failed by now.
            await asyncio.sleep(0.5)
            fake.release.set()
            answers = await asyncio.gather(first, *others)
        assert [(a.status_code, a.content) for a in answers] == [(201, BID_BODY)] * 3
        assert len(fake.dispatched) == 1 and len(fake.attached) <= 6

    run(scenario())


def test_resend_with_another_body_is_refused() -> None:
    async def scenario() -> None:
        fake = service()
        async with fleet(fake) as (entry, _):
            await bid(entry)
            answer = await bid(entry, body=b"10")
        assert error_code(answer) == "idempotency_key_reused"
        assert len(fake.dispatched) == 1

    run(scenario())


def test_workspaces_have_separate_keys() -> None:
    async def scenario() -> None:
        fake = service()
        config = make_config()
        config.workspaces["b"] = replace(config.workspaces["b"], profiles=())
        async with fleet(fake, config=config) as (entry, _):
            await bid(entry)
            await bid(entry, caller=KEY_B)
        assert [req.workspace for req in fake.dispatched] == ["a", "b"]

    run(scenario())


def test_without_a_quorum_a_keyed_call_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        fake = service()
        async with fleet(fake) as (entry, leader):
            leader.has_quorum = False
            refused = await bid(entry)
            unkeyed = await bid(entry, key="")
            leader.has_quorum = True
            again = await bid(entry)
        assert error_code(refused) == "claim_unavailable"
        assert refused.json()["error"]["not_run"] is True
        assert "retry-after" in refused.headers
        assert (unkeyed.status_code, again.status_code) == (201, 201)
        assert [req.claim_key for req in fake.dispatched] == ["", KEY]

    run(scenario())


@pytest.mark.parametrize("reachable", [True, False], ids=["tombstone", "unreachable"])
def test_claim_without_a_dispatch_moves_only_with_a_tombstone(reachable: bool) -> None:
    async def scenario() -> None:
        claimed, fake = service("s1"), service("s2")
        for sidecar in (claimed, fake):
            sidecar.cancel_reply = CancelReply(not_run=True)
        claimed.on_attach = claimed.refuse_attach
        await claimed.start()
        async with fleet(fake) as (entry, leader):
            # The entry that claimed the key was lost before it dispatched the attempt.
            await bid(entry, key="other")
            digest = leader.table.records[0].digest
            claim = ClaimReq(
                "a", KEY, digest, replace(holder_at(claimed, "lost"), record_seq=SEQ)
            )
            leader.table.claim(claim, asyncio.get_running_loop().time(), Limits())
            if not reachable:
                await claimed.close()
            answer = await bid(entry)
            record = leader.table.records[-1]
        if reachable:
            await claimed.close()
            assert answer.status_code == 201 and len(fake.dispatched) == 2
            [cancellation] = claimed.cancelled
            assert (cancellation.request_id, cancellation.record_seq) == ("lost", SEQ)
            assert record.holder.request_id == fake.dispatched[1].request_id
        else:
            assert error_code(answer) == "outcome_unknown"
            assert len(fake.dispatched) == 1

    run(scenario())


def test_a_call_whose_claim_is_released_while_it_takes_it_over_is_not_denied() -> None:
    """Guards against 404 unknown_claim for a proper request."""

    async def scenario() -> None:
        fake, refused = service(), service("s2")
        refused.cancel_reply = CancelReply(not_run=True)
        await refused.start()
        async with fleet(fake) as (entry, leader):
            answer = await bid(entry, key="other")
            digest = leader.table.records[0].digest
            held = ClaimReq("a", KEY, digest, holder_at(refused, "refused"))
            leader.table.claim(held, asyncio.get_running_loop().time(), Limits())
            move = leader.table.move

            def release_first(req: MoveReq, now_s: float, limits: Limits) -> ClaimReply:
                leader.table.release(ReleaseReq("a", KEY, req.old, tombstone=True))
                return move(req, now_s, limits)

            leader.table.move = release_first
            answer = await bid(entry)
            record = leader.table.records[-1]
        await refused.close()
        assert answer.status_code == 201, answer.text
        assert len(fake.dispatched) == 2 and refused.dispatched == []
        assert record.holder.request_id == fake.dispatched[1].request_id

    run(scenario())


def test_answer_is_recorded_after_the_caller_disconnected() -> None:
    async def scenario() -> None:
        fake = service(script=answer_bid_late)
        async with fleet(fake) as (entry, leader):
            first = asyncio.create_task(bid(entry))
            await wait_until(lambda: bool(fake.dispatched))
            first.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await first
            fake.release.set()
            await wait_until(
                lambda: any(isinstance(r, FinishReq) for r in leader.asked)
            )
            answer = await bid(entry)
        assert (answer.status_code, answer.content) == (201, BID_BODY)
        assert len(fake.dispatched) == 1 and fake.cancelled == []

    run(scenario())


async def refuse(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Refuse, since the queue is full."""
    yield fake.refused(req, problem(QUEUE_FULL, retry_after_s=1.0))


def test_refused_call_releases_its_key() -> None:
    async def scenario() -> None:
        fake = service(script=refuse)
        async with fleet(fake) as (entry, leader):
            refused = await bid(entry)
            await wait_until(lambda: not leader.table.records)
            fake.script = answer_bid
            answer = await bid(entry)
        assert error_code(refused) == "queue_full"
        assert answer.status_code == 201

    run(scenario())


async def break_before_accepting(
    fake: FakeSidecar, req: DispatchReq
) -> AsyncIterator[Any]:
    """Break the call before it is accepted."""
    raise RuntimeError("scripted")
    yield


def test_claim_moves_to_the_attempt_at_another_upstream() -> None:
    async def scenario() -> None:
        fakes = service("s1"), service("s2")
        for fake in fakes:
            fake.cancel_reply = CancelReply(not_run=True)
            fake.on_attach = fake.refuse_attach
        first_script = [break_before_accepting]

        def script(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
            chosen = first_script.pop() if first_script else answer_bid
            return chosen(fake, req)

        for fake in fakes:
            fake.script = script
        async with fleet(*fakes) as (entry, leader):
            answer = await bid(entry)
            [record] = leader.table.records
        assert answer.status_code == 201
        assert (record.state, record.holder.attempt) == (ClaimState.FINISHED, 2)
        assert sorted(r.attempt for f in fakes for r in f.dispatched) == [1, 2]

    run(scenario())
