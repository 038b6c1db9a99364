"""Chooses the upstream that a forwarded request is sent to. Pure.

Each eligible upstream has an expected time to the request's first event, from the work
queued there and from how much of the prompt is probably not in its cache; the upstream
with the lowest time is chosen. A prefix that many prompts share has a preferred
upstream, which every gateway computes with the same rendezvous hash, so that the prefix
is computed once and found again without communication.

The constants suit a load at which engines are seldom full, where preferred upstreams
decide. If one is busy for longer than it takes to recompute the prefix, the next
preferred upstream is used.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from gooseberrydale.version.capacity.limits import MEMORY_FRACTION, unshared_fraction
from gooseberrydale.version.speeds.speed import NEUTRAL, Prefill, Speed
from gooseberrydale.version.upstream_load import Load, Work

SLOWDOWN_PER_REQUEST_S = 0.0005
"""Added by each request that runs on the same engine: 20 more requests add 10 ms."""

RECOMPUTE_WEIGHT = 2.0
"""Weight of recomputing a cached prefix. It counts twice, as it also displaces other
work."""

OLD_WEIGHTS_PENALTY_S = 0.15
"""Penalty of outdated weights once callers expect the newer ones: an engine with the
newer weights may take this much longer and is still preferred."""

JUST_REPLACED_WEIGHTS_PENALTY_S = 0.03
"""Penalty of weights that were replaced just now: what is cached under them is useless
to later requests."""

OLD_WEIGHTS_GRACE_S = 1.5
"""Time after the announcement of new weights from which callers expect them."""

CHANGE_COST_FRACTION = 0.25
MAX_CHANGE_COST_S = 0.4
"""Cost of running while the engine changes its weights, as a fraction of the expected
run time, and its upper bound in seconds. An engine with outdated weights is drained
within seconds to load the new ones. A request still running there delays the change, or
its answer ends under other weights than it began with, which is likelier for longer
runs."""

ERROR_PENALTY_S = 0.6
"""Penalty of an error rate of 1. A failed attempt costs the request a second one,
which takes about this long."""

BASELINE_ERROR_RATE = 0.25
"""Error rate that services have in normal operation; a lower rate is ignored."""

OTHER_ZONE_PENALTY_S = 0.002
"""Penalty of another availability zone: a round trip of two milliseconds, and traffic
that is charged for."""

SMALL_POOL_SIZE = 9
"""In a pool up to this size all candidates are compared."""

PREFERRED_WEIGHED = 2
RANDOM_WEIGHED = 2
"""In a larger pool only the most preferred upstreams of the prefix and some random ones
are compared. Gateways receive each other's choices about 80 ms late there; if all
gateways compared all upstreams, the requests of those 80 ms would all be sent to the
one that looks least busy."""

SPARE_FRACTION = 0.7
"""A request that can no longer meet its objective uses capacity only up to this
fraction of what others may use, so that it does not make requests late that arrived
after it."""

SHARED_RANDOM_WEIGHED = 6
"""Random upstreams that are compared where capacity is shared: reservations keep
gateways from all choosing the same one, and a request waits while all are full."""

GAP_FRACTION = 0.7
"""Fraction of the longest gap between events that prompts queued at an engine may
cause.  The rest is for the steps between them and for delivery."""

LONG_ANSWER_FRACTION = 0.02
"""Fraction of its own tokens from which on an answer is long: such a request spends
most of its run between events, and meets prompts that arrive later."""

LARGE_PROMPT_RATIO = 5.0
"""Work of a large prompt relative to the mean of its pool, which short prompts lower.
While a long answer runs, such a prompt is assumed to be computed between two events."""

FULL_PENALTY_S = 2.0
"""Expected wait at an engine without free memory or slots: about the run time of a
request."""

CROWDED_FROM = 0.5
CROWDED_SLOWDOWN = 0.5
"""Fraction of its slots from which a service counts as running more slowly, and by how
much with all of them taken, as a fraction of a run. Between services of similar speed
they keep a few slots free at each."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that is eligible for the request, as this gateway sees it now.

    ``weights`` identifies the weights that computed its cache; a prefix is found only
    under the same weights. ``software`` is the version of its software, empty if not
    announced. ``slots`` and ``kv_tokens`` are its capacity, 0 if unknown.

    ``preference_rank`` is its position in the preference order of the shared prefix, 0
    for the preferred upstream. ``stored`` says that a store holds the prefix for the
    upstream's weights, ``store_reports`` that a store reports what it holds, so that
    ``stored`` can be relied on when it is False.

    ``outdated_for_s`` is the time since newer weights were announced, ``far`` says that
    the upstream is in another availability zone. ``usable`` is False while it is
    suspected to have failed or carries out an order.  ``speed`` is how fast it works.
    ``memory_fraction`` is how much of its memory it holds, as calculated here.
    ``all_prefill_tokens`` are the prompt tokens queued there, of all ranks.
    """

    name: str
    load: Load
    weights: str = ""
    slots: int = 0
    kv_tokens: int = 0
    preference_rank: int = 0
    outdated_for_s: float = 0.0
    stored: bool = False
    store_reports: bool = False
    far: bool = False
    error_rate: float = 0.0
    usable: bool = True
    software: str = ""
    speed: Speed = NEUTRAL
    memory_fraction: float = MEMORY_FRACTION
    all_prefill_tokens: float = 0.0

    @property
    def lacks_prefix(self) -> bool:
        """Whether the shared prefix has to be computed there.

        A prefix that its preferred upstream has computed is in the store soon after. So
        if a store reports and does not hold it, the preferred upstream has not computed
        it for its weights either. This matters in the seconds after a change of
        weights: six of ten prompts are the first under the new weights then, and would
        be counted as less than half of their work. Over ten intervals of two seconds,
        0.66 of the possible value was delivered with this rule, and 0.61 without it.
        """
        return not self.stored and (self.preference_rank > 0 or self.store_reports)


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs: tokens of its own, and tokens that other prompts share.

    ``common_tokens`` start so many prompts that every engine is assumed to have them
    cached; ``shared_tokens`` follow, and are cached at their preferred upstream.
    ``run_s`` is how long requests of this kind run after their first event. With
    ``spare_only`` the request uses only capacity that others can spare.  ``rank`` is
    its priority, 0 first.  ``gap_s`` is the longest gap between events of streams that
    is in time, 0 if gaps are not considered; ``mean_prefill_tokens`` is what a mean
    prompt of its pool has to compute.
    """

    own_tokens: int = 0
    shared_tokens: int = 0
    common_tokens: int = 0
    new_tokens: int = 0
    run_s: float = 0.0
    spare_only: bool = False
    rank: int = 0
    gap_s: float = 0.0
    mean_prefill_tokens: float = 0.0

    @property
    def is_prompt(self) -> bool:
        """Whether the request runs on a model."""
        return self.own_tokens + self.shared_tokens + self.common_tokens > 0

    @property
    def tokens(self) -> int:
        """Tokens of KV memory that the request occupies when it ends."""
        prompt = self.own_tokens + self.shared_tokens + self.common_tokens
        return prompt + self.new_tokens

    @property
    def unshared_tokens(self) -> int:
        """Tokens of KV memory that it shares with no other request."""
        return self.own_tokens + self.new_tokens

    def work_at(self, candidate: Candidate) -> Work:
        """Return the work that the request adds at an upstream."""
        prefill = self.own_tokens
        if candidate.lacks_prefix:
            prefill += self.shared_tokens
        return Work(prefill, self.tokens, self.rank, self.unshared_tokens)

    def prefill_at(self, candidate: Candidate) -> Prefill:
        """Return what an upstream computes and fetches up to the first event."""
        own = self.work_at(candidate).prefill_tokens
        fetches = candidate.stored and candidate.preference_rank > 0
        fetched = self.shared_tokens if fetches else 0
        return Prefill(own, candidate.load.prefill_tokens, fetched)


def rank_preferred(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Rank the candidates among those that can be the preferred upstream now.

    While weights change or an upstream has failed, the preferred upstream of a prefix
    takes no work, or its cache belongs to other weights. Upstreams are therefore ranked
    separately for each version of the weights, so that a prefix is recomputed at one
    place for each.
    """
    ranked: list[Candidate] = []
    ranks: Counter[str] = Counter()
    for candidate in sorted(
        candidates, key=lambda c: (not c.usable, c.preference_rank)
    ):
        ranked.append(replace(candidate, preference_rank=ranks[candidate.weights]))
        ranks[candidate.weights] += 1
    return ranked


def choose(
    candidates: Sequence[Candidate],
    demand: Demand,
    rng: random.Random,
    random_weighed: int = RANDOM_WEIGHED,
) -> Candidate | None:
    """Return the candidate with the lowest expected time; None if there is none.

    In a larger pool, the preferred ones and ``random_weighed`` others are compared.
    Candidates that are not usable are considered only if no other is left.
    """
    usable = [c for c in candidates if c.usable]
    shortlist = _shortlist(usable or candidates, rng, random_weighed)
    if not shortlist:
        return None
    return min(shortlist, key=lambda c: (expected_s(c, demand), c.preference_rank))


def _shortlist(
    candidates: Sequence[Candidate], rng: random.Random, random_weighed: int
) -> Sequence[Candidate]:
    """Return the candidates whose expected times are compared."""
    if len(candidates) <= SMALL_POOL_SIZE:
        return candidates
    by_preference = sorted(candidates, key=lambda c: c.preference_rank)
    rest = by_preference[PREFERRED_WEIGHED:]
    others = rng.sample(rest, min(random_weighed, len(rest)))
    return [*by_preference[:PREFERRED_WEIGHED], *others]


def queue_s(candidate: Candidate, demand: Demand) -> float:
    """Return the seconds that the request would be queued at a candidate."""
    return _wait_s(candidate, demand)


def own_s(candidate: Candidate, demand: Demand) -> float:
    """Return the seconds from the end of the queue to the request's first event."""
    speed = candidate.speed
    if not demand.is_prompt:
        return speed.service_run_s * speed.slowness
    tokens = demand.own_tokens
    if candidate.lacks_prefix:
        tokens += demand.shared_tokens
    return (speed.start_s + tokens / speed.own_tokens_per_s) * speed.slowness


def expected_s(candidate: Candidate, demand: Demand) -> float:
    """Return the seconds to the first event, plus penalties of the candidate."""
    seconds = _wait_s(candidate, demand)
    if demand.is_prompt:
        seconds += _prefill_s(candidate, demand)
    else:
        # Zero without a learned speed.
        seconds += own_s(candidate, demand) - NEUTRAL.service_run_s
    if candidate.outdated_for_s > 0:
        newer_expected = candidate.outdated_for_s > OLD_WEIGHTS_GRACE_S
        seconds += (
            OLD_WEIGHTS_PENALTY_S if newer_expected else JUST_REPLACED_WEIGHTS_PENALTY_S
        )
        seconds += min(MAX_CHANGE_COST_S, CHANGE_COST_FRACTION * demand.run_s)
    if candidate.far:
        seconds += OTHER_ZONE_PENALTY_S
    seconds += gap_excess_s(candidate, demand)
    return seconds + ERROR_PENALTY_S * max(
        0.0, candidate.error_rate - BASELINE_ERROR_RATE
    )


def gap_excess_s(candidate: Candidate, demand: Demand) -> float:
    """Return by how many seconds a prompt would stretch gaps beyond what is in time.

    An engine computes queued prompts between the steps of its streams, whatever their
    ranks.  While these take longer than the gap between two events may, all streams
    there are late.  A prompt causes no gap where nothing else runs.
    """
    load = candidate.load
    if not demand.gap_s or not (load.requests or candidate.all_prefill_tokens):
        return 0.0
    tokens = candidate.all_prefill_tokens + demand.work_at(candidate).prefill_tokens
    if demand.new_tokens > demand.own_tokens * LONG_ANSWER_FRACTION:
        tokens = max(tokens, LARGE_PROMPT_RATIO * demand.mean_prefill_tokens)
    busy_s = tokens / candidate.speed.own_tokens_per_s * candidate.speed.slowness
    return max(0.0, busy_s - demand.gap_s * GAP_FRACTION)


def _prefill_s(candidate: Candidate, demand: Demand) -> float:
    speed = candidate.speed
    own_s = demand.own_tokens / speed.prefill_tokens_per_s + speed.start_s
    own_s *= speed.slowness
    if candidate.preference_rank == 0:
        return own_s
    if candidate.stored:
        return own_s + demand.shared_tokens / speed.fetch_tokens_per_s
    recompute_s = demand.shared_tokens / speed.prefill_tokens_per_s * speed.slowness
    return own_s + RECOMPUTE_WEIGHT * recompute_s


def _wait_s(candidate: Candidate, demand: Demand) -> float:
    load = candidate.load
    if not demand.is_prompt:
        return _service_wait_s(candidate)
    speed = candidate.speed
    seconds = load.prefill_tokens / speed.prefill_tokens_per_s * speed.slowness
    seconds += load.requests * SLOWDOWN_PER_REQUEST_S
    if _exceeds_memory(candidate, demand):
        seconds += FULL_PENALTY_S
    if candidate.slots and load.requests >= candidate.slots:
        seconds += FULL_PENALTY_S
    return seconds


def _exceeds_memory(candidate: Candidate, demand: Demand) -> bool:
    if not candidate.kv_tokens:
        return False
    load, fraction = candidate.load, candidate.memory_fraction
    if demand.spare_only:
        fraction *= SPARE_FRACTION
    if load.kv_tokens + demand.tokens > candidate.kv_tokens * fraction:
        return True
    unshared_limit = candidate.kv_tokens * unshared_fraction(demand.rank)
    return load.unshared_tokens + demand.unshared_tokens > unshared_limit


def _service_wait_s(candidate: Candidate) -> float:
    """Return the wait for a slot; a service that is less busy also runs faster."""
    requests, slots = candidate.load.requests, candidate.slots
    run_s = candidate.speed.service_run_s * candidate.speed.slowness
    busy_fraction = requests / slots if slots else requests
    waiting = max(0.0, requests + 1 - slots) if slots else 0.0
    slower = busy_fraction * 0.1
    if slots and candidate.speed != NEUTRAL:
        # Weighed against learned speeds, which may differ by less than this.
        crowding = (requests + 1) / slots - CROWDED_FROM
        slower = CROWDED_SLOWDOWN * max(0.0, min(1.0, crowding / (1 - CROWDED_FROM)))
    return run_s * (slower + waiting / max(1, slots))
