"""Collects the few upstreams that are worth weighing for one request.

The homes of a prefix widen with load: as long as all homes so far have a wait that
costs more than computing the prefix anew, the next in rendezvous order joins.  All
entries see the same load and the same order, so they widen alike.  Pure.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.request.affinity import Holders, HomeHits, Prefix, levels
from gooseberrydale.request.estimate import Estimates
from gooseberrydale.request.members import Members

HOMES = 2
MAX_HOMES = 16
MIN_WIDEN_QUEUE_S = 0.05
KNOWN_HOLDERS = 6
RANDOM_WITH_HOMES = 1
RANDOM_WITHOUT_HOMES = 3
RANDOM_TRIES = 3


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream and how much of the prompt it probably holds, in tokens.

    ``level`` is that of the home whose expectation counts, or -1, and
    ``level_tokens`` the length of that home's prefix.
    """

    record: UpstreamRecord
    cached_tokens: float = 0.0
    level: int = -1
    level_tokens: int = 0


class Collector:
    """Gathers candidates from homes, holders and chance."""

    def __init__(
        self,
        rng: random.Random,
        estimates: Estimates,
        holders: Holders,
        home_hits: HomeHits,
    ) -> None:
        self._rng = rng
        self._estimates = estimates
        self._holders = holders
        self._home_hits = home_hits

    def collect(
        self,
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        now: float,
    ) -> dict[str, Candidate]:
        """Return the candidates by name; empty only if nothing is eligible."""
        found: dict[str, Candidate] = {}
        for level, prefix in enumerate(levels(prefixes)):
            self._add_homes(found, members, level, prefix, excluded, now)
        self._add_holders(found, members, prefixes, excluded, now)
        wanted = RANDOM_WITH_HOMES if found else RANDOM_WITHOUT_HOMES
        self.add_random(found, members, excluded, wanted)
        if not found:
            self._add_any(found, members, excluded)
        return found

    def add_random(
        self,
        found: dict[str, Candidate],
        members: Members,
        excluded: frozenset[str],
        wanted: int,
    ) -> None:
        """Add up to ``wanted`` upstreams that are no candidates yet."""
        if not members.records:
            return
        for _ in range(wanted * RANDOM_TRIES):
            record = self._rng.choice(members.records)
            if record.name not in excluded and record.name not in found:
                found[record.name] = Candidate(record)
                wanted -= 1
            if wanted == 0:
                return

    def _add_homes(
        self,
        found: dict[str, Candidate],
        members: Members,
        level: int,
        prefix: Prefix,
        excluded: frozenset[str],
        now: float,
    ) -> None:
        taken = 0
        least_wait_s = float("inf")
        hit_rate = self._home_hits.rate(level)
        for name in members.homes(prefix.key)[:MAX_HOMES]:
            if name in excluded:
                continue
            record = members.by_name[name]
            estimate = self._estimates.get(record)
            anew_s = max(MIN_WIDEN_QUEUE_S, prefix.tokens / estimate.prefill_tps)
            if taken >= HOMES and least_wait_s <= anew_s:
                return
            # Homes that joined under load are likely to have got it later.
            part = hit_rate * HOMES / max(HOMES, taken + 1)
            _add_better(
                found, Candidate(record, prefix.tokens * part, level, prefix.tokens)
            )
            least_wait_s = min(least_wait_s, estimate.queue_s(now))
            taken += 1

    def _add_holders(
        self,
        found: dict[str, Candidate],
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        now: float,
    ) -> None:
        met = set()
        for prefix in reversed(prefixes):
            for record, belief in self._holders.of(prefix, members.by_name, now):
                if record.name in excluded or record.name in met:
                    continue
                met.add(record.name)
                _add_better(found, Candidate(record, prefix.tokens * belief))
            if len(met) >= KNOWN_HOLDERS:
                return

    def _add_any(
        self,
        found: dict[str, Candidate],
        members: Members,
        excluded: frozenset[str],
    ) -> None:
        for record in members.records:
            if record.name not in excluded:
                found[record.name] = Candidate(record)
                return


def _add_better(found: dict[str, Candidate], candidate: Candidate) -> None:
    name = candidate.record.name
    known = found.get(name)
    if known is None or candidate.cached_tokens > known.cached_tokens:
        found[name] = candidate
