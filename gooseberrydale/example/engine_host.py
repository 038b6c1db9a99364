"""Runs the engine model on the clock of the event loop.

One task advances the model whenever something is due and hands what happened to the
queue of each request, to the subscribers of cache events and to the record.  Owns
all state of one example engine; lives as long as its process.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass, field

from gooseberrydale.example.cache_feed import CacheEvent, CacheFeed, FeedCfg
from gooseberrydale.example.engine import (
    Engine,
    EngineCfg,
    Finished,
    Job,
    Output,
    Started,
    Token,
)
from gooseberrydale.example.prefix_cache import CacheChange
from gooseberrydale.example.prompts import Prompt

RECORD_ENTRIES = 200_000
SUBSCRIBER_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class HostCfg:
    """Everything that an example engine may be told.

    ``load_lag_s`` is the age of the load that is reported at most; ``load_s`` the
    time that new weights take when no weight store is named.  ``kv_store`` and
    ``weight_store`` are base URLs.  ``transfer_tps`` is the rate of KV export and
    import in tokens a second.
    """

    model: str = "example"
    weights_version: str = "1"
    engine: EngineCfg = field(default_factory=EngineCfg)
    feed: FeedCfg = field(default_factory=FeedCfg)
    max_waiting: int = 256
    load_lag_s: float = 0.2
    load_s: float = 0.5
    transfer_tps: float = 200_000.0
    checks_fencing: bool = False
    kv_store: str = ""
    weight_store: str = ""
    seed: int = 0


@dataclass(slots=True)
class RunRecord:
    """What became of one request; ``state`` is the last one reached.

    ``started_at`` is the wall time at which the engine took the request in, in
    seconds since the epoch, so that other processes can compare it with theirs.
    """

    request_id: str
    attempt: str
    path: str
    state: str
    prompt_tokens: int
    first_index: int
    started_at: float
    cached_tokens: int = 0
    emitted_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load at one instant."""

    running: int
    waiting: int
    waiting_tokens: int
    prefill_tps: float
    cached_blocks: int


@dataclass(slots=True)
class _Run:
    """One request at work: its record, and its outputs as they happen."""

    record: RunRecord
    outputs: asyncio.Queue[Started | Token | Finished]


class EngineHost:
    """One engine; ``start`` before use, ``close`` at the end."""

    def __init__(self, cfg: HostCfg, incarnation: str) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.weights_version = cfg.weights_version
        self.model = cfg.model
        self.ready = True
        self.engine = Engine(cfg.engine)
        self.record: deque[RunRecord] = deque(maxlen=RECORD_ENTRIES)
        self.load = LoadReport(0, 0, 0, cfg.engine.prefill_tps, 0)
        self.feed = CacheFeed(cfg.feed, incarnation, random.Random(cfg.seed))
        self._subscribers: set[asyncio.Queue[CacheEvent]] = set()
        self._runs: dict[int, _Run] = {}
        self._next_job = 0
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the tasks that advance the engine and sample its load."""
        self._tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._sample_load()),
        ]

    async def close(self) -> None:
        """Stop the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def submit(self, prompt: Prompt, request_id: str, attempt: str, path: str) -> int:
        """Take a request in; return the id of its job."""
        self._next_job += 1
        body = prompt.body
        record = RunRecord(
            request_id=request_id,
            attempt=attempt,
            path=path,
            state="waiting",
            prompt_tokens=prompt.tokens,
            first_index=prompt.first_index,
            started_at=time.time(),
        )
        self.record.append(record)
        self._runs[self._next_job] = _Run(record, asyncio.Queue())
        job = Job(
            job_id=self._next_job,
            prompt_tokens=max(1, prompt.tokens),
            answer_tokens=prompt.answer_tokens,
            pieces=body.kv_pieces,
            root=body.cache_salt,
            priority=body.priority,
        )
        self._deliver(self.engine.submit(job, self.now()))
        return job.job_id

    def outputs(self, job_id: int) -> asyncio.Queue[Started | Token | Finished]:
        """Return the queue that gets what happens to a job."""
        return self._runs[job_id].outputs

    def finish(self, job_id: int) -> None:
        """Forget a request; one that has not ended is cancelled."""
        run = self._runs.pop(job_id, None)
        if run is None or run.record.state == "finished":
            return
        run.record.state = "cancelled"
        self._deliver(self.engine.cancel(job_id, self.now()))

    @property
    def open_requests(self) -> list[tuple[str, str]]:
        """Id and attempt of every request that was taken in and has not ended."""
        records = (run.record for run in self._runs.values())
        return [(record.request_id, record.attempt) for record in records]

    def pause(self) -> None:
        """Admit no further job and report not ready until weights are in force."""
        self.ready = False
        self.engine.pause()

    def replace_weights(self, model: str, version: str) -> None:
        """Put new weights in force; the cache goes with the old ones."""
        self.model = model
        self.weights_version = version
        self.ready = True
        self._deliver(self.engine.replace_weights(self.now()))

    def resume(self) -> None:
        """Go on with the weights and the cache as they were."""
        self.ready = True
        self._deliver(self.engine.resume(self.now()))

    def publish(self, change: CacheChange) -> None:
        """Announce a change of the cache that no request made."""
        self._deliver([change])

    def subscribe(self) -> asyncio.Queue[CacheEvent]:
        """Return a queue that gets the cache events from now on."""
        queue: asyncio.Queue[CacheEvent] = asyncio.Queue(SUBSCRIBER_EVENTS)
        self._subscribers.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[CacheEvent]) -> None:
        """Send no further events to ``queue``."""
        self._subscribers.discard(queue)

    def now(self) -> float:
        """Return the time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    async def _advance(self) -> None:
        while True:
            self._deliver(self.engine.advance(self.now()))
            self._wake.clear()
            due = self.engine.next_time()
            wait = None if due is None else max(0.0, due - self.now())
            try:
                await asyncio.wait_for(self._wake.wait(), wait)
            except TimeoutError:
                continue

    async def _sample_load(self) -> None:
        while True:
            engine = self.engine
            sample = LoadReport(
                running=engine.running,
                waiting=engine.waiting,
                waiting_tokens=engine.waiting_tokens,
                prefill_tps=self.cfg.engine.prefill_tps,
                cached_blocks=len(engine.cache),
            )
            # Shown only after the lag: what a caller reads is always that old.
            await asyncio.sleep(self.cfg.load_lag_s)
            self.load = sample

    def _deliver(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, CacheChange):
                self._announce(output)
            elif output.job_id in self._runs:
                self._hand_over(self._runs[output.job_id], output)
        self._wake.set()

    def _hand_over(self, run: _Run, output: Started | Token | Finished) -> None:
        if isinstance(output, Started):
            run.record.state = "running"
            run.record.cached_tokens = output.cached_tokens
        elif isinstance(output, Token):
            run.record.emitted_tokens += 1
        else:
            run.record.state = "finished"
        run.outputs.put_nowait(output)

    def _announce(self, change: CacheChange) -> None:
        if not change.stored and not change.removed:
            return
        loop = asyncio.get_running_loop()
        for delivery in self.feed.publish(change, loop.time()):
            loop.call_at(delivery.due, self._send, delivery.event)

    def _send(self, event: CacheEvent) -> None:
        for queue in self._subscribers:
            if not queue.full():
                queue.put_nowait(event)
