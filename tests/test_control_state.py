"""Control state: changes, orders and claims, as tables of requests and replies."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gooseberrydale.connection.control_messages import (
    ClaimState,
    Edit,
    EditKind,
    Limits,
    NoteReq,
    OrderKind,
    OrderState,
    ReadFenceReq,
    ReportOrderReq,
    SetLimitsReq,
    TickReq,
)
from gooseberrydale.errors import InvariantError
from gooseberrydale.version.claims import check_successor
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.control_state import ControlState, check_revision
from gooseberrydale.version.orders import check_fence
from tests.builders_control import (
    DIGEST,
    apply_profile,
    apply_workspace,
    change,
    claim,
    command,
    finish,
    holder,
    move,
    order,
    profile,
    release,
    run,
)

FIRST = change()
RETIRE = Edit(EditKind.RETIRE_PROFILE, "summary")
TWO_KEYS = [apply_workspace(name, key_digests=(DIGEST,)) for name in "ab"]
NARROW = apply_workspace(profiles=("summary",))
LOADS = OrderKind.LOAD_WEIGHTS
ROLE = OrderKind.CHANGE_ROLE


@pytest.mark.parametrize(
    ("after_first", "code", "revision"),
    [
        (change(apply_profile("x"), change_id="c2", base=1), None, 2),
        (FIRST, None, 1),
        (replace(FIRST, base=1), None, 1),
        (change(apply_profile("x")), "change_id_reused", 1),
        (replace(FIRST, operator="bo"), "change_id_reused", 1),
        (change(apply_profile("x"), change_id="c2"), "revision_conflict", 1),
        (change(change_id="c2", base=2), "revision_from_future", 1),
        (
            change(apply_profile(pool=""), change_id="c2", base=1),
            "invalid_declaration",
            1,
        ),
        (change(RETIRE, RETIRE, change_id="c2", base=1), "invalid_declaration", 1),
        (change(RETIRE, NARROW, change_id="c2", base=1), "invalid_declaration", 1),
        (change(*TWO_KEYS, change_id="c2", base=1), "invalid_declaration", 1),
        (change(RETIRE, change_id="c2", base=1), None, 2),
        (change(NARROW, RETIRE, apply_profile(), change_id="c2", base=1), None, 2),
    ],
)
def test_change_is_compare_and_set(after_first, code, revision):
    state = ControlState()
    run(state, FIRST)
    (reply,) = run(state, after_first)
    assert (reply.problem and reply.problem.code) == code
    assert (reply.revision, state.config.revision) == (revision, revision)


@pytest.mark.parametrize(
    "req", [FIRST, change(base=7), change(apply_profile(model="")), order(), order("")]
)
def test_resent_request_gets_its_first_reply_also_after_restore(req):
    state = ControlState()
    (first,) = run(state, req)
    run(state, change(apply_profile("x"), change_id="c9", base=state.config.revision))
    restored = ControlState()
    restored.restore(state.snapshot())
    assert run(state, req) == [first]
    assert run(restored, req) == [first]
    assert restored.snapshot() == state.snapshot()


def test_one_reply_names_all_faults():
    bad = change(apply_profile(pool="", deadline_s=-1), apply_workspace(share=0))
    (reply,) = run(ControlState(), bad)
    for named in ("pool", "deadline_s", "share"):
        assert named in reply.problem.message


def test_audit_trail_records_each_attempt_and_is_bounded():
    state = ControlState(limits=Limits(audit_entries=4, change_ids=2))
    run(state, FIRST, wall_s=5)
    run(state, change(apply_profile(priority=3), change_id="c2", base=1), wall_s=6)
    run(state, change(change_id="c3", operator="bo"), NoteReq("", "login", "", "x"))
    run(state, change(apply_workspace(key_digests=(DIGEST,)), change_id="c4", base=2))
    refused, made = state.audit.entries[1], state.audit.entries[0]
    assert [entry.number for entry in state.audit.entries] == [2, 3, 4, 5]
    assert (made.operator, made.wall_s, made.outcome) == ("ana", 6, "accepted")
    assert '"priority":0' in made.before and '"priority":3' in made.after
    assert (refused.operator, refused.outcome) == ("bo", "revision_conflict")
    assert DIGEST not in state.audit.entries[3].after
    assert len(state.replies.items) == 2


def test_upstreams_are_marked_and_unmarked_as_leaving():
    state = ControlState()
    run(state, change(Edit(EditKind.MARK_LEAVING, "e1")))
    assert state.config.leaving == {"e1"}
    run(state, change(Edit(EditKind.UNMARK_LEAVING, "e1"), change_id="c2", base=1))
    assert state.config.leaving == frozenset()


@pytest.mark.parametrize(
    ("kinds", "upstreams", "issued"),
    [
        ([LOADS] * 4, "abcd", [1, 2]),
        ([LOADS] * 2, "aa", [1]),
        ([LOADS, LOADS, LOADS, ROLE, ROLE], "abccd", [1, 2, 5]),
    ],
)
def test_issued_orders_are_limited_per_upstream_and_loads_overall(
    kinds, upstreams, issued
):
    state = ControlState()
    for number, (kind, name) in enumerate(zip(kinds, upstreams)):
        run(state, order(name, f"o{number}", kind))
    assert [o.order_id for o in state.orders.issued()] == issued


def test_order_closes_by_report_or_deadline_and_numbers_increase():
    state = ControlState(limits=Limits(loads_at_once=1, order_deadline_s=10))
    run(state, order("a", "o1"), order("b", "o2"), order("a", "o3"))
    (ack,) = run(state, ReportOrderReq(1, "a", True))
    assert ack.problem is None
    run(state, TickReq(), wall_s=9)
    assert [o.number for o in state.orders.issued()] == [2]
    run(state, TickReq(), wall_s=11)
    states = {o.order_id: (o.state, o.number) for o in state.orders.orders}
    assert states == {
        1: (OrderState.DONE, 1),
        2: (OrderState.LOST, 2),
        3: (OrderState.ISSUED, 3),
    }
    late, stale, fence = run(
        state,
        ReportOrderReq(2, "b", True),
        ReportOrderReq(2, "a", True),
        ReadFenceReq("a"),
    )
    assert late.problem is None
    assert stale.problem.code == "stale_fencing_number"
    assert fence.number == 3
    assert {o.order_id: o.state for o in state.orders.orders}[2] is OrderState.LOST


def test_order_table_is_bounded_and_drops_only_closed_orders():
    state = ControlState(limits=Limits(orders=2))
    run(state, order("a", "o1"), order("b", "o2"))
    (full,) = run(state, order("c", "o3"))
    assert full.problem.code == "orders_full" and full.problem.retry_after_s
    run(state, ReportOrderReq(1, "a", False, "no such weights"))
    (placed,) = run(state, order("c", "o4"))
    assert placed.order.order_id == 3


OTHER = holder("r2", 1, "s2")


@pytest.mark.parametrize(
    ("requests", "granted", "code", "state"),
    [
        ([claim()], True, None, ClaimState.RUNNING),
        ([claim(), claim()], True, None, ClaimState.RUNNING),
        ([claim(), claim(by=OTHER)], False, None, ClaimState.RUNNING),
        ([claim(), claim(by=holder(attempt=2))], False, None, ClaimState.RUNNING),
        ([claim(), claim(body=b"d2")], False, "idempotency_key_reused", None),
        ([claim(key="k" * 257)], False, "idempotency_key_too_long", None),
        ([claim(), move(holder(), OTHER)], True, None, ClaimState.RUNNING),
        ([claim(), *[move(holder(), OTHER)] * 2], True, None, ClaimState.RUNNING),
        (
            [claim(), move(holder(), OTHER, tombstone=False)],
            False,
            "tombstone_missing",
            ClaimState.RUNNING,
        ),
        (
            [claim(), move(holder(), OTHER), move(holder(), holder("r3"))],
            False,
            "claim_moved",
            ClaimState.RUNNING,
        ),
        ([move(holder(), OTHER)], False, "unknown_claim", None),
        ([claim(), finish()], False, None, ClaimState.FINISHED),
        ([claim(), finish(), finish(body=b"x")], False, None, ClaimState.FINISHED),
        ([claim(), finish(), claim()], False, None, ClaimState.FINISHED),
        ([claim(), finish(), move(holder(), OTHER)], False, None, ClaimState.FINISHED),
        ([claim(), finish(OTHER)], False, "claim_moved", ClaimState.RUNNING),
        (
            [claim(), move(holder(), OTHER), finish()],
            False,
            "claim_moved",
            ClaimState.RUNNING,
        ),
        (
            [claim(), finish(outcome_unknown=True), claim(by=OTHER)],
            False,
            None,
            ClaimState.OUTCOME_UNKNOWN,
        ),
        ([claim(), release(), claim(by=OTHER)], True, None, ClaimState.RUNNING),
        (
            [claim(), release(tombstone=False)],
            False,
            "tombstone_missing",
            ClaimState.RUNNING,
        ),
        ([claim(), finish(), release()], False, "claim_moved", ClaimState.FINISHED),
    ],
)
def test_claim_is_granted_to_one_attempt_and_finishes_once(
    requests, granted, code, state
):
    reply = run(ControlState(), *requests)[-1]
    assert reply.granted is granted
    assert (reply.problem and reply.problem.code) == code
    assert (reply.record and reply.record.state) == state
    if state is ClaimState.FINISHED:
        assert (reply.record.status, reply.record.body) == (200, b"sold")


def test_claims_expire_by_committed_time_only():
    state = ControlState(limits=Limits(claim_ttl_s=10))
    run(state, claim(), wall_s=100)
    (kept,) = run(state, claim(by=OTHER), wall_s=109)
    (older_clock,) = run(state, claim(by=OTHER), wall_s=50)
    (free,) = run(state, claim(by=OTHER), wall_s=110)
    assert (kept.granted, older_clock.granted, free.granted) == (False, False, True)
    (late,) = run(state, claim("k2"), wall_s=50)
    assert late.record.expires_s == 120


def test_full_claim_table_refuses_new_claims_and_drops_none():
    state = ControlState(limits=Limits(claims=2, claim_ttl_s=60))
    replies = run(state, claim("k1"), claim("k2"), claim("k3"), claim("k1", by=OTHER))
    assert [reply.granted for reply in replies] == [True, True, False, False]
    assert replies[2].problem.code == "claims_full"
    assert replies[2].problem.retry_after_s == 60
    assert replies[3].record.holder == holder()


def test_one_workspace_cannot_fill_the_claim_table():
    state = ControlState(limits=Limits(claims=9, claims_per_workspace=1))
    other = replace(claim("k2"), workspace="clay")
    replies = run(state, claim("k1"), claim("k2"), other)
    assert [reply.granted for reply in replies] == [True, False, True]


@pytest.mark.parametrize(
    "limits", [Limits(claim_body_bytes=3), Limits(claim_total_bytes=3)]
)
def test_too_large_answer_is_recorded_without_its_body(limits):
    _, reply = run(ControlState(limits=limits), claim(), finish())
    assert (reply.record.status, reply.record.body) == (200, b"")
    assert not reply.record.answer_kept


def test_limits_are_changed_by_a_log_entry():
    state = ControlState()
    run(state, order("a", "o1"), order("b", "o2"), order("c", "o3"))
    run(state, SetLimitsReq(Limits(loads_at_once=3)))
    assert len(state.orders.issued()) == 3


def test_undecodable_or_repeated_entry_raises():
    state = ControlState()
    run(state, FIRST)
    for index, data in ((1, command(FIRST)), (2, b"\xff"), (2, command(b"not a req"))):
        with pytest.raises(InvariantError):
            state.apply(index, data)
    assert state.config.profiles == {"summary": profile()}


def test_state_never_returns_to_an_earlier_one():
    state, older = ControlState(), ControlState()
    run(state, TickReq())
    with pytest.raises(InvariantError):
        state.restore(older.snapshot())
    run(state, FIRST)
    with pytest.raises(InvariantError):
        check_revision(2, 1)
    with pytest.raises(InvariantError):
        check_fence(2, 2)
    _, ended = run(state, claim(), finish())
    for changed in (replace(ended.record, body=b"x"), ended.record):
        with pytest.raises(InvariantError):
            check_successor(ended.record, changed)


def test_numbers_of_lost_log_entries_are_not_reused_after_recovery():
    state, recovered = ControlState(), ControlState()
    run(state, FIRST, order("a", "o1"), cluster="before")
    recovered.restore(state.snapshot())
    lost = change(apply_profile("lost"), change_id="c2", base=1)
    run(state, lost, order("b", "o2"), cluster="before")
    everywhere = ConfigStore(state.config)
    run(recovered, TickReq(), order("c", "o3"), cluster="after")
    assert recovered.orders.last_number > state.orders.last_number
    assert everywhere.offer(recovered.config)
    skipped = recovered.config.revision
    run(recovered, TickReq(), cluster="after")
    assert recovered.config.revision == skipped
    again = ControlState()
    again.restore(recovered.snapshot())
    run(again, TickReq(), cluster="after")
    assert again.config.revision == skipped
