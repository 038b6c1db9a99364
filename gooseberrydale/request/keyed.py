"""A call with an Idempotency-Key: runs once, however often it is sent.

Lives for one request.  A resend gets the recorded answer, joins the running call,
or is told that the outcome is unknown.  The work goes on when the caller goes away,
so that its answer is recorded for the resend.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncGenerator

from loguru import logger

from gooseberrydale.connection.control_messages import (
    ClaimRecord,
    ClaimState,
    Holder,
)
from gooseberrydale.connection.messages import CancelReq
from gooseberrydale.errors import (
    ANSWER_NOT_KEPT,
    CLAIM_UNAVAILABLE,
    INTERNAL,
    OUTCOME_UNKNOWN,
    UPSTREAM_FAILED,
    Problem,
    ProblemError,
    problem,
)
from gooseberrydale.request.attached import AttachedAnswer, AttachTarget
from gooseberrydale.request.cancel import confirm_not_run
from gooseberrydale.request.claim_gate import ClaimGate, ClaimHeld, ClaimStore
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.job import Answering, Events, Head, Job, Part
from gooseberrydale.request.recorder import Recorder
from gooseberrydale.request.runner import Runner

MAX_HOLDERS_FOLLOWED = 4
JOIN_TRIES = 2
JOIN_PAUSE_S = 0.2
RECORD_WAIT_S = 1.0
COME_BACK_S = 1.0


class KeyedAnswer:
    """Runs ``job`` under its key; use ``answer`` once."""

    def __init__(self, deps: Deps, job: Job, claims: ClaimStore) -> None:
        self._deps = deps
        self._job = job
        self._gate = ClaimGate(
            claims,
            deps.background,
            job.request_id,
            job.workspace,
            job.idempotency_key,
            body_digest(job),
        )
        self._out: asyncio.Queue[Part | Problem | None] = asyncio.Queue()
        self._given = False

    def hand_over(self) -> None:
        """Do nothing: the work goes on without the caller in any case."""

    async def answer(self) -> AsyncGenerator[Part, None]:
        """Parts of the answer; raises :class:`ProblemError`."""
        self._deps.background.spawn(self._work())
        while True:
            item = await self._out.get()
            if item is None:
                return
            if isinstance(item, Problem):
                raise ProblemError(item)
            yield item

    async def _work(self) -> None:
        try:
            await self._run_or_follow()
        except ProblemError as exc:
            self._out.put_nowait(exc.problem)
        except BaseException:
            self._out.put_nowait(problem(INTERNAL, not_run=None))
            raise
        else:
            self._out.put_nowait(None)

    async def _run_or_follow(self) -> None:
        for _ in range(MAX_HOLDERS_FOLLOWED):
            try:
                await self._run()
                return
            except ClaimHeld as held:
                if await self._follow(held.record):
                    return
                # Confirmed never to run: the next try moves the claim from it.
                self._gate.holder = held.record.holder
        raise ProblemError(problem(CLAIM_UNAVAILABLE, retry_after_s=COME_BACK_S))

    async def _run(self) -> None:
        runner = Runner(self._deps, self._job, self._gate)
        runner.hand_over()
        try:
            await self._give(runner)
        except ProblemError as exc:
            if exc.problem.not_run is True:
                self._gate.release()
            elif exc.problem.code == UPSTREAM_FAILED.code:
                self._deps.background.spawn(self._gate.finish_unknown())
            raise

    async def _follow(self, record: ClaimRecord) -> bool:
        """Answer from another attempt; False if it is confirmed never to run."""
        if record.state is ClaimState.FINISHED:
            self._replay(record)
            return True
        if record.state is ClaimState.OUTCOME_UNKNOWN:
            raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))
        for _ in range(JOIN_TRIES):
            if await self._join(record.holder):
                return True
            await asyncio.sleep(JOIN_PAUSE_S)
        if await self._confirm_not_run(record.holder):
            return False
        raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))

    async def _join(self, holder: Holder) -> bool:
        """Attach to the running attempt; False if that gave no answer."""
        target = AttachTarget(
            endpoint=holder,
            upstream=holder.sidecar,
            request_id=holder.request_id,
            offset=0,
            workspace=self._job.workspace,
            profile=self._job.profile.name if self._job.is_completion else "",
            streamed=self._job.stream,
        )
        attached = AttachedAnswer(self._deps, target)
        attached.hand_over()
        self._gate.holder = holder
        try:
            await self._give(attached)
        except ProblemError as exc:
            if self._given:
                raise
            logger.info("no join of {}: {}", holder.request_id, exc)
            return False
        return True

    async def _give(self, source: Answering) -> None:
        """Pass the answer on, and record it when it is whole."""
        recorder = Recorder()
        last: list[Events] = []
        async with contextlib.aclosing(source.answer()) as parts:
            async for part in parts:
                recorder.add(part)
                if isinstance(part, Events) and not recorder.is_streamed:
                    last.append(part)
                else:
                    self._put(part)
        await self._record(recorder)
        for part in last:
            self._put(part)

    def _put(self, part: Part) -> None:
        self._given = True
        self._out.put_nowait(part)

    async def _record(self, recorder: Recorder) -> None:
        """Record the answer; a slow commit goes on without holding the caller."""
        work = self._gate.finish(recorder.status, recorder.headers, recorder.body)
        await self._deps.background.run_at_most(work, RECORD_WAIT_S)

    def _replay(self, record: ClaimRecord) -> None:
        if not record.answer_kept:
            why = problem(ANSWER_NOT_KEPT, not_run=False, status=record.status)
            raise ProblemError(why)
        self._put(Head(record.status, record.headers, streamed=False))
        holder = record.holder
        self._put(Events(holder.sidecar, holder.incarnation, 0, (record.body,)))

    async def _confirm_not_run(self, holder: Holder) -> bool:
        req = CancelReq(
            request_id=holder.request_id,
            attempt=holder.attempt,
            incarnation=holder.incarnation,
            workspace=self._job.workspace,
        )
        return await confirm_not_run(
            self._deps.pool, holder, req, self._deps.cfg.silence_s
        )


def body_digest(job: Job) -> bytes:
    """Digest of what the caller asked for; the same key must bring the same one."""
    digest = hashlib.sha256()
    for part in (job.profile.name.encode(), job.method.encode(), job.path.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(job.body)
    return digest.digest()
