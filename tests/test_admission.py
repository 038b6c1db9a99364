"""Admission at one upstream: limits, order, fairness and deadlines."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gooseberrydale import errors
from gooseberrydale.errors import Problem
from gooseberrydale.request.admission import Admission, Admitted, Queued, Work
from gooseberrydale.request.fair_queue import PRUNE_THRESHOLD_WORKSPACES, FairQueue
from tests.builders_request import work

TPS = 1_000.0


def make_admission(max_running: int = 1, max_queued: int = 100) -> Admission:
    return Admission(max_running, max_queued, prefill_tps=TPS)


def drained(admission: Admission, running: str) -> list[str]:
    """Finish running work one at a time; return the ids in the order of starts."""
    order = [running]
    while True:
        started = admission.finish(order[-1], 0.0)
        if not started:
            return order
        order += started


def refusal(answer: object) -> Problem:
    assert isinstance(answer, Problem)
    assert answer.not_run is True
    assert answer.retry_after_s is not None and answer.retry_after_s > 0
    return answer


def test_runs_queues_and_refuses_at_once() -> None:
    admission = make_admission(max_running=2, max_queued=1)
    answers = [admission.offer(work(name), 0.0) for name in "abcd"]
    assert answers[:2] == [Admitted(), Admitted()]
    assert isinstance(answers[2], Queued)
    assert refusal(answers[3]).code == errors.QUEUE_FULL.code
    load = admission.load(0.0)
    assert (load.running, load.queued) == (2, 1)
    assert admission.finish("a", 0.0) == ["c"]
    assert admission.finish("a", 0.0) == []


@pytest.mark.parametrize(
    ("offers", "order"),
    [
        # Higher priority first, then in the order of arrival.
        ([work("a"), work("b", priority=1), work("c")], ["b", "a", "c"]),
        # A workspace with many requests does not delay the first ones of others.
        (
            [*(work(f"a{i}") for i in range(4)), work("b", workspace="w2")],
            ["a0", "b", "a1", "a2", "a3"],
        ),
        # A share of three gets three starts for each start of a share of one.
        (
            [
                *(work(f"a{i}") for i in range(2)),
                *(work(f"b{i}", workspace="w2", share=3.0) for i in range(6)),
            ],
            ["a0", "b0", "b1", "b2", "a1", "b3", "b4", "b5"],
        ),
        # Fairness counts tokens, not requests.
        (
            [
                work("a0", tokens=4_000),
                work("a1"),
                *(work(f"b{i}", workspace="w2") for i in range(4)),
            ],
            ["a0", "b0", "b1", "b2", "b3", "a1"],
        ),
    ],
)
def test_order_of_starts(offers: list[Work], order: list[str]) -> None:
    admission = make_admission()
    admission.offer(work("first", workspace="other"), 0.0)
    for offered in offers:
        assert isinstance(admission.offer(offered, 0.0), Queued)
    assert drained(admission, "first")[1:] == order


def test_work_that_starts_immediately_counts_for_fairness() -> None:
    admission = make_admission(max_running=4)
    for number in range(4):
        admission.offer(work(f"a{number}"), 0.0)
    admission.offer(work("late"), 0.0)
    admission.offer(work("b", workspace="w2"), 0.0)
    assert admission.finish("a0", 0.0) == ["b"]


def test_a_new_workspace_gets_no_credit_for_earlier_time() -> None:
    admission = make_admission()
    admission.offer(work("a0"), 0.0)
    for number in range(1, 20):
        admission.offer(work(f"a{number}"), 0.0)
        admission.finish(f"a{number - 1}", 0.0)
    for number in range(2):
        admission.offer(work(f"a2{number}"), 0.0)
        admission.offer(work(f"b{number}", workspace="w2"), 0.0)
    assert drained(admission, "a19")[1:] == ["b0", "a20", "b1", "a21"]


def test_cancelled_queued_work_is_not_charged_to_its_workspace() -> None:
    admission = make_admission()
    admission.offer(work("first", workspace="other"), 0.0)
    admission.offer(work("a0", tokens=9_000), 0.0)
    admission.cancel("a0", 0.0)
    admission.offer(work("b0", workspace="w2"), 0.0)
    admission.offer(work("b1", workspace="w2"), 0.0)
    admission.offer(work("a1"), 0.0)
    assert drained(admission, "first")[1:] == ["b0", "a1", "b1"]


def test_wait_counts_only_work_that_starts_earlier() -> None:
    admission = make_admission()
    for number in range(5):
        admission.offer(work(f"a{number}"), 0.0)
    urgent = work("urgent", priority=1, deadline_s=2.1)
    assert isinstance(admission.offer(urgent, 0.0), Queued)


def test_fair_queue_drops_idle_workspaces() -> None:
    queue = FairQueue()
    for number in range(3 * PRUNE_THRESHOLD_WORKSPACES):
        queue.push(work(f"a{number}", workspace=f"w{number}"), 0.0)
        queue.push(work(f"b{number}", workspace="busy"), 0.0)
        while queue.pop():
            pass
    assert len(queue._tags[0].finish) <= PRUNE_THRESHOLD_WORKSPACES + 1


def test_full_queue_displaces_work_for_the_fair_share_of_others() -> None:
    admission = make_admission(max_queued=3)
    for number in range(4):
        admission.offer(work(f"a{number}"), 0.0)
    answer = admission.offer(work("b", workspace="w2"), 0.0)
    assert isinstance(answer, Queued)
    [(displaced, why)] = answer.displaced
    assert displaced == "a3"
    assert refusal(why).code == errors.QUEUE_FULL.code
    assert refusal(admission.offer(work("a4"), 0.0)).code == errors.QUEUE_FULL.code
    assert admission.load(0.0).queued == 3


@pytest.mark.parametrize(
    ("ahead", "deadline_s", "fits"),
    [
        ([], 0.9, False),  # its own prompt takes 1 s
        ([], 1.1, True),
        (["a"], 1.9, False),  # one prompt before it
        (["a"], 2.1, True),
        (["a", "b"], 2.9, False),
        (["a", "b"], 3.1, True),
    ],
)
def test_deadline_is_checked_at_the_offer(
    ahead: list[str], deadline_s: float, fits: bool
) -> None:
    admission = make_admission()
    for name in ahead:
        admission.offer(work(name), 0.0)
    answer = admission.offer(work("x", deadline_s=deadline_s), 0.0)
    if fits:
        assert isinstance(answer, Admitted | Queued)
    else:
        assert refusal(answer).code == errors.DEADLINE_TOO_CLOSE.code


def test_computed_prompts_no_longer_delay_others() -> None:
    admission = make_admission(max_running=2)
    admission.offer(work("a", tokens=5_000), 0.0)
    assert admission.load(0.0).queue_s == pytest.approx(5.0)
    admission.first_token("a", 1.0)
    assert admission.load(1.0).queue_s == 0.0
    assert admission.offer(work("b", deadline_s=1.1), 1.0) == Admitted()


@pytest.mark.parametrize(("passed_s", "left_s"), [(0.0, 5.0), (2.0, 3.0), (9.0, 0.0)])
def test_remaining_prefill_of_running_prompts_shrinks_with_time(
    passed_s: float, left_s: float
) -> None:
    admission = make_admission(max_running=9)
    admission.offer(work("a", tokens=2_000), 0.0)
    admission.offer(work("b", tokens=3_000), 0.0)
    assert admission.load(passed_s).queue_s == pytest.approx(left_s)
    for name in "ab":
        admission.cancel(name, 0.0)
    assert admission.load(0.0).queue_s == 0.0


def test_queued_work_is_refused_once_it_cannot_meet_its_deadline() -> None:
    admission = make_admission()
    admission.offer(work("a"), 0.0)
    admission.offer(work("b", deadline_s=3.0), 0.0)
    admission.offer(work("c"), 0.0)
    assert admission.next_expiry() == pytest.approx(2.0)
    assert admission.expire(1.9) == []
    [(late, why)] = admission.expire(2.1)
    assert late == "b"
    assert refusal(why).code == errors.DEADLINE_TOO_CLOSE.code
    assert admission.finish("a", 2.2) == ["c"]


def test_late_work_gets_no_free_slot_and_is_returned_by_expire() -> None:
    admission = make_admission()
    admission.offer(work("a"), 0.0)
    admission.offer(work("b", deadline_s=3.0), 0.0)
    assert admission.finish("a", 2.5) == []
    next_expiry = admission.next_expiry()
    assert next_expiry is not None and next_expiry <= 2.5
    assert [late for late, _ in admission.expire(2.5)] == ["b"]
    assert admission.expire(2.5) == []


def test_cancel_frees_a_slot_or_a_queue_place() -> None:
    admission = make_admission()
    for name in "abc":
        admission.offer(work(name), 0.0)
    assert admission.cancel("b", 0.0) == []
    assert admission.cancel("a", 0.0) == ["c"]
    assert admission.cancel("unknown", 0.0) == []


@pytest.mark.parametrize("done", [False, True])
def test_an_attempt_is_never_accepted_twice(done: bool) -> None:
    admission = make_admission()
    admission.offer(work("a"), 0.0)
    if done:
        admission.finish("a", 0.0)
    answer = admission.offer(work("a"), 0.0)
    assert isinstance(answer, Problem)
    assert answer.code == errors.DUPLICATE_ATTEMPT.code
    assert answer.not_run is None


class AdmissionMachine(RuleBasedStateMachine):
    """Offers, finishes, cancels and lets time pass in any order.

    Each work starts at most once, or is refused, and the limits hold.
    """

    MAX_RUNNING, MAX_QUEUED = 2, 3

    def __init__(self) -> None:
        super().__init__()
        self.admission = make_admission(self.MAX_RUNNING, self.MAX_QUEUED)
        self.now = 0.0
        self.count = 0
        self.queued: set[str] = set()
        self.running: set[str] = set()
        self.started: set[str] = set()

    def start(self, names: list[str]) -> None:
        for name in names:
            assert name not in self.started
            self.started.add(name)
            self.queued.remove(name)
            self.running.add(name)

    def leave_queue(self, refusals: list[tuple[str, Problem]]) -> None:
        for name, why in refusals:
            refusal(why)
            self.queued.remove(name)

    @rule(
        workspace=st.sampled_from(["w1", "w2", "w3"]),
        tokens=st.integers(0, 3_000),
        deadline_s=st.sampled_from([0.5, 2.0, 5.0, 60.0]),
        share=st.sampled_from([0.5, 1.0, 4.0]),
        priority=st.integers(0, 1),
    )
    def offer(
        self,
        workspace: str,
        tokens: int,
        deadline_s: float,
        share: float,
        priority: int,
    ) -> None:
        self.count += 1
        name = f"work-{self.count}"
        offered = Work(name, workspace, tokens, deadline_s, share, priority)
        answer = self.admission.offer(offered, self.now)
        if isinstance(answer, Problem):
            refusal(answer)
            return
        self.queued.add(name)
        if isinstance(answer, Admitted):
            self.start([name])
        else:
            self.leave_queue(list(answer.displaced))

    @precondition(lambda self: self.started)
    @rule(data=st.data())
    def offer_again(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.started)))
        answer = self.admission.offer(work(name), self.now)
        assert isinstance(answer, Problem) and answer.not_run is None

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(name)
        self.start(self.admission.finish(name, self.now))

    @rule(number=st.integers(1, 40))
    def cancel(self, number: int) -> None:
        name = f"work-{number}"
        self.running.discard(name)
        self.queued.discard(name)
        self.start(self.admission.cancel(name, self.now))

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def expire(self) -> None:
        self.leave_queue(self.admission.expire(self.now))
        next_expiry = self.admission.next_expiry()
        assert next_expiry is None or next_expiry >= self.now

    @invariant()
    def limits_hold_and_no_slot_is_idle_while_work_waits(self) -> None:
        load = self.admission.load(self.now)
        assert load.running == len(self.running) <= self.MAX_RUNNING
        assert load.queued <= self.MAX_QUEUED
        assert load.queued <= len(self.queued)
        assert load.queued == 0 or load.running == self.MAX_RUNNING


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


def test_starts_keep_to_the_rate_limit_of_the_upstream() -> None:
    admission = Admission(max_running=100, max_queued=100)
    admission.limit(2.0, 0.0)
    starts = []
    for tenth in range(100):
        now = tenth / 10.0
        starts += [now] * len(admission.start_due(now))
        outcome = admission.offer(work(f"w{tenth}", deadline_s=60.0), now)
        starts += [now] * isinstance(outcome, Admitted)
    for first in starts:
        assert sum(first <= at < first + 4.0 for at in starts) <= 1.5 * 2.0 * 4.0 + 5
    assert len(starts) >= 2.0 * 9.0
    admission.limit(None, 10.0)
    assert len(admission.start_due(10.0)) == 100 - len(starts)


def test_work_that_the_rate_limit_makes_late_is_refused_when_offered() -> None:
    admission = Admission(max_running=100, max_queued=100)
    admission.limit(0.5, 0.0)
    assert isinstance(admission.offer(work("w1", deadline_s=5.0), 0.0), Queued)
    refused = admission.offer(work("w2", deadline_s=3.5), 0.0)
    assert isinstance(refused, Problem) and refused.not_run
    assert refused.retry_after_s is not None and refused.retry_after_s >= 2.0
