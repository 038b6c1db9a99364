"""Runs the engine model on the clock of the event loop.

One task advances the model whenever an event is due.  The results go to the output
queue of each request, to the subscribers of cache events and into the record of
requests.  A process has one host, which owns all state of its example engine.
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

MAX_RECORDS = 200_000
MAX_QUEUED_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class HostCfg:
    """Settings of an example engine.

    ``load_lag_s`` delays the reported load: each sample is published that much later.
    ``load_s`` is the time to load new weights if no ``weight_store`` is set.
    ``kv_store`` and ``weight_store`` are base URLs.  ``transfer_tps`` is the rate of
    KV export and import in tokens per second.
    """

    model: str = "example"
    weights_version: str = "1"
    software: str = "1"
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
    """The history of one request.

    ``state`` is waiting, running, finished or cancelled.  ``started_at`` is the wall
    time at which the engine accepted the request, in seconds since the epoch, so that
    other processes can compare it with their own clocks.
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
    """The load of an engine at one instant."""

    running: int
    waiting: int
    waiting_tokens: int
    prefill_tps: float
    cached_blocks: int


@dataclass(slots=True)
class _Run:
    """A request that has not ended: its record and the queue of its outputs."""

    record: RunRecord
    outputs: asyncio.Queue[Started | Token | Finished]


class EngineHost:
    """Runs one engine between ``start`` and ``close``."""

    def __init__(self, cfg: HostCfg, incarnation: str) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.weights_version = cfg.weights_version
        self.software = cfg.software
        self.model = cfg.model
        self.ready = True
        self.engine = Engine(cfg.engine)
        self.record: deque[RunRecord] = deque(maxlen=MAX_RECORDS)
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
        """Submit a request to the engine; return the id of its job."""
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
        """Return the queue that receives the outputs of a job."""
        return self._runs[job_id].outputs

    def release(self, job_id: int) -> None:
        """Release a request, and cancel its job if that has not finished."""
        run = self._runs.pop(job_id, None)
        if run is None or run.record.state == "finished":
            return
        run.record.state = "cancelled"
        self._deliver(self.engine.cancel(job_id, self.now()))

    @property
    def open_requests(self) -> list[tuple[str, str]]:
        """Id and attempt of every request that was submitted and not released."""
        records = (run.record for run in self._runs.values())
        return [(record.request_id, record.attempt) for record in records]

    def pause(self) -> None:
        """Admit no job, and report not ready, until ``resume`` or new weights."""
        self.ready = False
        self.engine.pause()

    def replace_weights(self, model: str, version: str) -> None:
        """Switch to new weights and clear the cache, which belongs to the old ones."""
        self.model = model
        self.weights_version = version
        self.ready = True
        self._deliver(self.engine.replace_weights(self.now()))

    def resume(self) -> None:
        """Admit jobs again with unchanged weights and cache."""
        self.ready = True
        self._deliver(self.engine.resume(self.now()))

    def publish(self, change: CacheChange) -> None:
        """Publish a change of the cache that no request caused."""
        self._deliver([change])

    def subscribe(self) -> asyncio.Queue[CacheEvent]:
        """Return a queue that receives all cache events sent from now on."""
        queue: asyncio.Queue[CacheEvent] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self._subscribers.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[CacheEvent]) -> None:
        """Send no further events to ``queue``."""
        self._subscribers.discard(queue)

    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def _advance(self) -> None:
        while True:
            self._deliver(self.engine.advance(self.now()))
            self._wake.clear()
            due = self.engine.next_event_at()
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
            # Published only after the lag, as real engines report an outdated load.
            await asyncio.sleep(self.cfg.load_lag_s)
            self.load = sample

    def _deliver(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, CacheChange):
                self._publish_change(output)
            elif output.job_id in self._runs:
                self._record_output(self._runs[output.job_id], output)
        self._wake.set()

    def _record_output(self, run: _Run, output: Started | Token | Finished) -> None:
        if isinstance(output, Started):
            run.record.state = "running"
            run.record.cached_tokens = output.cached_tokens
        elif isinstance(output, Token):
            run.record.emitted_tokens += 1
        else:
            run.record.state = "finished"
        run.outputs.put_nowait(output)

    def _publish_change(self, change: CacheChange) -> None:
        if not change.stored and not change.removed:
            return
        loop = asyncio.get_running_loop()
        for delivery in self.feed.publish(change, loop.time()):
            loop.call_at(delivery.due_at, self._send, delivery.event)

    def _send(self, event: CacheEvent) -> None:
        for queue in self._subscribers:
            if not queue.full():
                queue.put_nowait(event)
