"""A seeded open-loop load of prompts that share long, nested prefixes.

A prompt is the guide of a workspace, then one of the lots (documents) of the
workspace, then a question.  A few workspaces get most of the load.  A share of the
prompts goes to a few hot lots, which change during the run.  Service calls run
concurrently.  The module is pure: the same seed gives the same load.
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
    """Parameters of a load, in seconds, requests per second and tokens.

    Requests of the first ``warm_up_s`` seconds count only for the outcomes, since the
    caches are empty then under any policy.  ``lots`` is the number of lots of a
    workspace of weight 1.  A share ``hot_share`` of the prompts goes to ``hot_lots``
    lots, which change every ``shift_s`` seconds.  ``calls_per_s`` is the rate of
    service calls, and ``keyed_share`` the share of them with an Idempotency-Key.
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
class PromptRequest:
    """One prompt, to be sent ``due_s`` seconds after the start of the run.

    It has only the names of its texts, from which they are generated when needed; the
    texts of all prompts of a run would fill the memory.
    """

    due_s: float
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
class ServiceCall:
    """One service call, sent ``due_s`` seconds after the start; its body is unique."""

    due_s: float
    name: str
    workspace: int
    keyed: bool


def text(name: str, tokens: int) -> str:
    """Return the text that belongs to a name, about ``tokens`` tokens long."""
    return random.Random(name).randbytes(tokens * BYTES_PER_TOKEN // 2).hex()


def prompts(shape: Shape, seed: str, salt: str) -> list[PromptRequest]:
    """Return the prompts of a run in order of their due times.

    ``seed`` determines which prefixes are requested and when; ``salt`` makes the texts
    of two runs with the same seed differ.
    """
    rng = random.Random(f"{seed}/prompts")
    requests = []
    for number, due_s in enumerate(
        _arrivals(rng, shape.prompts_per_s, shape.duration_s)
    ):
        workspace, lot = _choose_lot(rng, shape, seed, due_s)
        guide = f"{salt}/guide/{workspace}"
        name = f"{salt}/question/{number}"
        requests.append(
            PromptRequest(due_s, name, workspace, guide, f"{guide}/lot/{lot}", shape)
        )
    return requests


def calls(shape: Shape, seed: str, salt: str) -> list[ServiceCall]:
    """Return the service calls of a run in order of their due times."""
    rng = random.Random(f"{seed}/calls")
    service_calls = []
    for number, due_s in enumerate(_arrivals(rng, shape.calls_per_s, shape.duration_s)):
        keyed = rng.random() < shape.keyed_share
        name = f"{salt}/call/{number}"
        service_calls.append(
            ServiceCall(due_s, name, _weighted(rng, WORKSPACE_WEIGHTS), keyed)
        )
    return service_calls


def _choose_lot(
    rng: random.Random, shape: Shape, seed: str, due_s: float
) -> tuple[int, int]:
    if rng.random() < shape.hot_share:
        # Seeded by the phase: all prompts of a phase share the same hot lots.
        phase = int(due_s // shape.shift_s)
        hot = random.Random(f"{seed}/hot/{phase}")
        choices = [_random_lot(hot, shape) for _ in range(shape.hot_lots)]
        return rng.choice(choices)
    return _random_lot(rng, shape)


def _random_lot(rng: random.Random, shape: Shape) -> tuple[int, int]:
    workspace = _weighted(rng, WORKSPACE_WEIGHTS)
    lots = max(1, round(shape.lots * WORKSPACE_WEIGHTS[workspace]))
    return workspace, rng.randrange(lots)


def _weighted(rng: random.Random, weights: Sequence[float]) -> int:
    totals = list(itertools.accumulate(weights))
    return bisect.bisect(totals, rng.random() * totals[-1])


def _arrivals(rng: random.Random, rate: float, duration_s: float) -> Iterator[float]:
    if rate <= 0:
        return
    due_s = rng.expovariate(rate)
    while due_s < duration_s:
        yield due_s
        due_s += rng.expovariate(rate)
