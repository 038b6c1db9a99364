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
from gooseberrydale.request.fingerprint import feed
from gooseberrydale.request.job import (
    Answering,
    Events,
    Head,
    Job,
    Part,
    ReaderReplaced,
)
from gooseberrydale.request.recorder import Recorder
from gooseberrydale.request.runner import Runner

MAX_HOLDERS_FOLLOWED = 4
JOIN_TRIES = 2
POLL_PAUSES_S = (0.05, 0.1, 0.2, 0.4)
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
        self._until = self._now() + job.profile.deadline_s

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
                if self._replay_if_final(held.record):
                    return
                holder = held.record.holder
            except ReaderReplaced:
                if self._given or self._gate.holder is None:
                    raise
                holder = self._gate.holder
            never_ran = await self._follow(holder)
            if never_ran is None:
                return
            # The next try moves the claim from it.
            self._gate.holder = never_ran
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

    async def _follow(self, holder: Holder) -> Holder | None:
        """Answer from another attempt; return it if it is confirmed never to run.

        An answer has one reader at a time, the newest.  Whoever reads it to its end
        records it, and the others find the record.
        """
        failures = 0
        while failures < JOIN_TRIES and self._now() < self._until:
            record = await self._poll(holder)
            if record is not None:
                if self._replay_if_final(record):
                    return None
                holder = record.holder
            try:
                await self._join(holder)
                return None
            except ProblemError as exc:
                if self._given:
                    raise
                failures += not isinstance(exc, ReaderReplaced)
                logger.info("no join of {}: {}", holder.request_id, exc)
        if await self._confirm_not_run(holder):
            return holder
        raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))

    async def _poll(self, holder: Holder) -> ClaimRecord | None:
        """Wait a moment for the claim to change; return what is committed then."""
        record: ClaimRecord | None = None
        for pause_s in POLL_PAUSES_S:
            await asyncio.sleep(pause_s)
            record = await self._gate.look_up(holder)
            if record is None or _is_final(record) or record.holder != holder:
                break
        return record

    async def _join(self, holder: Holder) -> None:
        """Attach to the running attempt; raises :class:`ProblemError` if in vain."""
        target = AttachTarget(
            endpoint=holder,
            upstream=holder.sidecar,
            request_id=holder.request_id,
            offset=0,
            workspace=self._job.workspace,
            profile=self._job.profile.name if self._job.is_completion else "",
            streamed=self._job.stream,
            attempt=holder.attempt,
        )
        attached = AttachedAnswer(self._deps, target)
        attached.hand_over()
        self._gate.holder = holder
        await self._give(attached)

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

    def _replay_if_final(self, record: ClaimRecord) -> bool:
        """Give the recorded answer; False while the call runs."""
        if not _is_final(record):
            return False
        if record.state is ClaimState.OUTCOME_UNKNOWN:
            raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))
        if not record.answer_kept:
            why = problem(ANSWER_NOT_KEPT, not_run=False, status=record.status)
            raise ProblemError(why)
        holder = record.holder
        self._put(Head(record.status, record.headers, streamed=False))
        self._put(Events(holder.sidecar, holder.incarnation, 0, (record.body,)))
        return True

    async def _confirm_not_run(self, holder: Holder) -> bool:
        req = CancelReq(
            request_id=holder.request_id,
            attempt=holder.attempt,
            incarnation=holder.incarnation,
            workspace=self._job.workspace,
            record_seq=holder.record_seq,
        )
        return await confirm_not_run(
            self._deps.pool, holder, req, self._deps.cfg.silence_s
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _is_final(record: ClaimRecord) -> bool:
    return record.state is not ClaimState.RUNNING


def body_digest(job: Job) -> bytes:
    """Digest of what the caller asked for; the same key must bring the same one."""
    digest = hashlib.sha256()
    texts = (job.profile.name, job.method, job.path)
    feed(digest, *(text.encode() for text in texts))
    digest.update(job.body)
    return digest.digest()
