"""Decides when work starts at one upstream, and what is refused at once.

At most ``max_running`` attempts run and at most ``max_queued`` wait; they start no
faster than the upstream asks for.  Higher priorities start first; within a priority
workspaces share by start-time fair queueing on estimated tokens.  Work that can't meet
its deadline is refused when it is offered, or as soon as that becomes certain, with a
time to retry.  Pure state of one sidecar's gate; it lives as long as the sidecar's
incarnation.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from gooseberrydale import errors
from gooseberrydale.connection.messages import Load
from gooseberrydale.errors import InvariantError, Problem, problem
from gooseberrydale.request.fair_queue import FairQueue, Waiting, Work
from gooseberrydale.request.pace import Pace

__all__ = ["Admission", "Admitted", "Queued", "Work"]

DEFAULT_PREFILL_TPS = 8_000.0
DEFAULT_HOLD_S = 1.0
HOLD_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.1
KEPT_IDS = 4_096


@dataclass(frozen=True, slots=True)
class Admitted:
    """The work starts now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The work waits; ``displaced`` was refused to make room: answer it at once."""

    wait_s: float
    displaced: tuple[tuple[str, Problem], ...] = ()


@dataclass(slots=True)
class _Running:
    work: Work
    started_at: float
    prefilling: bool = True


class Admission:
    """Gate before one upstream; every method takes the loop's time in seconds."""

    def __init__(
        self,
        max_running: int,
        max_queued: int,
        prefill_tps: float = DEFAULT_PREFILL_TPS,
    ) -> None:
        self._max_running = max_running
        self._max_queued = max_queued
        self._prefill_tps = prefill_tps
        self._hold_s = DEFAULT_HOLD_S
        self._running: dict[str, _Running] = {}
        self._prefilled_at = 0.0
        self._queue = FairQueue()
        self._hopeless: list[Waiting] = []
        self._started: OrderedDict[str, None] = OrderedDict()
        self._pace = Pace()

    def offer(self, work: Work, now: float) -> Admitted | Queued | Problem:
        """Take new work, queue it, or refuse it at once (``not_run`` is True)."""
        if self._is_known(work.id):
            return _duplicate(work)
        starts_now = self._may_start(now) and not self._queue
        if starts_now:
            wait_s = self._prefill_backlog_s(now)
        else:
            wait_s = self._queued_wait_s(work, now)
        if wait_s + self._prefill_s(work) > work.deadline_s:
            return self._too_late(wait_s, work, now)
        if starts_now:
            # Through the queue, so that its workspace is charged for it.
            self._queue.push(work, now)
            self._start_queued(now)
            return Admitted()
        return self._enqueue(work, wait_s, now)

    def first_token(self, work_id: str, now: float) -> None:
        """Say that the work's prompt is computed and no longer delays others.

        Without it the prompt counts for as long as its tokens take at the rate.
        """
        if work_id in self._running:
            self._running[work_id].prefilling = False
            self._end_backlog(now)

    def finish(self, work_id: str, now: float) -> list[str]:
        """Free the work's slot; return the ids of queued work that starts now."""
        done = self._running.pop(work_id, None)
        if done is None:
            return []
        self._end_backlog(now)
        held_s = max(0.0, now - done.started_at)
        self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
        return self._start_queued(now)

    def cancel(self, work_id: str, now: float) -> list[str]:
        """Give the work up, running or queued; return the ids that start now."""
        if self._running.pop(work_id, None) is not None:
            self._end_backlog(now)
            return self._start_queued(now)
        self._queue.remove(work_id)
        self._hopeless = [w for w in self._hopeless if w.work.id != work_id]
        return []

    def expire(self, now: float) -> list[tuple[str, Problem]]:
        """Return queued work that can't meet its deadline, to be answered at once."""
        late = self._hopeless
        self._hopeless = []
        for waiting in self._queue.items():
            if self._is_late(waiting, now):
                self._queue.remove(waiting.work.id)
                late.append(waiting)
        wait_s = max(self._slot_wait_s(), self._pace.wait_s(now))
        return [(w.work.id, self._too_late(wait_s, w.work, now)) for w in late]

    def next_expiry(self) -> float | None:
        """Return when :meth:`expire` has work at the latest; None if nothing waits."""
        if self._hopeless:
            return self._hopeless[0].offered_at
        times = [self._latest_start(waiting) for waiting in self._queue.items()]
        return min(times, default=None)

    def limit(self, per_s: float | None, now: float) -> None:
        """Start ``per_s`` attempts a second at most; None without a limit."""
        self._pace.limit(per_s, now)

    def back_off(self, for_s: float, now: float) -> None:
        """Start nothing for a time, as the upstream asks for."""
        self._pace.back_off(for_s, now)

    def next_start(self, now: float) -> float | None:
        """Return when :meth:`start_due` has work; None if that takes a free slot."""
        if not self._queue or not self._has_slot():
            return None
        return now + self._pace.wait_s(now)

    def start_due(self, now: float) -> list[str]:
        """Return the ids of queued work that starts now."""
        return self._start_queued(now)

    def observe_rate(self, prefill_tps: float) -> None:
        """Take the upstream's measured prefill rate in tokens a second."""
        if prefill_tps > 0:
            self._prefill_tps = prefill_tps

    def load(self, now: float) -> Load:
        """Return the load as the replies report it."""
        return Load(
            running=len(self._running),
            queued=len(self._queue),
            queue_s=self._wait_s(self._queue.tokens(), len(self._queue), now),
            prefill_tps=self._prefill_tps,
        )

    def _has_slot(self) -> bool:
        return len(self._running) < self._max_running

    def _may_start(self, now: float) -> bool:
        return self._has_slot() and self._pace.wait_s(now) <= 0.0

    def _is_known(self, work_id: str) -> bool:
        if work_id in self._running or work_id in self._queue:
            return True
        return work_id in self._started

    def _enqueue(self, work: Work, wait_s: float, now: float) -> Queued | Problem:
        displaced: tuple[tuple[str, Problem], ...] = ()
        if len(self._queue) >= self._max_queued:
            worst = self._queue.worse_than(work)
            if worst is None:
                return self._full(now)
            self._queue.remove(worst.work.id)
            displaced = ((worst.work.id, self._full(now)),)
        self._queue.push(work, now)
        self._check()
        return Queued(wait_s, displaced)

    def _start_queued(self, now: float) -> list[str]:
        started = []
        while self._may_start(now):
            waiting = self._queue.pop()
            if waiting is None:
                break
            if self._is_late(waiting, now):
                self._hopeless.append(waiting)
                continue
            self._start(waiting.work, now)
            started.append(waiting.work.id)
        return started

    def _start(self, work: Work, now: float) -> None:
        if work.id in self._running or work.id in self._started:
            raise InvariantError(f"work {work.id} started twice")
        self._started[work.id] = None
        if len(self._started) > KEPT_IDS:
            self._started.popitem(last=False)
        self._running[work.id] = _Running(work, now)
        self._pace.start(now)
        begins_at = max(now, self._prefilled_at)
        self._prefilled_at = begins_at + self._prefill_s(work)
        self._check()

    def _check(self) -> None:
        if len(self._running) > self._max_running:
            raise InvariantError(f"{len(self._running)} run of {self._max_running}")
        if len(self._queue) > self._max_queued:
            raise InvariantError(f"{len(self._queue)} wait of {self._max_queued}")

    def _prefill_s(self, work: Work) -> float:
        return work.tokens / self._prefill_tps

    def _prefill_backlog_s(self, now: float) -> float:
        """Time until the prompts of all running work are computed."""
        return max(0.0, self._prefilled_at - now)

    def _end_backlog(self, now: float) -> None:
        if not any(running.prefilling for running in self._running.values()):
            self._prefilled_at = now

    def _slot_wait_s(self) -> float:
        return self._hold_s / self._max_running

    def _queued_wait_s(self, work: Work, now: float) -> float:
        tokens, count = self._queue.ahead_of(work)
        return self._wait_s(tokens, count, now)

    def _wait_s(self, tokens: int, count: int, now: float) -> float:
        """Expected wait behind ``count`` queued attempts of ``tokens`` in all."""
        prefill_s = self._prefill_backlog_s(now) + tokens / self._prefill_tps
        start_s = self._pace.wait_s(now, ahead=count)
        if self._has_slot() and count == 0:
            return max(prefill_s, start_s)
        return max(prefill_s, start_s, (count + 1) * self._slot_wait_s())

    def _latest_start(self, waiting: Waiting) -> float:
        deadline = waiting.offered_at + waiting.work.deadline_s
        return deadline - self._prefill_s(waiting.work)

    def _is_late(self, waiting: Waiting, now: float) -> bool:
        return now > self._latest_start(waiting)

    def _retry_after_s(self, now: float) -> float:
        wait_s = self._wait_s(self._queue.tokens(), len(self._queue), now)
        return max(MIN_RETRY_AFTER_S, wait_s)

    def _too_late(self, wait_s: float, work: Work, now: float) -> Problem:
        return problem(
            errors.DEADLINE_TOO_CLOSE,
            retry_after_s=self._retry_after_s(now),
            wait_s=wait_s,
            deadline_s=work.deadline_s,
        )

    def _full(self, now: float) -> Problem:
        return problem(errors.QUEUE_FULL, retry_after_s=self._retry_after_s(now))


def _duplicate(work: Work) -> Problem:
    return problem(
        errors.DUPLICATE_ATTEMPT,
        not_run=None,
        attempt=work.attempt,
        request_id=work.id,
    )
