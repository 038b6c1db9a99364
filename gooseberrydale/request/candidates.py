"""Collects the few upstreams whose expected times are compared for one request.

The base of a prompt, such as a guide that many prompts start with, has preferred
upstreams in a ranked order. Usually only the first is in use. The next one is added
when all those in use have a queue longer than the pool's mean by more than the time to
recompute the prompt, or when the rate of requests for the base needs it. Deeper levels,
such as the description of one lot after the guide, are divided among the upstreams in
use, so that each is cached where its base is.

All entries have the same load reports and the same order, so they agree without
communication. Pure.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.request.affinity import Holders, Prefix, levels
from gooseberrydale.request.estimate import Estimates
from gooseberrydale.request.members import Members
from gooseberrydale.request.prefix_rates import PrefixRates, preferred_needed

MIN_PREFERRED = 2
# Probability that a preferred upstream has a prefix cached, if this entry has not sent
# it there: other entries probably have.
PREFERRED_CACHED_PROBABILITY = 0.8
MIN_SPREAD_QUEUE_S = 0.05
MAX_HOLDERS = 6
RANDOM_WITH_PREFERRED = 1
RANDOM_WITHOUT_PREFERRED = 3
DRAWS_PER_CANDIDATE = 3


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream and the expected number of the prompt's tokens in its cache.

    ``known`` says that this entry sent the prefix there, so that the reply can confirm
    the expectation. ``random_pick`` says that the upstream was chosen at random: other
    entries would not look for the prefix there.
    """

    record: UpstreamRecord
    cached_tokens: float = 0.0
    known: bool = False
    random_pick: bool = False


class Collector:
    """Collects preferred upstreams, holders of the prefix, and random upstreams."""

    def __init__(
        self,
        rng: random.Random,
        estimates: Estimates,
        holders: Holders,
    ) -> None:
        self._rng = rng
        self._estimates = estimates
        self._holders = holders
        self._rates = PrefixRates()

    def collect(
        self,
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        entries: int,
        now: float,
    ) -> dict[str, Candidate]:
        """Return the candidates by name; empty only if no upstream is eligible."""
        candidates: dict[str, Candidate] = {}
        self._add_preferred(candidates, members, prefixes, excluded, entries, now)
        self._add_holders(candidates, members, prefixes, excluded, now)
        wanted = RANDOM_WITH_PREFERRED if candidates else RANDOM_WITHOUT_PREFERRED
        self.add_random(candidates, members, excluded, wanted)
        if not candidates:
            self._add_any(candidates, members, excluded)
        return candidates

    def add_random(
        self,
        candidates: dict[str, Candidate],
        members: Members,
        excluded: frozenset[str],
        wanted: int,
    ) -> None:
        """Add up to ``wanted`` random upstreams that are not yet candidates."""
        if not members.names:
            return
        for _ in range(wanted * DRAWS_PER_CANDIDATE):
            name = self._rng.choice(members.names)
            if name not in excluded and name not in candidates:
                candidates[name] = Candidate(members.by_name[name], random_pick=True)
                wanted -= 1
            if wanted == 0:
                return

    def _add_preferred(
        self,
        candidates: dict[str, Candidate],
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        entries: int,
        now: float,
    ) -> None:
        picked = levels(prefixes)
        if not picked:
            return
        base, *deeper = picked
        names = [n for n in members.preferred(base.key) if n not in excluded]
        if not names:
            return
        in_use = max(
            self._needed_for_load(members, names, prefixes[-1], now),
            self._needed_for_rate(members, names, base, prefixes, entries, now),
        )
        for rank, name in enumerate(names[: max(in_use + 1, MIN_PREFERRED)]):
            # Lower-ranked upstreams were added under load, so they received the prefix
            # later, if at all.
            probability = PREFERRED_CACHED_PROBABILITY / (1 + rank)
            _add_better(
                candidates, Candidate(members.by_name[name], base.tokens * probability)
            )
        for prefix in deeper:
            name = members.highest_ranked(names[:in_use], prefix.key)
            tokens = prefix.tokens * PREFERRED_CACHED_PROBABILITY
            _add_better(candidates, Candidate(members.by_name[name], tokens))

    def _needed_for_rate(
        self,
        members: Members,
        names: list[str],
        base: Prefix,
        prefixes: tuple[Prefix, ...],
        entries: int,
        now: float,
    ) -> int:
        """Return how many preferred upstreams the rate of requests needs."""
        requests = self._rates.count(base.key, now)
        shared = prefixes[-2].tokens if len(prefixes) > 1 else 0
        first = self._estimates.get(members.by_name[names[0]])
        compute_s = (prefixes[-1].tokens - shared) / first.prefill_tps
        return min(len(names), preferred_needed(requests, entries, compute_s))

    def _needed_for_load(
        self, members: Members, names: list[str], prompt: Prefix, now: float
    ) -> int:
        """Return how many preferred upstreams the present load needs.

        A queue that the whole pool has is no reason to use more: the pool has too much
        work, and computing the prefix at one more upstream adds to it.
        """
        first = self._estimates.get(members.by_name[names[0]])
        recompute_s = max(MIN_SPREAD_QUEUE_S, prompt.tokens / first.prefill_tps)
        acceptable_s = recompute_s + first.pool_queue_s
        for count, name in enumerate(names):
            estimate = self._estimates.get(members.by_name[name])
            if estimate.queue_s(now) <= acceptable_s:
                return count + 1
        return len(names)

    def _add_holders(
        self,
        candidates: dict[str, Candidate],
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        now: float,
    ) -> None:
        skipped = set(excluded)
        enough = len(skipped) + MAX_HOLDERS
        for prefix in reversed(prefixes):
            holders = list(self._holders.of(prefix, members.by_name, skipped, now))
            for record, probability in holders:
                skipped.add(record.name)
                _add_better(
                    candidates,
                    Candidate(record, prefix.tokens * probability, known=True),
                )
            if len(skipped) >= enough:
                return

    def _add_any(
        self,
        candidates: dict[str, Candidate],
        members: Members,
        excluded: frozenset[str],
    ) -> None:
        for name, record in members.by_name.items():
            if name not in excluded:
                candidates[name] = Candidate(record)
                return


def _add_better(candidates: dict[str, Candidate], candidate: Candidate) -> None:
    name = candidate.record.name
    existing = candidates.get(name)
    if existing is None or candidate.cached_tokens > existing.cached_tokens:
        candidates[name] = candidate
