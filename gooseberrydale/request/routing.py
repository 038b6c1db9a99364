"""Chooses the upstream of a request: the least expected time to first token.

Candidates are the rendezvous homes of a few levels of the prompt, upstreams known
to hold its prefix, and one at random; homes need no learned state, so a restarted
entry routes well at once.  What replies report refines the estimates.  Views are
stale by nature: the sidecar decides for good, a wrong view only costs time.  Pure
decisions of an entry; the state lives as long as the process.
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
RANDOM_WHEN_LATE = 4
# At this wait a wasted recomputation counts twice: whoever waits there pays as well.
CONGESTION_S = 0.25
# A copy where no other entry looks for it serves hardly anybody else.
STRAY_WEIGHT = 1.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
# Refusals that say no more than the load that comes with them.
BUSY_CODES = frozenset({errors.QUEUE_FULL.code, errors.DEADLINE_TOO_CLOSE.code})


@dataclass(frozen=True, slots=True)
class RouteReq:
    """What routing needs of one request.

    ``deadline_s`` is the time left to the first token; ``zone`` and ``region`` are
    the entry's; ``excluded`` names upstreams not to choose: those already tried and
    those that the configuration marks as leaving.
    """

    workspace: str
    profile: Profile
    pieces: tuple[Piece, ...] = ()
    deadline_s: float = 30.0
    zone: str = ""
    region: str = ""
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen; hand it back to the policy with what came of it.

    The fields after the expectations are the policy's own notes.
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
        """Choose one of ``upstreams``, or say NO_UPSTREAM.

        Hand in the same tuple as long as the records are the same ones: what is
        derived from it is kept by identity, so it must not be changed in place.
        """

    def dispatched(self, choice: Choice, now: float) -> None:
        """Count an attempt that is sent to the chosen upstream."""

    def observe(self, choice: Choice, frame: Frame, now: float) -> None:
        """Learn from a frame of that attempt."""

    def lost(self, choice: Choice, now: float) -> None:
        """Learn that the attempt's connection failed or fell silent."""

    def observe_load(self, record: UpstreamRecord, load: Load, now: float) -> None:
        """Learn from a load report that came by another way than on a reply."""


class Router:
    """The policy of the product; see the module's docstring."""

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
        """Return the candidate of least cost, or NO_UPSTREAM."""
        members = self._members.get(req.profile, upstreams)
        prefixes = self._scopes.prefixes(req.workspace, req.profile.model, req.pieces)
        found = self._collector.collect(members, prefixes, req.excluded, now)
        if not found:
            return Err(no_upstream(req))
        best = self._least(found, req, prefixes, now)
        if best.expected_ttft_s > req.deadline_s:
            self._collector.add_random(found, members, req.excluded, RANDOM_WHEN_LATE)
            best = self._least(found, req, prefixes, now)
        return Ok(best)

    def dispatched(self, choice: Choice, now: float) -> None:
        """Add the attempt to the upstream's load and to the prefix's holders."""
        estimate = self._estimates.find(choice.record)
        if estimate is None:
            return
        uncached = _tokens(choice.prefixes) - choice.expected_cached_tokens
        estimate.sent(choice.serial, max(0, uncached), now)
        self._holders.note(choice.prefixes, choice.record, now)

    def observe(self, choice: Choice, frame: Frame, now: float) -> None:
        """Take load and cached tokens from a frame."""
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
                estimate.found_cached(
                    choice.expected_cached_tokens, frame.cached_tokens
                )
            self._holders.note(choice.prefixes, choice.record, now)
        elif isinstance(frame, Refused | Failed):
            self._holders.forget(choice.prefixes, choice.record.name)
            if frame.problem.code not in BUSY_CODES:
                estimate.shun(now)

    def lost(self, choice: Choice, now: float) -> None:
        """Avoid the upstream for a while and forget what it was sent."""
        estimate = self._estimates.find(choice.record)
        if estimate is not None:
            estimate.answered(choice.serial)
            estimate.shun(now)
            self._holders.forget(choice.prefixes, choice.record.name)

    def observe_load(self, record: UpstreamRecord, load: Load, now: float) -> None:
        """Take a load report that came just now."""
        estimate = self._estimates.find(record)
        if estimate is not None:
            estimate.report(load, now)

    def _least(
        self,
        found: dict[str, Candidate],
        req: RouteReq,
        prefixes: tuple[Prefix, ...],
        now: float,
    ) -> Choice:
        total = _tokens(prefixes)
        most_cached = max(c.cached_tokens for c in found.values())
        best: Candidate | None = None
        best_cost = best_ttft_s = float("inf")
        for candidate in found.values():
            estimate = self._estimates.get(candidate.record)
            prefill_s = (total - candidate.cached_tokens) / estimate.prefill_tps
            queue_s = estimate.queue_s(now)
            ttft_s = queue_s + prefill_s + _transfer_s(req, candidate)
            wasted_s = (most_cached - candidate.cached_tokens) / estimate.prefill_tps
            weight = req.profile.waste_weight + queue_s / CONGESTION_S
            if candidate.stray:
                weight += STRAY_WEIGHT
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
