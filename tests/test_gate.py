"""The gate of attempts: single cases, then events in any order."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from result import Err, Ok

from gooseberrydale.connection.messages import CancelReq, DispatchReq
from gooseberrydale.errors import InvariantError
from gooseberrydale.request.gate import MAX_DISPATCH_AGE_S, Gate, Phase, Verdict
from tests.builders_sidecar import dispatch_req

INCARNATION = "incarnation-2"
KEY = ("req-1", 1)
CANCEL = CancelReq("req-1", 1, INCARNATION, "workspace-a")


def offer(gate: Gate, now: float = 0.0, leaving: bool = False, **fields: Any) -> str:
    """Offer an attempt; return the code of the refusal, or ``taken``."""
    req = dispatch_req(fields.pop("incarnation", INCARNATION), **fields)
    decision = gate.offer(req, now, leaving=leaving)
    return decision.err_value.code if isinstance(decision, Err) else "taken"


REFUSALS: dict[str, tuple[dict[str, Any], bool, str]] = {
    "another incarnation": (
        {"incarnation": "incarnation-1"},
        False,
        "wrong_incarnation",
    ),
    "leaving": ({}, True, "upstream_leaving"),
    "deadline passed": ({"deadline_s": 0.0}, False, "deadline_passed"),
    "old announcement": ({"record_seq": 1}, False, "stale_dispatch"),
    "newest announcement": ({"record_seq": 2}, False, "taken"),
}


@pytest.mark.parametrize("name", REFUSALS)
def test_offer_is_refused_or_taken(name: str) -> None:
    fields, leaving, code = REFUSALS[name]
    gate = Gate("upstream-1", INCARNATION)
    gate.announced(1, 0.0)
    gate.announced(2, 1.0)
    now = MAX_DISPATCH_AGE_S + 1.0
    assert offer(gate, now, leaving, **fields) == code


def test_an_attempt_is_accepted_once() -> None:
    gate = Gate("upstream-1", INCARNATION)
    codes = [offer(gate) for _ in range(2)]
    gate.start(KEY)
    codes.append(offer(gate))
    gate.finish(KEY, 1.0)
    codes.append(offer(gate))
    assert codes == ["taken"] + ["duplicate_attempt"] * 3


def test_a_gate_refuses_new_attempts_after_shut() -> None:
    gate = Gate("upstream-1", INCARNATION)
    gate.shut()
    assert offer(gate) == "shutting_down"


CANCELLATIONS = {
    "unknown": ((), True, Verdict.NEVER_STARTS, "tombstoned"),
    "queued": (("offer",), True, Verdict.TAKEN_FROM_QUEUE, "tombstoned"),
    "running": (("offer", "start"), True, Verdict.STOP, "duplicate_attempt"),
    "running once": (("offer", "start"), False, Verdict.RUNS_ON, "duplicate_attempt"),
    "over": (("offer", "start", "finish"), True, Verdict.OVER, "duplicate_attempt"),
    "refused": (("offer", "withdraw"), True, Verdict.NEVER_STARTS, "tombstoned"),
}


@pytest.mark.parametrize("name", CANCELLATIONS)
def test_cancel_and_a_later_offer(name: str) -> None:
    steps, repeatable, verdict, later = CANCELLATIONS[name]
    gate = Gate("upstream-1", INCARNATION)
    actions = {
        "offer": lambda: offer(gate, repeatable=repeatable),
        "start": lambda: gate.start(KEY),
        "finish": lambda: gate.finish(KEY, 0.0),
        "withdraw": lambda: gate.withdraw(KEY, 0.0),
    }
    for step in steps:
        actions[step]()
    assert gate.cancel(CANCEL, 1.0) is verdict
    assert offer(gate, 2.0, repeatable=repeatable) == later


def test_a_cancellation_of_another_workspace_or_incarnation_changes_nothing() -> None:
    gate = Gate("upstream-1", INCARNATION)
    offer(gate)
    other_workspace = replace(CANCEL, workspace="workspace-b")
    assert gate.cancel(other_workspace, 0.0) is Verdict.WRONG_WORKSPACE
    other_incarnation = replace(CANCEL, incarnation="incarnation-1")
    verdict = gate.cancel(other_incarnation, 0.0)
    assert verdict is Verdict.WRONG_INCARNATION and not verdict.not_run
    assert gate.phase(KEY) is Phase.WAITING


def test_an_attempt_whose_record_was_dropped_is_not_reported_as_not_run() -> None:
    gate = Gate("upstream-1", INCARNATION)
    gate.announced(1, 0.0)
    offer(gate, record_seq=1)
    gate.start(KEY)
    gate.finish(KEY, 1.0)
    late = 1.0 + gate.retention_s
    gate.announced(2, late)
    for seq in (0, 1, 1):
        verdict = gate.cancel(replace(CANCEL, record_seq=seq), late)
        assert verdict is Verdict.UNKNOWN and not verdict.not_run
    # Nor is it after a late copy of its dispatch was refused in between.
    assert offer(gate, late, request_id="req-3", record_seq=1) == "stale_dispatch"
    repeat = replace(CANCEL, request_id="req-3", record_seq=1)
    assert gate.cancel(repeat, late) is Verdict.UNKNOWN
    fresh = replace(CANCEL, request_id="req-2", record_seq=2)
    assert gate.cancel(fresh, late) is Verdict.NEVER_STARTS


def test_a_tombstone_is_retained_while_a_dispatch_may_still_be_accepted() -> None:
    """The attempt is cancelled at once, its dispatch built just before the deadline.

    The dispatch is then delayed for as long as it is still accepted.
    """
    gate = Gate("upstream-1", INCARNATION)
    gate.announced(1, 0.0)
    gate.cancel(replace(CANCEL, record_seq=1), 0.0)
    built = 29.0
    gate.announced(2, built)
    late = built + MAX_DISPATCH_AGE_S
    assert offer(gate, late, record_seq=2, deadline_s=1.0) == "tombstoned"
    assert offer(gate, late + 1, request_id="req-2", record_seq=2) == "stale_dispatch"


def test_starting_an_attempt_twice_or_after_cancel_raises_an_error() -> None:
    gate = Gate("upstream-1", INCARNATION)
    offer(gate)
    gate.start(KEY)
    with pytest.raises(InvariantError):
        gate.start(KEY)
    gate.cancel(replace(CANCEL, request_id="req-2"), 0.0)
    with pytest.raises(InvariantError):
        gate.start(("req-2", 1))


DEADLINE_S = 30.0
RENEWAL_S = 2.0


class GateMachine(RuleBasedStateMachine):
    """Dispatches are delayed by any time; none starts twice or after "not run".

    An entry builds the only dispatch of an attempt within its deadline, on the newest
    announcement; anything may delay it after that.
    """

    dispatches = Bundle("dispatches")

    @initialize()
    def begin(self) -> None:
        self.gate = Gate("upstream-1", INCARNATION)
        self.now = 0.0
        self.seq = 0
        self.count = 0
        self.begun: dict[str, float] = {}
        self.starts: dict[str, int] = {}
        self.reported_not_run: set[str] = set()
        self.wait(0.0)

    @rule(seconds=st.sampled_from([0.0, 1.0, 20.0, 40.0, 70.0, 200.0, 3600.0]))
    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now + RENEWAL_S <= end:
            self.now += RENEWAL_S
            self.announce()
        self.now = end
        self.announce()
        self.gate.expire(self.now)

    @rule(seconds=st.sampled_from([70.0, 200.0, 3600.0]))
    def pause_sidecar(self, seconds: float) -> None:
        """The sidecar is paused and announces nothing."""
        self.now += seconds

    def announce(self) -> None:
        self.seq += 1
        self.gate.announced(self.seq, self.now)

    @rule(
        target=dispatches,
        pause=st.sampled_from([0.0, 5.0, 29.0]),
        early=st.booleans(),
        states_seq=st.booleans(),
    )
    def build(self, pause: float, early: bool, states_seq: bool) -> DispatchReq:
        """Begin a request; some are cancelled before their dispatch is built."""
        self.count += 1
        name = f"req-{self.count}"
        if early:
            self.give_up(name, self.seq)
        self.wait(pause)
        return dispatch_req(
            INCARNATION,
            request_id=name,
            record_seq=self.seq if states_seq else 0,
            deadline_s=DEADLINE_S - pause,
        )

    @rule(req=dispatches)
    def deliver(self, req: DispatchReq) -> None:
        decision = self.gate.offer(req, self.now, leaving=False)
        if isinstance(decision, Ok):
            assert req.request_id not in self.reported_not_run
        elif decision.err_value.not_run:
            assert req.request_id not in self.starts
            self.reported_not_run.add(req.request_id)

    @rule(req=dispatches, states_seq=st.booleans())
    def cancel(self, req: DispatchReq, states_seq: bool) -> None:
        self.give_up(req.request_id, req.record_seq if states_seq else 0)

    def give_up(self, name: str, seq: int) -> None:
        req = replace(CANCEL, request_id=name, record_seq=seq)
        if self.gate.cancel(req, self.now).not_run:
            assert name not in self.starts
            self.reported_not_run.add(name)

    @rule(req=dispatches, end=st.booleans())
    def start_or_finish(self, req: DispatchReq, end: bool) -> None:
        key = (req.request_id, req.attempt)
        if self.gate.phase(key) is Phase.WAITING:
            assert req.request_id not in self.reported_not_run
            self.gate.start(key)
            self.starts[key[0]] = self.starts.get(key[0], 0) + 1
        elif end and self.gate.phase(key) is Phase.RUNNING:
            self.gate.finish(key, self.now)

    @invariant()
    def starts_at_most_once(self) -> None:
        if hasattr(self, "starts"):
            assert all(count == 1 for count in self.starts.values())

    def teardown(self) -> None:
        if not hasattr(self, "gate"):
            return
        unfinished = self.gate.unfinished
        self.gate.expire(self.now + self.gate.retention_s)
        assert len(self.gate) == unfinished


TestGateMachine = GateMachine.TestCase
