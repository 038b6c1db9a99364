"""Takes attempts in, runs them one call each, and forgets them in time.

Lives as long as the sidecar.  It joins the two pure parts of the gate: whether an
attempt may start at all, and when its turn comes.
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

SWEEP_S = 0.5
POLL_S = 0.05
DEFAULT_SHARE = 1.0

Runner = Callable[[Attempt], Awaitable[None]]
TokenCount = Callable[[DispatchReq], int]


class Dispatcher:
    """The attempts of one sidecar.  ``runner`` carries one to the upstream.

    ``uncached_tokens`` estimates how much of a prompt must be computed.
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
        """Start forgetting answers that nobody asks for any more."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Stop at once; what still runs ends with a statement of its outcome."""
        if self._timer is not None:
            self._timer.cancel()
        if self._sweeper is not None:
            self._sweeper.cancel()
        tasks = self.stop_running(lambda _attempt: True)
        if tasks:
            await asyncio.wait(tasks)

    # What entries ask for.

    def dispatch(self, req: DispatchReq) -> Attempt | Refused:
        """Take an attempt in, or refuse it at once."""
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
            self._forget(attempt)
            return self._refused(req, refusal)
        return attempt

    def attach(self, req: AttachReq) -> Result[Attempt, Problem]:
        """Find the answer that a reader wants again; it must hold the offset."""
        if req.incarnation != self._incarnation:
            return Err(
                problem(
                    WRONG_INCARNATION,
                    not_run=None,
                    actual=self._incarnation,
                    wanted=req.incarnation,
                )
            )
        found = self._find(req)
        # A stranger learns nothing, not even that the stream exists.
        if found is None or found.req.workspace != req.workspace:
            return Err(_unknown_stream(req))
        if not found.holds(req.offset):
            return Err(_unknown_stream(req))
        return Ok(found)

    def cancel(self, req: CancelReq) -> CancelReply:
        """Give an attempt up, whether it came yet or not."""
        verdict = self.gate.cancel(req, _now())
        attempt = self._attempts.get(work_id((req.request_id, req.attempt)))
        if verdict is Verdict.TAKEN_FROM_QUEUE and attempt is not None:
            self._take_from_queue(attempt)
        if verdict is Verdict.STOP and attempt is not None:
            self._stop(attempt)
        return CancelReply(verdict.not_run, self._cancel_problem(req, verdict))

    def load(self) -> Load:
        """The load right now."""
        return replace(self.admission.load(_now()), cached_blocks=self._cached_blocks())

    @property
    def busy(self) -> bool:
        """True while work waits, runs or is read."""
        return self.gate.unfinished > 0 or any(
            attempt.readers for attempt in self._attempts.values()
        )

    # What the sidecar itself orders.

    def note_backpressure(self, asked: Backpressure) -> None:
        """An answer of the upstream tells what it takes."""
        self.admission.limit(asked.limit_per_s, _now())
        if asked.retry_after_s is not None:
            self.admission.back_off(asked.retry_after_s, _now())
        self._arm_timer()

    async def drain(self, bound_s: float) -> None:
        """Refuse new work, let the rest finish; what outlasts the bound is ended."""
        self.gate.shut()
        end = _now() + bound_s
        while self.busy and _now() < end:
            await asyncio.sleep(POLL_S)

    def refuse_queued(self) -> None:
        """Refuse all that waits, since the upstream is leaving; the rest goes on."""
        for attempt in list(self._attempts.values()):
            if self.gate.phase(attempt.key) is Phase.WAITING:
                waiting_id = work_id(attempt.key)
                self.admission.cancel(waiting_id, _now())
                leaving = problem(UPSTREAM_LEAVING, upstream=self._name)
                self._refuse_waiting(waiting_id, leaving)
        self._arm_timer()

    def stop_running(
        self, concerned: Callable[[Attempt], bool]
    ) -> list[asyncio.Task[None]]:
        """End running attempts; each says what is known of its outcome."""
        tasks = []
        for attempt in list(self._attempts.values()):
            if attempt.task is not None and not attempt.ended and concerned(attempt):
                tasks.append(attempt.task)
                self._stop(attempt)
        return tasks

    # Inside.

    def _admit(self, attempt: Attempt) -> Problem | None:
        outcome = self.admission.offer(self._work(attempt), _now())
        if isinstance(outcome, Problem):
            self.gate.withdraw(attempt.key, _now())
            return outcome
        if isinstance(outcome, Admitted):
            self._start(attempt)
        if isinstance(outcome, Queued):
            for other, refusal in outcome.displaced:
                self._refuse_waiting(other, refusal)
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
        for one in ids:
            self._start(self._attempts[one])

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
            logger.exception("attempt {} failed inside the sidecar", attempt.key)
            if not attempt.ended:
                attempt.end(problem(INTERNAL, not_run=None))
        finally:
            self._finished(attempt)

    def _end_unfinished(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        if attempt.req.repeatable:
            attempt.end(problem(UPSTREAM_FAILED, not_run=False))
        else:
            attempt.end(problem(OUTCOME_UNKNOWN, not_run=None))

    def _finished(self, attempt: Attempt) -> None:
        if not attempt.ended:
            raise InvariantError(f"attempt {attempt.key} stopped without an end")
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
        times += [expiry + POLL_S] if expiry is not None else []
        if times:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(min(times), self._look)

    def _look(self) -> None:
        for late, refusal in self.admission.expire(_now()):
            self._refuse_waiting(late, refusal)
        self._start_all(self.admission.start_due(_now()))
        self._arm_timer()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.gate.expire(_now())
            for attempt in list(self._attempts.values()):
                if _now() - attempt.idle_since > self._cfg.replay_s:
                    self._sweep_idle(attempt)

    def _sweep_idle(self, attempt: Attempt) -> None:
        """Nobody came for ``replay_s``: an ended answer goes, a running one stops."""
        if attempt.readers:
            return
        if attempt.ended:
            self._forget(attempt)
        elif attempt.req.repeatable or attempt.answered:
            self._stop(attempt)
        elif self.gate.phase(attempt.key) is Phase.WAITING:
            self.gate.withdraw(attempt.key, _now())
            self._take_from_queue(attempt)

    def _forget(self, attempt: Attempt) -> None:
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
    """Name an attempt in one text."""
    return f"{key[0]}/{key[1]}"


def _unknown_stream(req: AttachReq) -> Problem:
    return problem(
        UNKNOWN_STREAM, not_run=None, request_id=req.request_id, offset=req.offset
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
