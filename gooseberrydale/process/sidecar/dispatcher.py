"""Accepts attempts, runs an upstream call for each, and retains answers for a time.

The dispatcher combines two components that do no I/O: the gate, which decides whether
an attempt may run at all, and the admission, which decides when it starts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from loguru import logger
from result import Err, Ok, Result

from gooseberrydale.connection.messages import (
    AttachReq,
    CancelReply,
    CancelReq,
    DispatchReq,
    Load,
    Refused,
)
from gooseberrydale.connection.upstream_api import Backpressure
from gooseberrydale.errors import (
    INTERNAL,
    OUTCOME_UNKNOWN,
    TOMBSTONED,
    UNKNOWN_STREAM,
    UPSTREAM_FAILED,
    UPSTREAM_LEAVING,
    WRONG_INCARNATION,
    InvariantError,
    Problem,
    problem,
)
from gooseberrydale.process.cfg import SidecarCfg
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.request.admission import Admission, Admitted, Queued
from gooseberrydale.request.fair_queue import Work
from gooseberrydale.request.gate import Gate, Phase, Verdict
from gooseberrydale.version.config_store import ConfigStore

SWEEP_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.05
DEFAULT_SHARE = 1.0

Runner = Callable[[Attempt], Awaitable[None]]
TokenCount = Callable[[DispatchReq], int]


class Dispatcher:
    """The attempts of one sidecar.

    ``runner`` makes the upstream call of an attempt; ``uncached_tokens`` estimates how
    many tokens of its prompt must be computed.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        cfg: SidecarCfg,
        store: ConfigStore,
        runner: Runner,
        uncached_tokens: TokenCount,
        cached_blocks: Callable[[], int] = lambda: 0,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._cfg = cfg
        self._store = store
        self._runner = runner
        self._uncached_tokens = uncached_tokens
        self._cached_blocks = cached_blocks
        self.gate = Gate(name, incarnation)
        self.admission = Admission(cfg.max_running, cfg.max_queued)
        self._attempts: dict[str, Attempt] = {}
        self._latest: dict[str, Attempt] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that drops answers without a reader."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Stop immediately.

        Each running attempt ends with a problem that states what is known of its
        outcome.
        """
        if self._timer is not None:
            self._timer.cancel()
        if self._sweeper is not None:
            self._sweeper.cancel()
        tasks = self.stop_running(lambda _attempt: True)
        if tasks:
            await asyncio.wait(tasks)

    # Requests of entries.

    def dispatch(self, req: DispatchReq) -> Attempt | Refused:
        """Accept an attempt, which starts now or is queued, or refuse it."""
        leaving = self._name in self._store.config.leaving
        decision = self.gate.offer(req, _now(), leaving=leaving)
        if isinstance(decision, Err):
            return self._refused(req, decision.err_value)
        attempt = Attempt(req, self._cfg.replay_bytes, self.load, self._revision)
        self._attempts[work_id(attempt.key)] = attempt
        self._latest[req.request_id] = attempt
        refusal = self._admit(attempt)
        self._arm_timer()
        if refusal is not None:
            self._drop(attempt)
            return self._refused(req, refusal)
        return attempt

    def attach(self, req: AttachReq) -> Result[Attempt, Problem]:
        """Find the attempt whose answer can be read from the requested offset."""
        if req.incarnation != self._incarnation:
            return Err(
                problem(
                    WRONG_INCARNATION,
                    not_run=None,
                    actual=self._incarnation,
                    wanted=req.incarnation,
                )
            )
        attempt = self._find(req)
        # Other workspaces must not learn that the stream exists.
        if attempt is None or attempt.req.workspace != req.workspace:
            return Err(_unknown_stream(req))
        if not attempt.holds(req.offset):
            return Err(_unknown_stream(req))
        return Ok(attempt)

    def cancel(self, req: CancelReq) -> CancelReply:
        """Cancel an attempt; one that arrives later will be refused."""
        verdict = self.gate.cancel(req, _now())
        attempt = self._attempts.get(work_id((req.request_id, req.attempt)))
        if verdict is Verdict.TAKEN_FROM_QUEUE and attempt is not None:
            self._take_from_queue(attempt)
        if verdict is Verdict.STOP and attempt is not None:
            self._stop(attempt)
        return CancelReply(verdict.not_run, self._cancel_problem(req, verdict))

    def load(self) -> Load:
        """The current load."""
        return replace(self.admission.load(_now()), cached_blocks=self._cached_blocks())

    @property
    def busy(self) -> bool:
        """Whether any attempt is queued, running or being read."""
        return self.gate.unfinished > 0 or any(
            attempt.readers for attempt in self._attempts.values()
        )

    # Called by the sidecar itself.

    def apply_backpressure(self, backpressure: Backpressure) -> None:
        """Apply the rate limit and the backoff that the upstream asked for."""
        self.admission.limit(backpressure.limit_per_s, _now())
        if backpressure.retry_after_s is not None:
            self.admission.back_off(backpressure.retry_after_s, _now())
        self._arm_timer()

    async def drain(self, limit_s: float) -> None:
        """Refuse new work and wait until the rest is done, at most ``limit_s``.

        ``close`` then stops what still runs.
        """
        self.gate.shut()
        deadline = _now() + limit_s
        while self.busy and _now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    def refuse_queued(self) -> None:
        """Refuse all queued attempts, since the upstream is leaving.

        Running attempts continue.
        """
        for attempt in list(self._attempts.values()):
            if self.gate.phase(attempt.key) is Phase.WAITING:
                waiting_id = work_id(attempt.key)
                self.admission.cancel(waiting_id, _now())
                leaving = problem(UPSTREAM_LEAVING, upstream=self._name)
                self._refuse_waiting(waiting_id, leaving)
        self._arm_timer()

    def stop_running(
        self, matches: Callable[[Attempt], bool]
    ) -> list[asyncio.Task[None]]:
        """Stop the running attempts for which ``matches`` is true; return their tasks.

        Each ends with a problem that states what is known of its outcome.
        """
        tasks = []
        for attempt in list(self._attempts.values()):
            if attempt.task is not None and not attempt.ended and matches(attempt):
                tasks.append(attempt.task)
                self._stop(attempt)
        return tasks

    # Internals.

    def _admit(self, attempt: Attempt) -> Problem | None:
        outcome = self.admission.offer(self._work(attempt), _now())
        if isinstance(outcome, Problem):
            self.gate.withdraw(attempt.key, _now())
            return outcome
        if isinstance(outcome, Admitted):
            self._start(attempt)
        if isinstance(outcome, Queued):
            for waiting_id, refusal in outcome.displaced:
                self._refuse_waiting(waiting_id, refusal)
        return None

    def _work(self, attempt: Attempt) -> Work:
        req = attempt.req
        config = self._store.config
        profile = config.profiles.get(req.profile)
        workspace = config.workspaces.get(req.workspace)
        return Work(
            id=work_id(attempt.key),
            workspace=req.workspace,
            tokens=self._uncached_tokens(req),
            deadline_s=req.deadline_s,
            share=DEFAULT_SHARE if workspace is None else workspace.share,
            priority=0 if profile is None else profile.priority,
        )

    def _start_all(self, ids: list[str]) -> None:
        for attempt_id in ids:
            self._start(self._attempts[attempt_id])

    def _start(self, attempt: Attempt) -> None:
        self.gate.start(attempt.key)
        attempt.started_at = _now()
        attempt.task = asyncio.create_task(self._run(attempt))

    async def _run(self, attempt: Attempt) -> None:
        try:
            await self._runner(attempt)
        except asyncio.CancelledError:
            self._end_unfinished(attempt)
        except InvariantError:
            self._end_unfinished(attempt)
            raise
        except Exception:
            logger.exception("attempt {} failed with an unexpected error", attempt.key)
            if not attempt.ended:
                attempt.end(problem(INTERNAL, not_run=None))
        finally:
            self._on_finished(attempt)

    def _end_unfinished(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        if attempt.req.repeatable:
            attempt.end(problem(UPSTREAM_FAILED, not_run=False))
        else:
            attempt.end(problem(OUTCOME_UNKNOWN, not_run=None))

    def _on_finished(self, attempt: Attempt) -> None:
        if not attempt.ended:
            raise InvariantError(
                f"the runner of attempt {attempt.key} returned without ending it"
            )
        self.gate.finish(attempt.key, _now())
        self._start_all(self.admission.finish(work_id(attempt.key), _now()))
        self._arm_timer()

    def _stop(self, attempt: Attempt) -> None:
        if attempt.task is not None:
            attempt.task.cancel()

    def _take_from_queue(self, attempt: Attempt) -> None:
        self.admission.cancel(work_id(attempt.key), _now())
        request_id, number = attempt.key
        attempt.end(problem(TOMBSTONED, attempt=number, request_id=request_id))

    def _refuse_waiting(self, waiting_id: str, refusal: Problem) -> None:
        attempt = self._attempts[waiting_id]
        self.gate.withdraw(attempt.key, _now())
        attempt.end(refusal)

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        expiry = self.admission.next_expiry()
        start = self.admission.next_start(_now())
        times = [start] if start is not None else []
        times += [expiry + POLL_INTERVAL_S] if expiry is not None else []
        if times:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(min(times), self._on_timer)

    def _on_timer(self) -> None:
        for waiting_id, refusal in self.admission.expire(_now()):
            self._refuse_waiting(waiting_id, refusal)
        self._start_all(self.admission.start_due(_now()))
        self._arm_timer()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.gate.expire(_now())
            for attempt in list(self._attempts.values()):
                if _now() - attempt.idle_since > self._cfg.replay_s:
                    self._sweep_idle(attempt)

    def _sweep_idle(self, attempt: Attempt) -> None:
        """Handle an attempt that had no reader for ``replay_s``.

        An ended one is dropped.  One that has not ended is stopped if it is repeatable
        or its answer has begun.  Of the others, queued ones are removed from the queue
        and running ones continue.
        """
        if attempt.readers:
            return
        if attempt.ended:
            self._drop(attempt)
        elif attempt.req.repeatable or attempt.has_head:
            self._stop(attempt)
        elif self.gate.phase(attempt.key) is Phase.WAITING:
            self.gate.withdraw(attempt.key, _now())
            self._take_from_queue(attempt)

    def _drop(self, attempt: Attempt) -> None:
        del self._attempts[work_id(attempt.key)]
        if self._latest.get(attempt.req.request_id) is attempt:
            del self._latest[attempt.req.request_id]

    def _find(self, req: AttachReq) -> Attempt | None:
        if req.attempt < 0:
            return self._latest.get(req.request_id)
        return self._attempts.get(work_id((req.request_id, req.attempt)))

    def _refused(self, req: DispatchReq, refusal: Problem) -> Refused:
        return Refused(
            req.request_id,
            req.attempt,
            req.incarnation,
            refusal,
            self.load(),
            self._revision(),
        )

    def _cancel_problem(self, req: CancelReq, verdict: Verdict) -> Problem | None:
        if verdict is Verdict.WRONG_INCARNATION:
            return problem(
                WRONG_INCARNATION,
                not_run=None,
                actual=self._incarnation,
                wanted=req.incarnation,
            )
        if verdict is Verdict.WRONG_WORKSPACE:
            return _unknown_stream(
                AttachReq(req.request_id, req.incarnation, req.workspace, 0)
            )
        if verdict is Verdict.UNKNOWN:
            return problem(OUTCOME_UNKNOWN, not_run=None)
        return None

    def _revision(self) -> int:
        return self._store.revision


def work_id(key: tuple[str, int]) -> str:
    """The id of an attempt in the queue of the admission."""
    return f"{key[0]}/{key[1]}"


def _unknown_stream(req: AttachReq) -> Problem:
    return problem(
        UNKNOWN_STREAM, not_run=None, request_id=req.request_id, offset=req.offset
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
