"""Random requests and restarts, checked against a model of the control state.

Two replicas apply the same entries; one of them may be replaced by a restored snapshot
at any time.  The model records the reply to each change id and which attempt of each
call may run.  It guards against replicas that diverge and calls that could run twice.
"""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrydale.connection.control_messages import (
    ClaimReply,
    ClaimReq,
    ClaimState,
    Edit,
    EditKind,
    FinishReq,
    Holder,
    Limits,
    MoveReq,
    OrderKind,
    OrderState,
    ReadFenceReq,
    ReleaseReq,
    ReportOrderReq,
    TickReq,
)
from gooseberrydale.version.control_state import ControlState
from tests.builders_control import (
    apply_profile,
    apply_workspace,
    change,
    holder,
    order,
    run,
)

LIMITS = Limits(
    claim_ttl_s=30.0, order_deadline_s=10.0, claims=2, loads_at_once=2, orders=6
)
OPERATORS = st.sampled_from(["ana", "bo"])
EDITS = st.sampled_from(
    [
        apply_profile(),
        apply_profile(priority=1),
        apply_profile("other", pool=""),
        apply_workspace(profiles=("summary",)),
        Edit(EditKind.RETIRE_PROFILE, "summary"),
        Edit(EditKind.MARK_LEAVING, "e1"),
        Edit(EditKind.UNMARK_LEAVING, "e1"),
    ]
)
KEYS = st.sampled_from(["k1", "k2", "k3"])
BODIES = st.sampled_from([b"d1", b"d2"])
HOLDERS = st.sampled_from([holder(), holder(attempt=2), holder("r2", 1, "s2")])
UPSTREAMS = st.sampled_from(["e1", "e2", "e3"])


class ControlMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.left, self.right = ControlState(limits=LIMITS), ControlState(limits=LIMITS)
        self.wall_s = 1_000.0
        self.answers: dict[str, tuple[Any, Any]] = {}
        self.made = 0
        self.may_run: dict[str, tuple[Holder, float]] = {}
        self.ended: dict[str, Any] = {}
        self.numbers: dict[int, int] = {}
        self.closed: dict[int, Any] = {}

    def commit(self, req: Any) -> Any:
        (reply,) = run(self.left, req, wall_s=self.wall_s)
        assert run(self.right, req, wall_s=self.wall_s) == [reply]
        return reply

    @rule(
        operator=OPERATORS, edit=EDITS, lag=st.integers(-1, 1), number=st.integers(0, 5)
    )
    def change(self, operator: str, edit: Edit, lag: int, number: int) -> None:
        base = max(0, self.left.config.revision - lag)
        req = change(edit, change_id=f"c{number}", base=base, operator=operator)
        before = self.left.config.revision
        reply = self.commit(req)
        known = self.answers.get(req.change_id)
        if known is not None:
            asked, answered = known
            same = (asked.edits, asked.operator) == (req.edits, req.operator)
            code = reply.problem and reply.problem.code
            assert reply == answered if same else code == "change_id_reused"
            assert self.left.config.revision == before
            return
        self.answers[req.change_id] = (req, reply)
        accepted = reply.problem is None
        assert self.left.config.revision == before + accepted
        assert not (accepted and base != before)
        self.made += accepted

    @rule(key=KEYS, body=BODIES, by=HOLDERS)
    def claim(self, key: str, body: bytes, by: Holder) -> None:
        reply = self.commit(ClaimReq("fraser", key, body, by))
        self.check_grant(key, by, reply, body)

    @rule(key=KEYS, old=HOLDERS, new=HOLDERS, tombstone=st.booleans())
    def move(self, key: str, old: Holder, new: Holder, tombstone: bool) -> None:
        reply = self.commit(MoveReq("fraser", key, old, new, tombstone))
        running = self.running(key)
        if reply.granted and running == old and tombstone:
            del self.may_run[key]
        self.check_grant(key, new, reply)

    @rule(key=KEYS, by=HOLDERS, tombstone=st.booleans())
    def release(self, key: str, by: Holder, tombstone: bool) -> None:
        reply = self.commit(ReleaseReq("fraser", key, by, tombstone))
        if reply.problem is None and self.running(key) is not None:
            assert tombstone and self.running(key) == by
            del self.may_run[key]

    @rule(key=KEYS, by=HOLDERS, body=BODIES, unknown=st.booleans())
    def finish(self, key: str, by: Holder, body: bytes, unknown: bool) -> None:
        req = FinishReq("fraser", key, by, 200, (), body, unknown)
        reply = self.commit(req)
        if reply.problem is None and self.running(key) is not None:
            assert self.running(key) == by
            del self.may_run[key]
            self.ended[key] = reply.record

    @rule(
        upstream=UPSTREAMS, kind=st.sampled_from(OrderKind), number=st.integers(0, 50)
    )
    def place(self, upstream: str, kind: OrderKind, number: int) -> None:
        self.commit(order(upstream, f"o{number}", kind))

    @rule(which=st.integers(0, 5), upstream=UPSTREAMS, done=st.booleans())
    def report(self, which: int, upstream: str, done: bool) -> None:
        known = self.left.orders.orders
        number = known[which % len(known)].number if known else 1
        self.commit(ReportOrderReq(number, upstream, done))

    @rule(upstream=UPSTREAMS)
    def read_fence(self, upstream: str) -> None:
        reply = self.commit(ReadFenceReq(upstream))
        numbers = [o.number for o in self.left.orders.orders if o.upstream == upstream]
        assert reply.number >= max(numbers, default=0)

    @rule(step_s=st.sampled_from([-5, 1, 11, 31]))
    def pass_time(self, step_s: int) -> None:
        self.wall_s += step_s
        self.commit(TickReq())

    @rule()
    def restart(self) -> None:
        restored = ControlState()
        restored.restore(self.right.snapshot())
        self.right = restored

    def running(self, key: str) -> Holder | None:
        """The attempt that may run under ``key`` according to the model."""
        held, until_s = self.may_run.get(key, (None, 0.0))
        return held if until_s > self.left.now_s else None

    def check_grant(
        self, key: str, by: Holder, reply: ClaimReply, body: bytes | None = None
    ) -> None:
        ended = self.ended.get(key)
        if ended is not None and ended.expires_s > self.left.now_s:
            assert not reply.granted
            assert body not in (None, ended.digest) or reply.record == ended
        if not reply.granted:
            return
        assert self.running(key) in (None, by), "two attempts of one call may run"
        assert reply.record is not None and reply.record.holder == by
        self.may_run[key] = (by, reply.record.expires_s)

    @invariant()
    def replicas_have_equal_snapshots(self) -> None:
        assert self.left.snapshot() == self.right.snapshot()

    @invariant()
    def revisions_count_accepted_changes(self) -> None:
        assert self.left.config.revision == self.made

    @invariant()
    def claims_match_the_model(self) -> None:
        records = {r.key: r for r in self.left.claims.records}
        running = {
            key: record.holder
            for key, record in records.items()
            if record.state is ClaimState.RUNNING
        }
        expected = {key: held for key in self.may_run if (held := self.running(key))}
        assert running == expected
        assert len(records) <= LIMITS.claims

    @invariant()
    def order_limits_hold(self) -> None:
        issued = self.left.orders.issued()
        loads = [o for o in issued if o.kind is OrderKind.LOAD_WEIGHTS]
        assert len(loads) <= LIMITS.loads_at_once
        assert len({o.upstream for o in issued}) == len(issued)
        for known in self.left.orders.orders:
            number = self.numbers.setdefault(known.order_id, known.number)
            if number == 0 and known.number:
                assert known.number > max(self.numbers.values())
                self.numbers[known.order_id] = known.number
            if known.state not in (OrderState.PENDING, OrderState.ISSUED):
                assert self.closed.setdefault(known.order_id, known) == known


ControlMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestControlMachine = ControlMachine.TestCase
