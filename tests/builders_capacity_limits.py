"""A model engine whose memory holds each shared prefix once, and a gateway's view."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from gooseberrydale.request.gateway_call import ReportedLoad
from gooseberrydale.request.placement import FULL_PENALTY_S, Candidate, Demand, queue_s
from gooseberrydale.version.capacity.limits import CapacityLimits
from gooseberrydale.version.peer_loads import Totals
from gooseberrydale.version.upstream_load import UpstreamLoad

POOL = "llm"
SLOTS = 64
KV_TOKENS = 100_107
RUN_S = 0.4


@dataclass(frozen=True)
class Prompt:
    """A prompt with ``prefix_tokens`` that all prompts with the same ``prefix`` share.

    An engine stores them once.
    """

    prefix: int
    prefix_tokens: int = 6_300
    own_tokens: int = 2_890
    new_tokens: int = 7

    @property
    def demand(self) -> Demand:
        return Demand(
            self.own_tokens,
            common_tokens=self.prefix_tokens,
            new_tokens=self.new_tokens,
        )


@dataclass
class ModelEngine:
    """Admits prompts in order while its real memory and slots suffice."""

    running: list[tuple[float, int, Prompt]] = field(default_factory=list)
    waiting: list[tuple[float, Prompt]] = field(default_factory=list)
    prefixes: Counter[int] = field(default_factory=Counter)
    unshared: int = 0
    waits: list[float] = field(default_factory=list)
    number: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(5))

    @property
    def report(self) -> ReportedLoad:
        return ReportedLoad(len(self.running), len(self.waiting), SLOTS)

    def arrive(self, prompt: Prompt, now: float) -> None:
        self.waiting.append((now, prompt))
        self._admit(now)

    def end(self) -> tuple[float, Prompt]:
        """End the first running request; return when and which one."""
        now, _, prompt = heapq.heappop(self.running)
        self._use(prompt, -1)
        self._admit(now)
        return now, prompt

    def _admit(self, now: float) -> None:
        while self.waiting and len(self.running) < SLOTS and self._fits():
            arrived_at, prompt = self.waiting.pop(0)
            self._use(prompt, 1)
            self.waits.append(now - arrived_at)
            self.number += 1
            run_s = RUN_S * self.rng.uniform(0.5, 1.5)
            heapq.heappush(self.running, (now + run_s, self.number, prompt))

    def _fits(self) -> bool:
        prompt = self.waiting[0][1]
        new = 0 if self.prefixes[prompt.prefix] else prompt.prefix_tokens
        stored = sum(n > 0 for n in self.prefixes.values()) * prompt.prefix_tokens
        needed = new + prompt.demand.unshared_tokens
        return stored + self.unshared + needed <= KV_TOKENS

    def _use(self, prompt: Prompt, sign: int) -> None:
        self.prefixes[prompt.prefix] += sign
        self.unshared += sign * prompt.demand.unshared_tokens


@dataclass
class LearningGateway:
    """Sends as many prompts to one engine as the limit allows, and learns the limit."""

    limits: CapacityLimits = field(default_factory=CapacityLimits)
    load: UpstreamLoad = field(default_factory=UpstreamLoad)
    engine: ModelEngine = field(default_factory=ModelEngine)
    rng: random.Random = field(default_factory=lambda: random.Random(4))
    now: float = 0.0
    most_unshared: int = 0
    fractions: list[float] = field(default_factory=list)

    def run(self, seconds: float, prefixes: int, **sizes: int) -> None:
        """Offer more than the engine holds for some time."""
        until = self.now + seconds
        while self.now < until:
            self._fill(prefixes, sizes)
            self.now, prompt = self.engine.end()
            # The report comes with the answer, before its request counts as ended.
            held = self._candidate().load.kv_tokens / KV_TOKENS
            self.limits.reported(POOL, held, self.engine.report, self.now)
            work = prompt.demand.work_at(self._candidate())
            self.load.ended(work, prefilled=True)
            self.fractions.append(self.limits.fraction(POOL))

    def _fill(self, prefixes: int, sizes: dict[str, int]) -> None:
        while True:
            prompt = Prompt(self.rng.randrange(prefixes), **sizes)
            chosen = self._candidate()
            if queue_s(chosen, prompt.demand) >= FULL_PENALTY_S:
                return
            work = prompt.demand.work_at(chosen)
            self.load.began(work)
            self.load.prefill_done(work)
            self.engine.arrive(prompt, self.now)
            unshared = round(self._candidate().load.unshared_tokens)
            self.most_unshared = max(self.most_unshared, unshared)

    def _candidate(self) -> Candidate:
        return Candidate(
            "e",
            self.load.load(self.now, Totals()),
            slots=SLOTS,
            kv_tokens=KV_TOKENS,
            memory_fraction=self.limits.fraction(POOL),
        )
