"""Model of a language-model engine with continuous batching.

Up to ``max_batch`` jobs run at the same time.  The others wait; the highest priority is
admitted first.  Admitted jobs are prefilled one after the other at a fixed rate, which
applies to the tokens that are not in the prefix cache.  Then each job emits one token
per decode step.  Prefill does not slow down decoding, as real engines split it into
chunks for that purpose.

The model is pure: callers (``engine_host``) pass the time in, and each step returns a
list of what happened.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

from gooseberrydale.errors import InvariantError
from gooseberrydale.example.prefix_cache import CacheChange, KvPiece, PrefixCache


@dataclass(frozen=True, slots=True)
class EngineCfg:
    """Speed and size of an engine, in seconds, tokens and tokens per second (tps)."""

    max_batch: int = 8
    prefill_tps: float = 20_000.0
    decode_s: float = 0.01
    cache_tokens: int = 200_000
    cache_ttl_s: float = 20.0


@dataclass(frozen=True, slots=True)
class Job:
    """A prompt to be answered with ``answer_tokens`` tokens."""

    job_id: int
    prompt_tokens: int
    answer_tokens: int
    pieces: tuple[KvPiece, ...] = ()
    root: str = ""
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """The prefill of a job has begun; ``cached_tokens`` of its prompt were cached."""

    job_id: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Token:
    """A job emitted its token ``index``."""

    job_id: int
    index: int


@dataclass(frozen=True, slots=True)
class Finished:
    """A job emitted its last token."""

    job_id: int


Output = Started | Token | Finished | CacheChange


@dataclass(slots=True)
class _Decoding:
    """A job in the decode phase; it emits its next token at ``next_at``."""

    job: Job
    next_at: float
    emitted: int = 0


@dataclass(slots=True)
class _Prefill:
    """The prefill that runs now, and the generation of the weights it began with."""

    job: Job
    ends_at: float
    generation: int


@dataclass(slots=True)
class _Queues:
    """All jobs by phase: waiting, admitted, in prefill, decoding."""

    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    admitted: deque[Job] = field(default_factory=deque)
    prefill: _Prefill | None = None
    decoding: dict[int, _Decoding] = field(default_factory=dict)


class Engine:
    """State of one engine; its methods return the outputs up to the given time."""

    def __init__(self, cfg: EngineCfg) -> None:
        self._cfg = cfg
        self._queues = _Queues()
        self._arrivals = 0
        self._paused = False
        self._generation = 0
        self.cache = PrefixCache(cfg.cache_tokens, cfg.cache_ttl_s)

    @property
    def running(self) -> int:
        """Number of jobs in the batch."""
        queues = self._queues
        prefilling = 0 if queues.prefill is None else 1
        return len(queues.admitted) + prefilling + len(queues.decoding)

    @property
    def waiting(self) -> int:
        """Number of jobs that wait for a slot in the batch."""
        return len(self._queues.waiting)

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens whose prefill has not begun, cached ones included."""
        queued = sum(job.prompt_tokens for _, _, job in self._queues.waiting)
        return queued + sum(job.prompt_tokens for job in self._queues.admitted)

    def submit(self, job: Job, now: float) -> list[Output]:
        """Queue a job, and admit it if the batch has a free slot."""
        outputs = self.advance(now)
        self._arrivals += 1
        heapq.heappush(self._queues.waiting, (-job.priority, self._arrivals, job))
        outputs += self._admit_waiting(now)
        return outputs

    def cancel(self, job_id: int, now: float) -> list[Output]:
        """Remove a job in whatever phase it is; unknown ids are ignored."""
        outputs = self.advance(now)
        queues = self._queues
        queues.waiting = [e for e in queues.waiting if e[2].job_id != job_id]
        heapq.heapify(queues.waiting)
        queues.admitted = deque(j for j in queues.admitted if j.job_id != job_id)
        if queues.prefill is not None and queues.prefill.job.job_id == job_id:
            queues.prefill = None
        queues.decoding.pop(job_id, None)
        outputs += self._admit_waiting(now)
        return outputs

    def pause(self) -> None:
        """Admit no job until ``resume`` or ``replace_weights``; running ones go on."""
        self._paused = True

    def resume(self, now: float) -> list[Output]:
        """Admit jobs again; the cache is unchanged."""
        outputs = self.advance(now)
        self._paused = False
        return outputs + self._admit_waiting(now)

    def replace_weights(self, now: float) -> list[Output]:
        """Clear the cache, which belongs to the old weights, and admit jobs again."""
        outputs = self.advance(now)
        self._generation += 1
        self._paused = False
        outputs.append(self.cache.clear())
        outputs += self._admit_waiting(now)
        return outputs

    def next_event_at(self) -> float | None:
        """Return the time of the next event for ``advance``; None if there is none."""
        times = [decoding.next_at for decoding in self._queues.decoding.values()]
        if self._queues.prefill is not None:
            times.append(self._queues.prefill.ends_at)
        expiry = self.cache.next_expiry()
        if expiry is not None:
            times.append(expiry)
        return min(times, default=None)

    def advance(self, now: float) -> list[Output]:
        """Process all events that are due by ``now``, in order of time."""
        outputs: list[Output] = []
        while (due := self.next_event_at()) is not None and due <= now:
            outputs += self._step(due)
        return outputs

    def _step(self, due: float) -> list[Output]:
        outputs: list[Output] = []
        expired = self.cache.expire(due)
        if expired.removed:
            outputs.append(expired)
        prefill = self._queues.prefill
        if prefill is not None and prefill.ends_at <= due:
            outputs += self._end_prefill(prefill, due)
        for decoding in list(self._queues.decoding.values()):
            if decoding.next_at <= due:
                outputs += self._emit_token(decoding)
        outputs += self._admit_waiting(due)
        return outputs

    def _end_prefill(self, prefill: _Prefill, now: float) -> list[Output]:
        job = prefill.job
        self._queues.prefill = None
        self._queues.decoding[job.job_id] = _Decoding(job, now + self._cfg.decode_s)
        # KV cache that old weights computed is invalid under the new ones.
        if prefill.generation != self._generation:
            return []
        change = self.cache.store(job.pieces, job.root, now)
        return [change] if change.stored or change.removed else []

    def _emit_token(self, decoding: _Decoding) -> list[Output]:
        job = decoding.job
        outputs: list[Output] = [Token(job.job_id, decoding.emitted)]
        decoding.emitted += 1
        decoding.next_at += self._cfg.decode_s
        if decoding.emitted >= job.answer_tokens:
            del self._queues.decoding[job.job_id]
            outputs.append(Finished(job.job_id))
        return outputs

    def _admit_waiting(self, now: float) -> list[Output]:
        queues = self._queues
        while (
            queues.waiting and not self._paused and self.running < self._cfg.max_batch
        ):
            queues.admitted.append(heapq.heappop(queues.waiting)[2])
        if self.running > self._cfg.max_batch:
            raise InvariantError(
                f"{self.running} jobs run in a batch of at most {self._cfg.max_batch}"
            )
        if queues.prefill is None and queues.admitted:
            return self._begin_prefill(queues.admitted.popleft(), now)
        return []

    def _begin_prefill(self, job: Job, now: float) -> list[Output]:
        matched = self.cache.match(job.pieces, now)
        # The last prompt token is always computed, as it yields the first answer token.
        cached = max(0, min(matched, job.prompt_tokens - 1))
        seconds = (job.prompt_tokens - cached) / self._cfg.prefill_tps
        self._queues.prefill = _Prefill(job, now + seconds, self._generation)
        return [Started(job.job_id, cached)]
