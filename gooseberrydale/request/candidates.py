"""Collects the few upstreams that are worth weighing for one request.

The base of a prompt, such as a guide, has ranked homes.  The first one is in use;
as long as all in use have to wait longer, beyond what the whole pool waits, than the
prompt takes to compute anew, the next one joins.  Deeper levels, such as a lot, are
divided among the homes in use, so that they lie where their base lies.  All entries
see the same load and the same order, so they decide alike without a word.  Pure.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.request.affinity import Holders, Prefix, levels
from gooseberrydale.request.estimate import Estimates
from gooseberrydale.request.members import Members

MIN_HOMES = 2
# What this entry does not know of a home: other entries sent the prefix there.
HOME_BELIEF = 0.8
MIN_WIDEN_S = 0.05
KNOWN_HOLDERS = 6
RANDOM_WITH_HOMES = 1
RANDOM_WITHOUT_HOMES = 3
RANDOM_TRIES = 3


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream and how much of the prompt it probably holds, in tokens.

    ``known`` says that this entry sent it there, so that the belief can be checked;
    ``stray`` that other entries would not look for the prefix there.
    """

    record: UpstreamRecord
    cached_tokens: float = 0.0
    known: bool = False
    stray: bool = False


class Collector:
    """Gathers candidates from homes, holders and chance."""

    def __init__(
        self,
        rng: random.Random,
        estimates: Estimates,
        holders: Holders,
    ) -> None:
        self._rng = rng
        self._estimates = estimates
        self._holders = holders

    def collect(
        self,
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        now: float,
    ) -> dict[str, Candidate]:
        """Return the candidates by name; empty only if nothing is eligible."""
        found: dict[str, Candidate] = {}
        self._add_homes(found, members, prefixes, excluded, now)
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
        if not members.names:
            return
        for _ in range(wanted * RANDOM_TRIES):
            name = self._rng.choice(members.names)
            if name not in excluded and name not in found:
                found[name] = Candidate(members.by_name[name], stray=True)
                wanted -= 1
            if wanted == 0:
                return

    def _add_homes(
        self,
        found: dict[str, Candidate],
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        now: float,
    ) -> None:
        picked = levels(prefixes)
        if not picked:
            return
        base, *deeper = picked
        names = [n for n in members.homes(base.key) if n not in excluded]
        if not names:
            return
        in_use = self._in_use(members, names, prefixes[-1], now)
        for rank, name in enumerate(names[: max(in_use + 1, MIN_HOMES)]):
            # Later homes joined under load and have got the prefix later, if at all.
            belief = HOME_BELIEF / (1 + rank)
            _add_better(found, Candidate(members.by_name[name], base.tokens * belief))
        for prefix in deeper:
            name = members.first_among(names[:in_use], prefix.key)
            tokens = prefix.tokens * HOME_BELIEF
            _add_better(found, Candidate(members.by_name[name], tokens))

    def _in_use(
        self, members: Members, names: list[str], whole: Prefix, now: float
    ) -> int:
        """Return how many of the ranked homes the present load calls for.

        A wait that the whole pool has is no reason to spread: it comes from too much
        work, and each further copy of a prefix makes it more.
        """
        first = self._estimates.get(members.by_name[names[0]])
        anew_s = max(MIN_WIDEN_S, whole.tokens / first.prefill_tps)
        bearable_s = anew_s + first.pool_queue_s
        for count, name in enumerate(names):
            estimate = self._estimates.get(members.by_name[name])
            if estimate.queue_s(now) <= bearable_s:
                return count + 1
        return len(names)

    def _add_holders(
        self,
        found: dict[str, Candidate],
        members: Members,
        prefixes: tuple[Prefix, ...],
        excluded: frozenset[str],
        now: float,
    ) -> None:
        skipped = set(excluded)
        enough = len(skipped) + KNOWN_HOLDERS
        for prefix in reversed(prefixes):
            held = list(self._holders.of(prefix, members.by_name, skipped, now))
            for record, belief in held:
                skipped.add(record.name)
                _add_better(
                    found, Candidate(record, prefix.tokens * belief, known=True)
                )
            if len(skipped) >= enough:
                return

    def _add_any(
        self,
        found: dict[str, Candidate],
        members: Members,
        excluded: frozenset[str],
    ) -> None:
        for name, record in members.by_name.items():
            if name not in excluded:
                found[name] = Candidate(record)
                return


def _add_better(found: dict[str, Candidate], candidate: Candidate) -> None:
    name = candidate.record.name
    known = found.get(name)
    if known is None or candidate.cached_tokens > known.cached_tokens:
        found[name] = candidate
