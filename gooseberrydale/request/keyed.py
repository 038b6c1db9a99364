"""Answers a call with an Idempotency-Key, which runs at most once.

There is one object per request.  A resend under the same key gets the recorded answer,
attaches to the running attempt, or gets an error that the outcome is unknown.  The work
continues after the caller disconnects, to record the answer for a resend.
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
    ANSWER_TOO_LARGE,
    ANSWERS_HOLD_TOO_MUCH,
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
from gooseberrydale.request.fingerprint import hash_framed
from gooseberrydale.request.job import (
    AnswerSource,
    Events,
    Head,
    Job,
    Part,
    ReaderReplaced,
)
from gooseberrydale.request.recorder import Recorder
from gooseberrydale.request.runner import Runner

MAX_HOLDERS_FOLLOWED = 4
MAX_JOIN_FAILURES = 2
POLL_PAUSES_S = (0.05, 0.1, 0.2, 0.4)
RECORD_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0
BROKEN_OFF_CODES = frozenset(
    kind.code for kind in (UPSTREAM_FAILED, ANSWER_TOO_LARGE, ANSWERS_HOLD_TOO_MUCH)
)
"""Problems after which the call may have run, and nothing will know its answer."""

MAX_UNREAD_PARTS = 16
"""Parts of the answer that the caller has not taken; a part has up to 256 KiB."""


class KeyedAnswer:
    """Runs ``job`` under its Idempotency-Key.  Call ``answer`` once."""

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
        self._output: asyncio.Queue[Part | Problem | None] = asyncio.Queue(
            MAX_UNREAD_PARTS
        )
        self._caller_gone = False
        self._relayed = False
        self._deadline = self._now() + job.profile.deadline_s

    def hand_over(self) -> None:
        """Do nothing: the work always continues without the caller."""

    async def answer(self) -> AsyncGenerator[Part, None]:
        """Yield the parts of the answer; raises :class:`ProblemError`."""
        self._deps.background.spawn(self._work())
        try:
            while True:
                item = await self._output.get()
                if item is None:
                    return
                if isinstance(item, Problem):
                    raise ProblemError(item)
                yield item
        finally:
            self._caller_gone = True
            self._drop_unread()

    async def _work(self) -> None:
        try:
            await self._run_or_join()
        except ProblemError as exc:
            await self._put(exc.problem)
        except BaseException:
            # The caller must not wait for what is lost, and nothing may wait for it.
            self._drop_unread()
            self._output.put_nowait(problem(INTERNAL, not_run=None))
            raise
        else:
            await self._put(None)

    async def _run_or_join(self) -> None:
        for _ in range(MAX_HOLDERS_FOLLOWED):
            try:
                await self._run()
                return
            except ClaimHeld as held:
                if await self._replay_if_final(held.record):
                    return
                holder = held.record.holder
            except ReaderReplaced:
                if self._relayed or self._gate.holder is None:
                    raise
                holder = self._gate.holder
            tombstoned = await self._await_other_attempt(holder)
            if tombstoned is None:
                return
            # The next round moves the claim from this holder to a new attempt.
            self._gate.holder = tombstoned
        raise ProblemError(problem(CLAIM_UNAVAILABLE, retry_after_s=RETRY_AFTER_S))

    async def _run(self) -> None:
        runner = Runner(self._deps, self._job, self._gate)
        runner.hand_over()
        try:
            await self._relay(runner)
        except ProblemError as exc:
            if exc.problem.not_run is True:
                self._gate.release()
            elif exc.problem.code in BROKEN_OFF_CODES:
                self._deps.background.spawn(self._gate.finish_unknown())
            raise

    async def _await_other_attempt(self, holder: Holder) -> Holder | None:
        """Answer from another request's attempt.

        Returns the holder if its attempt is confirmed never to run, else None.  Only
        the newest reader of an answer receives it; that reader records the complete
        answer, and the others poll for the record.
        """
        failures = 0
        while failures < MAX_JOIN_FAILURES and self._now() < self._deadline:
            record = await self._poll(holder)
            if record is not None:
                if await self._replay_if_final(record):
                    return None
                holder = record.holder
            try:
                await self._join(holder)
                return None
            except ProblemError as exc:
                if self._relayed:
                    raise
                failures += not isinstance(exc, ReaderReplaced)
                logger.info("no join of {}: {}", holder.request_id, exc)
        if await self._confirm_not_run(holder):
            return holder
        raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))

    async def _poll(self, holder: Holder) -> ClaimRecord | None:
        """Wait briefly for the claim to change; return its committed record."""
        record: ClaimRecord | None = None
        for pause_s in POLL_PAUSES_S:
            await asyncio.sleep(pause_s)
            record = await self._gate.look_up(holder)
            if record is None or _is_final(record) or record.holder != holder:
                break
        return record

    async def _join(self, holder: Holder) -> None:
        """Attach to the running attempt; raises :class:`ProblemError` if that fails."""
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
        await self._relay(attached)

    async def _relay(self, source: AnswerSource) -> None:
        """Relay the answer, and record it once it is complete.

        The body of an unstreamed answer is relayed only after it is recorded.
        """
        recorder = Recorder(self._deps.answers.begin())
        held_back: list[Events] = []
        try:
            async with contextlib.aclosing(source.answer()) as parts:
                async for part in parts:
                    recorder.add(part)
                    if isinstance(part, Events) and not recorder.is_streamed:
                        held_back.append(part)
                    else:
                        await self._put_part(part)
            await self._record(recorder)
        finally:
            recorder.close()
        for part in held_back:
            await self._put_part(part)

    async def _put_part(self, part: Part) -> None:
        self._relayed = True
        await self._put(part)

    async def _put(self, item: Part | Problem | None) -> None:
        """Pass an item on to the caller; wait while it has too many unread ones."""
        if not self._caller_gone:
            await self._output.put(item)

    def _drop_unread(self) -> None:
        while not self._output.empty():
            self._output.get_nowait()

    async def _record(self, recorder: Recorder) -> None:
        """Record the answer; a slow commit continues in the background."""
        if recorder.is_whole:
            work = self._gate.finish(recorder.status, recorder.headers, recorder.body)
        else:
            work = self._gate.finish_unknown()
        await self._deps.background.run_at_most(work, RECORD_TIMEOUT_S)

    async def _replay_if_final(self, record: ClaimRecord) -> bool:
        """Return the recorded outcome to the caller; False while the call runs."""
        if not _is_final(record):
            return False
        if record.state is ClaimState.OUTCOME_UNKNOWN:
            raise ProblemError(problem(OUTCOME_UNKNOWN, not_run=None))
        if not record.answer_kept:
            why = problem(ANSWER_NOT_KEPT, not_run=False, status=record.status)
            raise ProblemError(why)
        holder = record.holder
        await self._put_part(Head(record.status, record.headers, streamed=False))
        await self._put_part(
            Events(holder.sidecar, holder.incarnation, 0, (record.body,))
        )
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
    """Return a digest of the call; all calls under one key must have the same."""
    digest = hashlib.sha256()
    texts = (job.profile.name, job.method, job.path)
    hash_framed(digest, *(text.encode() for text in texts))
    digest.update(job.body)
    return digest.digest()
