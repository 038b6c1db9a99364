"""Chooses the upstream of a request: the lowest expected time to first token.

Candidates are the preferred upstreams of a few levels of the prompt, computed with a
rendezvous hash, upstreams known to hold its prefix, and random ones. Preferred
upstreams need no learned state, so an entry routes well right after a restart. Load and
cached tokens in replies refine the estimates. An entry's view is always somewhat stale:
the sidecar makes the final decision, and a wrong view only costs time. Pure decisions;
the state is one per process.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from gooseberrydale import errors
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    Accepted,
    Chunk,
    Failed,
    Frame,
    Heartbeat,
    Load,
    Piece,
    Refused,
)
from gooseberrydale.errors import Problem, problem
from gooseberrydale.request.affinity import Holders, Prefix, Scopes
from gooseberrydale.request.candidates import Candidate, Collector
from gooseberrydale.request.estimate import Estimates
from gooseberrydale.request.members import MembersByProfile
from gooseberrydale.version.declarations import Profile

CROSS_ZONE_S = 0.002
CROSS_REGION_S = 0.05
RANDOM_CANDIDATES_WHEN_LATE = 4
# At this queue time a wasted recomputation counts twice, as it also delays the requests
# queued there.
CONGESTED_QUEUE_S = 0.25
# Extra weight of wasted recomputation at a random upstream: other entries would not
# look for the prefix there, so a copy serves hardly any other request.
RANDOM_PICK_WEIGHT = 1.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
# Refusals that carry no information beyond the load reported with them.
BUSY_CODES = frozenset({errors.QUEUE_FULL.code, errors.DEADLINE_TOO_CLOSE.code})


@dataclass(frozen=True, slots=True)
class RouteReq:
    """What routing needs of one request.

    ``deadline_s`` is the time left to the first token; ``zone`` and ``region`` are the
    entry's; ``excluded`` names upstreams not to choose: those already tried and those
    that the configuration marks as leaving. ``entries`` is the number of entries that
    share the traffic; from it and its own requests an entry detects a popular prefix
    before a queue builds up.
    """

    workspace: str
    profile: Profile
    pieces: tuple[Piece, ...] = ()
    deadline_s: float = 30.0
    zone: str = ""
    region: str = ""
    excluded: frozenset[str] = frozenset()
    entries: int = 1


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen; the caller passes it back to the policy with the replies.

    ``serial``, ``prefixes`` and ``known`` are for the policy alone. ``known`` says that
    this entry sent the prefix to the upstream before, so that a reply can confirm the
    estimate of cached tokens.
    """

    record: UpstreamRecord
    req: RouteReq
    expected_ttft_s: float = 0.0
    expected_cached_tokens: int = 0
    serial: int = field(default=0, repr=False)
    prefixes: tuple[Prefix, ...] = field(default=(), repr=False)
    known: bool = field(default=False, repr=False)


class Policy(Protocol):
    """A way to choose upstreams; all times are the loop's, in seconds."""

    def choose(
        self, req: RouteReq, upstreams: Sequence[UpstreamRecord], now: float
    ) -> Result[Choice, Problem]:
        """Choose one of ``upstreams``, or return NO_UPSTREAM.

        Pass the same tuple as long as the records are the same: what is derived from it
        is cached by identity, so it must not be changed in place.
        """

    def dispatched(self, choice: Choice, now: float) -> None:
        """Count an attempt that is sent to the chosen upstream."""

    def observe(self, choice: Choice, frame: Frame, now: float) -> None:
        """Update the estimates from a frame of that attempt."""

    def lost(self, choice: Choice, now: float) -> None:
        """Note that the attempt's connection failed or fell silent."""

    def observe_load(self, record: UpstreamRecord, load: Load, now: float) -> None:
        """Record a load report that did not come with a reply."""


class Router:
    """The default policy: weighs queue time against cached prefixes."""

    def __init__(self, rng: random.Random) -> None:
        self._serial = 0
        self._members = MembersByProfile()
        self._scopes = Scopes()
        self._estimates = Estimates()
        self._holders = Holders(self._estimates)
        self._collector = Collector(rng, self._estimates, self._holders)

    def choose(
        self, req: RouteReq, upstreams: Sequence[UpstreamRecord], now: float
    ) -> Result[Choice, Problem]:
        """Return the candidate with the lowest cost, or NO_UPSTREAM."""
        members = self._members.get(req.profile, upstreams)
        prefixes = self._scopes.prefixes(req.workspace, req.profile.model, req.pieces)
        candidates = self._collector.collect(
            members, prefixes, req.excluded, req.entries, now
        )
        if not candidates:
            return Err(no_upstream(req))
        best = self._cheapest(candidates, req, prefixes, now)
        if best.expected_ttft_s > req.deadline_s:
            self._collector.add_random(
                candidates, members, req.excluded, RANDOM_CANDIDATES_WHEN_LATE
            )
            best = self._cheapest(candidates, req, prefixes, now)
        return Ok(best)

    def dispatched(self, choice: Choice, now: float) -> None:
        """Add the attempt to the upstream's load and its prefixes to the holders."""
        estimate = self._estimates.find(choice.record)
        if estimate is None:
            return
        uncached = _tokens(choice.prefixes) - choice.expected_cached_tokens
        estimate.sent(choice.serial, max(0, uncached), now)
        self._holders.note(choice.prefixes, choice.record, now)

    def observe(self, choice: Choice, frame: Frame, now: float) -> None:
        """Update load, cached tokens and holders from a frame."""
        estimate = self._estimates.find(choice.record)
        if estimate is None or isinstance(frame, Chunk):
            return
        estimate.report(frame.load, now)
        if isinstance(frame, Heartbeat):
            return
        estimate.answered(choice.serial)
        if isinstance(frame, Accepted):
            estimate.accepted()
            if choice.known:
                estimate.observe_cached(
                    choice.expected_cached_tokens, frame.cached_tokens
                )
            self._holders.note(choice.prefixes, choice.record, now)
        elif isinstance(frame, Refused | Failed):
            self._holders.forget(choice.prefixes, choice.record.name)
            if frame.problem.code not in BUSY_CODES:
                estimate.avoid(now)

    def lost(self, choice: Choice, now: float) -> None:
        """Avoid the upstream for a while, and expect none of the prefixes there."""
        estimate = self._estimates.find(choice.record)
        if estimate is not None:
            estimate.answered(choice.serial)
            estimate.avoid(now)
            self._holders.forget(choice.prefixes, choice.record.name)

    def observe_load(self, record: UpstreamRecord, load: Load, now: float) -> None:
        """Record a load report that was received just now."""
        estimate = self._estimates.find(record)
        if estimate is not None:
            estimate.report(load, now)

    def _cheapest(
        self,
        candidates: dict[str, Candidate],
        req: RouteReq,
        prefixes: tuple[Prefix, ...],
        now: float,
    ) -> Choice:
        total = _tokens(prefixes)
        most_cached = max(c.cached_tokens for c in candidates.values())
        best: Candidate | None = None
        best_cost = best_ttft_s = float("inf")
        for candidate in candidates.values():
            estimate = self._estimates.get(candidate.record)
            prefill_s = (total - candidate.cached_tokens) / estimate.prefill_tps
            queue_s = estimate.queue_s(now)
            ttft_s = queue_s + prefill_s + _transfer_s(req, candidate)
            wasted_s = (most_cached - candidate.cached_tokens) / estimate.prefill_tps
            weight = req.profile.waste_weight + queue_s / CONGESTED_QUEUE_S
            if candidate.random_pick:
                weight += RANDOM_PICK_WEIGHT
            cost = ttft_s + weight * wasted_s
            if best is None or cost < best_cost:
                best, best_cost, best_ttft_s = candidate, cost, ttft_s
        assert best is not None
        self._serial += 1
        return Choice(
            record=best.record,
            req=req,
            serial=self._serial,
            expected_ttft_s=best_ttft_s,
            expected_cached_tokens=int(best.cached_tokens),
            prefixes=prefixes,
            known=best.known,
        )


def no_upstream(req: RouteReq) -> Problem:
    """Build the refusal of a request that no upstream can serve."""
    return problem(
        errors.NO_UPSTREAM,
        retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
        pool=req.profile.pool,
    )


def _transfer_s(req: RouteReq, candidate: Candidate) -> float:
    record = candidate.record
    if req.region and record.region != req.region:
        return CROSS_REGION_S
    if req.zone and record.zone != req.zone:
        return CROSS_ZONE_S
    return 0.0


def _tokens(prefixes: tuple[Prefix, ...]) -> int:
    return prefixes[-1].tokens if prefixes else 0
