"""Decides when work starts at one upstream, and which work is refused at once.

At most ``max_running`` attempts run and at most ``max_queued`` wait; they start no
faster than the upstream's rate limit. Higher priorities start first; within a priority,
start-time fair queueing on estimated tokens divides the upstream among the workspaces.
Work that can't meet its deadline is refused with a retry time, when it is offered or as
soon as that becomes certain. Pure state, one per incarnation of a sidecar.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from gooseberrydale import errors
from gooseberrydale.connection.messages import Load
from gooseberrydale.errors import InvariantError, Problem, problem
from gooseberrydale.request.fair_queue import FairQueue, QueuedWork, Work
from gooseberrydale.request.start_limiter import StartLimiter

__all__ = ["Admission", "Admitted", "Queued", "Work"]

DEFAULT_PREFILL_TPS = 8_000.0
DEFAULT_SLOT_TIME_S = 1.0
SLOT_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_STARTED_IDS = 4_096


@dataclass(frozen=True, slots=True)
class Admitted:
    """The work starts now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The work waits; answer ``displaced``, refused to free its place, at once."""

    wait_s: float
    displaced: tuple[tuple[str, Problem], ...] = ()


@dataclass(slots=True)
class _Running:
    work: Work
    started_at: float
    prefilling: bool = True


class Admission:
    """Admits work to one upstream; every method takes the loop's time in seconds."""

    def __init__(
        self,
        max_running: int,
        max_queued: int,
        prefill_tps: float = DEFAULT_PREFILL_TPS,
    ) -> None:
        self._max_running = max_running
        self._max_queued = max_queued
        self._prefill_tps = prefill_tps
        self._slot_time_s = DEFAULT_SLOT_TIME_S
        self._running: dict[str, _Running] = {}
        self._prefilled_at = 0.0
        self._queue = FairQueue()
        self._overdue: list[QueuedWork] = []
        self._started: OrderedDict[str, None] = OrderedDict()
        self._start_limiter = StartLimiter()

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
            # Pushed to the queue first, so that its workspace is charged for it.
            self._queue.push(work, now)
            self._start_queued(now)
            return Admitted()
        return self._enqueue(work, wait_s, now)

    def first_token(self, work_id: str, now: float) -> None:
        """Note that the work's prompt is computed and no longer delays others.

        Without this call, the prompt counts for as long as its tokens take at the
        prefill rate.
        """
        if work_id in self._running:
            self._running[work_id].prefilling = False
            self._end_backlog(now)

    def finish(self, work_id: str, now: float) -> list[str]:
        """Free the work's slot; return the ids of queued work that starts now."""
        finished = self._running.pop(work_id, None)
        if finished is None:
            return []
        self._end_backlog(now)
        occupied_s = max(0.0, now - finished.started_at)
        self._slot_time_s += SLOT_TIME_SMOOTHING * (occupied_s - self._slot_time_s)
        return self._start_queued(now)

    def cancel(self, work_id: str, now: float) -> list[str]:
        """Remove running or queued work; return the ids of work that starts now."""
        if self._running.pop(work_id, None) is not None:
            self._end_backlog(now)
            return self._start_queued(now)
        self._queue.remove(work_id)
        self._overdue = [w for w in self._overdue if w.work.id != work_id]
        return []

    def expire(self, now: float) -> list[tuple[str, Problem]]:
        """Remove and return queued work that is too late, to be answered at once."""
        late = self._overdue
        self._overdue = []
        for waiting in self._queue.items():
            if self._is_late(waiting, now):
                self._queue.remove(waiting.work.id)
                late.append(waiting)
        wait_s = max(self._slot_wait_s(), self._start_limiter.wait_s(now))
        return [(w.work.id, self._too_late(wait_s, w.work, now)) for w in late]

    def next_expiry(self) -> float | None:
        """Return when to call :meth:`expire` at the latest; None if nothing waits."""
        if self._overdue:
            return self._overdue[0].offered_at
        times = [self._latest_start(waiting) for waiting in self._queue.items()]
        return min(times, default=None)

    def limit(self, per_s: float | None, now: float) -> None:
        """Start at most ``per_s`` attempts a second; None removes the limit."""
        self._start_limiter.limit(per_s, now)

    def back_off(self, for_s: float, now: float) -> None:
        """Start nothing for ``for_s`` seconds, as the upstream has asked."""
        self._start_limiter.back_off(for_s, now)

    def next_start(self, now: float) -> float | None:
        """Return when to call :meth:`start_due`; None if no queued work has a slot."""
        if not self._queue or not self._has_slot():
            return None
        return now + self._start_limiter.wait_s(now)

    def start_due(self, now: float) -> list[str]:
        """Return the ids of queued work that starts now."""
        return self._start_queued(now)

    def observe_rate(self, prefill_tps: float) -> None:
        """Set the prefill rate measured at the upstream, in tokens a second."""
        if prefill_tps > 0:
            self._prefill_tps = prefill_tps

    def load(self, now: float) -> Load:
        """Return the load to report in replies."""
        return Load(
            running=len(self._running),
            queued=len(self._queue),
            queue_s=self._wait_s(self._queue.tokens(), len(self._queue), now),
            prefill_tps=self._prefill_tps,
        )

    def _has_slot(self) -> bool:
        return len(self._running) < self._max_running

    def _may_start(self, now: float) -> bool:
        return self._has_slot() and self._start_limiter.wait_s(now) <= 0.0

    def _is_known(self, work_id: str) -> bool:
        if work_id in self._running or work_id in self._queue:
            return True
        return work_id in self._started

    def _enqueue(self, work: Work, wait_s: float, now: float) -> Queued | Problem:
        displaced: tuple[tuple[str, Problem], ...] = ()
        if len(self._queue) >= self._max_queued:
            lowest = self._queue.last_behind(work)
            if lowest is None:
                return self._full(now)
            self._queue.remove(lowest.work.id)
            displaced = ((lowest.work.id, self._full(now)),)
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
                self._overdue.append(waiting)
                continue
            self._start(waiting.work, now)
            started.append(waiting.work.id)
        return started

    def _start(self, work: Work, now: float) -> None:
        if work.id in self._running or work.id in self._started:
            raise InvariantError(f"work {work.id} was started a second time")
        self._started[work.id] = None
        if len(self._started) > MAX_STARTED_IDS:
            self._started.popitem(last=False)
        self._running[work.id] = _Running(work, now)
        self._start_limiter.start(now)
        begins_at = max(now, self._prefilled_at)
        self._prefilled_at = begins_at + self._prefill_s(work)
        self._check()

    def _check(self) -> None:
        if len(self._running) > self._max_running:
            raise InvariantError(
                f"{len(self._running)} attempts run, max_running is {self._max_running}"
            )
        if len(self._queue) > self._max_queued:
            raise InvariantError(
                f"{len(self._queue)} attempts wait, max_queued is {self._max_queued}"
            )

    def _prefill_s(self, work: Work) -> float:
        return work.tokens / self._prefill_tps

    def _prefill_backlog_s(self, now: float) -> float:
        """Return the time until the prompts of all running work are computed."""
        return max(0.0, self._prefilled_at - now)

    def _end_backlog(self, now: float) -> None:
        if not any(running.prefilling for running in self._running.values()):
            self._prefilled_at = now

    def _slot_wait_s(self) -> float:
        return self._slot_time_s / self._max_running

    def _queued_wait_s(self, work: Work, now: float) -> float:
        tokens, count = self._queue.ahead_of(work)
        return self._wait_s(tokens, count, now)

    def _wait_s(self, tokens: int, count: int, now: float) -> float:
        """Return the wait behind ``count`` queued attempts with ``tokens`` in total."""
        prefill_s = self._prefill_backlog_s(now) + tokens / self._prefill_tps
        start_s = self._start_limiter.wait_s(now, ahead=count)
        if self._has_slot() and count == 0:
            return max(prefill_s, start_s)
        return max(prefill_s, start_s, (count + 1) * self._slot_wait_s())

    def _latest_start(self, waiting: QueuedWork) -> float:
        deadline = waiting.offered_at + waiting.work.deadline_s
        return deadline - self._prefill_s(waiting.work)

    def _is_late(self, waiting: QueuedWork, now: float) -> bool:
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
