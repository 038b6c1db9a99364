"""Seeded open-loop load of prompts that share long prefixes, nested in levels.

A prompt is a workspace's guide, then a lot or log, then a question.  A few
workspaces are large.  Part of the load goes to a few hot lots, and which ones are
hot shifts during the run.  Calls of plain services run beside.  Pure: the same seed
gives the same load.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

BYTES_PER_TOKEN = 4
WORKSPACE_WEIGHTS = (8.0, 5.0, 3.0, 1.0, 1.0, 0.5, 0.5, 0.5)


@dataclass(frozen=True, slots=True)
class Shape:
    """What the load is like: seconds, requests a second, tokens.

    What is asked in the first ``warm_up_s`` counts only for the outcomes, since
    caches are empty then whatever the policy.
    ``lots`` is how many lots a workspace of weight 1 has; ``hot_share`` of the
    prompts go to ``hot_lots`` lots, which change every ``shift_s`` seconds.
    ``calls_per_s`` is the rate of service calls, ``keyed_share`` the part of them
    with an Idempotency-Key.
    """

    duration_s: float = 16.0
    warm_up_s: float = 6.0
    prompts_per_s: float = 12.0
    guide_tokens: int = 12_000
    lots: int = 4
    lot_tokens: int = 6_000
    question_tokens: int = 60
    answer_tokens: int = 32
    hot_share: float = 0.4
    hot_lots: int = 2
    shift_s: float = 6.0
    calls_per_s: float = 4.0
    keyed_share: float = 0.5


@dataclass(frozen=True, slots=True)
class Ask:
    """One prompt, due ``at`` seconds into the run.

    The texts are named, not held: a few kilobytes each would fill the memory.
    """

    at: float
    name: str
    workspace: int
    guide: str
    lot: str
    shape: Shape

    def messages(self) -> list[dict[str, str]]:
        """Return the messages of the prompt."""
        shape = self.shape
        return [
            {"role": "system", "content": text(self.guide, shape.guide_tokens)},
            {"role": "user", "content": text(self.lot, shape.lot_tokens)},
            {"role": "user", "content": text(self.name, shape.question_tokens)},
        ]

    def body(self, model: str) -> dict[str, Any]:
        """Return the request body."""
        return {
            "model": model,
            "messages": self.messages(),
            "max_tokens": self.shape.answer_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }


@dataclass(frozen=True, slots=True)
class Call:
    """One service call, due ``at`` seconds into the run; its body is unique."""

    at: float
    name: str
    workspace: int
    keyed: bool


def text(name: str, tokens: int) -> str:
    """Return the text of that name, of about ``tokens`` tokens."""
    return random.Random(name).randbytes(tokens * BYTES_PER_TOKEN // 2).hex()


def prompts(shape: Shape, seed: str, salt: str) -> list[Ask]:
    """Return the prompts of a run in order of time.

    ``seed`` decides when which prefix is asked for, ``salt`` tells the texts of two
    runs of one seed apart.
    """
    rng = random.Random(f"{seed}/prompts")
    asks = []
    for number, at in enumerate(_arrivals(rng, shape.prompts_per_s, shape.duration_s)):
        workspace, lot = _choose_lot(rng, shape, seed, at)
        guide = f"{salt}/guide/{workspace}"
        name = f"{salt}/question/{number}"
        asks.append(Ask(at, name, workspace, guide, f"{guide}/lot/{lot}", shape))
    return asks


def calls(shape: Shape, seed: str, salt: str) -> list[Call]:
    """Return the service calls of a run in order of time, as ``prompts`` does."""
    rng = random.Random(f"{seed}/calls")
    found = []
    for number, at in enumerate(_arrivals(rng, shape.calls_per_s, shape.duration_s)):
        keyed = rng.random() < shape.keyed_share
        name = f"{salt}/call/{number}"
        found.append(Call(at, name, _weighted(rng, WORKSPACE_WEIGHTS), keyed))
    return found


def _choose_lot(
    rng: random.Random, shape: Shape, seed: str, at: float
) -> tuple[int, int]:
    if rng.random() < shape.hot_share:
        # The same for all prompts of one phase of the run.
        phase = int(at // shape.shift_s)
        hot = random.Random(f"{seed}/hot/{phase}")
        choices = [_any_lot(hot, shape) for _ in range(shape.hot_lots)]
        return rng.choice(choices)
    return _any_lot(rng, shape)


def _any_lot(rng: random.Random, shape: Shape) -> tuple[int, int]:
    workspace = _weighted(rng, WORKSPACE_WEIGHTS)
    lots = max(1, round(shape.lots * WORKSPACE_WEIGHTS[workspace]))
    return workspace, rng.randrange(lots)


def _weighted(rng: random.Random, weights: Sequence[float]) -> int:
    totals = list(itertools.accumulate(weights))
    return bisect.bisect(totals, rng.random() * totals[-1])


def _arrivals(rng: random.Random, rate: float, duration_s: float) -> Iterator[float]:
    if rate <= 0:
        return
    at = rng.expovariate(rate)
    while at < duration_s:
        yield at
        at += rng.expovariate(rate)
