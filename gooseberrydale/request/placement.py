"""Chooses the upstream that a forwarded request is sent to.  Pure.

Every upstream that may take the request has an expected time to its first event, from
the work before it and from what of the prompt is probably not cached there; the one
with the least is taken.  A shared prefix has a home, which every entry finds by the
same hash, so that it is computed once and found again without any exchange.  The
figures answer a load at which engines are seldom full: then the homes decide; where a
home is busy for longer than computing the prefix anew takes, the next one helps out.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from gooseberrydale.version.upstream_load import Load, Work

PREFILL_TOKENS_PER_S = 40_000.0
"""Prompt tokens that an engine gets through in a second beside its decoding.  Measured:
the median first event came after 70 ms with 2,890 tokens and nothing before them, after
170 with 5,000 to 10,000 before, 310 to 350 with 10,000 to 15,000, 835 with 30,000; the
sheets' 110,000 are those of a prompt alone."""

OWN_TOKENS_PER_S = 70_000.0
"""The same for the request's own prompt, which nothing else then interrupts."""

RUN_SLOWDOWN_S = 0.0005
"""What each request that runs beside adds: 20 more requests made 10 ms."""

SERVICE_RUN_S = 0.06
"""Mean time that a request holds a place at a plain service."""

FETCH_TOKENS_PER_S = 200_000.0
"""Prompt tokens that an engine gets in a second from a store: 420 Gbit/s at 192,512
bytes a token are 272,000, half of that between zones."""

RECOMPUTE_WEIGHT = 2.0
"""What is computed twice also takes the place of other work, so it counts twice."""

OLD_WEIGHTS_S = 0.15
"""An answer on old weights is worth less once callers expect the newer ones; an engine
that has them may take this much longer."""

OLD_WEIGHTS_AT_ONCE_S = 0.03
"""The same for weights that were overtaken just now: what is computed under them is of
no use to later requests."""

OLD_WEIGHTS_AFTER_S = 1.5
"""Callers expect new weights this long after they were named."""

MOVE_PART = 0.25
MOST_MOVE_S = 0.4
"""An engine on overtaken weights will be emptied for its change, within seconds: a run
that goes on there then is moved, which costs a retry and computing its prompt again, or
holds the change up.  The longer the run, the likelier: runs of 1.6 s count 0.4 s, those
of 0.2 s next to nothing."""

ERROR_S = 0.6
"""What a share of failures of 1 counts: a failed run costs the request, and a second
send takes about this long."""

ORDINARY_ERROR_SHARE = 0.25
"""Failures that services give by themselves; a lower share says nothing."""

FAR_S = 0.002
"""Another availability zone: a round trip of two milliseconds, and bytes that cost."""

MEMORY_PART = 0.75
"""Above this part of an engine's memory requests preempt each other."""

SMALL_POOL = 9
"""Up to this many candidates are all weighed."""

NEAR_HOMES = 2
OTHERS = 2
"""In a larger pool the first homes of the prefix and some drawn by lot are weighed.
Gateways hear of each other's choices some 80 ms late there; were all of them weighed by
all gateways, what came within that time would meet at the one that seems least busy."""

SPARE_PART = 0.7
"""A request that can't be in time any more takes room up to this part of what others
may: it must not make those late that came after it."""

FULL_S = 2.0
"""Waiting for memory or a place of a full engine takes about a run."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that may take the request, as this entry sees it now.

    ``weights`` names what computed its cache: prefixes are found under the same alone.

    ``slots`` and ``kv_tokens`` are its size, 0 if not known.  ``home_rank`` is its
    place among the homes of the shared prefix, ``stored`` that a store holds it for
    its weights, ``store_heard`` that one would have told if it did, ``old_for_s`` for
    how long newer weights are named, ``far`` that it is in another availability zone.
    ``usable`` is False while it is suspected to be dead or carries out an order.
    """

    name: str
    load: Load
    weights: str = ""
    slots: int = 0
    kv_tokens: int = 0
    home_rank: int = 0
    old_for_s: float = 0.0
    stored: bool = False
    store_heard: bool = False
    far: bool = False
    error_share: float = 0.0
    usable: bool = True

    @property
    def lacks_prefix(self) -> bool:
        """Whether the shared prefix has to be computed there.

        What a home has computed is in the store soon after; so if the store is heard
        and does not hold it, the home has not computed it for its weights either.  It
        answers the seconds after a change of weights, in which six of ten prompts were
        the first under the new ones and counted as less than half of their work: over
        ten spans of two seconds 0.66 is earned of what is owed for 0.61 before.
        """
        return not self.stored and (self.home_rank > 0 or self.store_heard)


@dataclass(frozen=True, slots=True)
class Demand:
    """What the request needs: tokens of its own and of what others share with it.

    ``common_tokens`` begin so many prompts that every engine is taken to hold them;
    ``shared_tokens`` follow, and lie at their home.  ``run_s`` is how long requests of
    its kind go on after their first event.  With ``spare_only`` it takes only room that
    others can spare.
    """

    own_tokens: int = 0
    shared_tokens: int = 0
    common_tokens: int = 0
    new_tokens: int = 0
    run_s: float = 0.0
    spare_only: bool = False

    @property
    def is_prompt(self) -> bool:
        """Whether a model is asked."""
        return self.own_tokens + self.shared_tokens + self.common_tokens > 0

    @property
    def tokens(self) -> int:
        """Tokens of memory that the request takes at its end."""
        prompt = self.own_tokens + self.shared_tokens + self.common_tokens
        return prompt + self.new_tokens

    def work_at(self, candidate: Candidate) -> Work:
        """The work that the request makes at an upstream."""
        prefill = self.own_tokens
        if candidate.lacks_prefix:
            prefill += self.shared_tokens
        return Work(prefill_tokens=prefill, kv_tokens=self.tokens)


def homes_in_reach(candidates: Iterable[Candidate]) -> list[Candidate]:
    """The candidates, their ranks as homes counted among those that can be one now.

    Answers changes of weights and deaths, when the first home of a prefix takes no work
    or keeps what other weights computed.  Each set of equal weights has homes of its
    own then, so that what is computed anew is computed at one place.
    """
    found: list[Candidate] = []
    ranks: Counter[str] = Counter()
    for one in sorted(candidates, key=lambda one: (not one.usable, one.home_rank)):
        found.append(replace(one, home_rank=ranks[one.weights]))
        ranks[one.weights] += 1
    return found


def choose(
    candidates: Sequence[Candidate],
    demand: Demand,
    rng: random.Random,
) -> Candidate | None:
    """The candidate with the least expected time; None if there is none.

    Those that are not usable are taken only if there is no other one.
    """
    usable = [one for one in candidates if one.usable]
    ranked = _shortlist(usable or candidates, rng)
    if not ranked:
        return None
    return min(ranked, key=lambda one: (expected_s(one, demand), one.home_rank))


def _shortlist(
    candidates: Sequence[Candidate], rng: random.Random
) -> Sequence[Candidate]:
    """The candidates that are weighed at all."""
    if len(candidates) <= SMALL_POOL:
        return candidates
    by_home = sorted(candidates, key=lambda one: one.home_rank)
    others = rng.sample(by_home[NEAR_HOMES:], OTHERS)
    return [*by_home[:NEAR_HOMES], *others]


def queue_s(candidate: Candidate, demand: Demand) -> float:
    """Seconds that the request waits behind others at a candidate."""
    return _wait_s(candidate, demand)


def own_s(candidate: Candidate, demand: Demand) -> float:
    """Seconds to the first event once nothing is before the request."""
    if not demand.is_prompt:
        return SERVICE_RUN_S
    tokens = demand.own_tokens
    if candidate.lacks_prefix:
        tokens += demand.shared_tokens
    return tokens / OWN_TOKENS_PER_S


def expected_s(candidate: Candidate, demand: Demand) -> float:
    """Seconds to the first event, and what else speaks against a candidate."""
    seconds = _wait_s(candidate, demand)
    if demand.is_prompt:
        seconds += _prefill_s(candidate, demand)
    if candidate.old_for_s > 0:
        late = candidate.old_for_s > OLD_WEIGHTS_AFTER_S
        seconds += OLD_WEIGHTS_S if late else OLD_WEIGHTS_AT_ONCE_S
        seconds += min(MOST_MOVE_S, MOVE_PART * demand.run_s)
    if candidate.far:
        seconds += FAR_S
    return seconds + ERROR_S * max(0.0, candidate.error_share - ORDINARY_ERROR_SHARE)


def _prefill_s(candidate: Candidate, demand: Demand) -> float:
    own_s = demand.own_tokens / PREFILL_TOKENS_PER_S
    if candidate.home_rank == 0:
        return own_s
    if candidate.stored:
        return own_s + demand.shared_tokens / FETCH_TOKENS_PER_S
    again_s = demand.shared_tokens / PREFILL_TOKENS_PER_S
    return own_s + RECOMPUTE_WEIGHT * again_s


def _wait_s(candidate: Candidate, demand: Demand) -> float:
    load = candidate.load
    if not demand.is_prompt:
        return _service_wait_s(load.requests, candidate.slots)
    seconds = load.prefill_tokens / PREFILL_TOKENS_PER_S
    seconds += load.requests * RUN_SLOWDOWN_S
    part = MEMORY_PART * (SPARE_PART if demand.spare_only else 1.0)
    room = candidate.kv_tokens * part if candidate.kv_tokens else math.inf
    if load.kv_tokens + demand.tokens > room:
        seconds += FULL_S
    if candidate.slots and load.requests >= candidate.slots:
        seconds += FULL_S
    return seconds


def _service_wait_s(requests: float, slots: int) -> float:
    """Wait for a place; below that, fewer requests run faster."""
    busy_part = requests / slots if slots else requests
    waiting = max(0.0, requests + 1 - slots) if slots else 0.0
    return SERVICE_RUN_S * (busy_part * 0.1 + waiting / max(1, slots))
