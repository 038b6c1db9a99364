"""Simple policies to compare the router with, and the policy for each name.

They receive the same upstreams and replies as the router. Pure; the state is one per
process.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Chunk, Frame, Heartbeat, Load
from gooseberrydale.errors import Problem
from gooseberrydale.request.affinity import Scopes
from gooseberrydale.request.estimate import Estimates
from gooseberrydale.request.members import Members, MembersByProfile
from gooseberrydale.request.routing import (
    Choice,
    Policy,
    Router,
    RouteReq,
    no_upstream,
)


class _Baseline:
    """Chooses among all eligible upstreams, without any learned state."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._serial = 0
        self._members = MembersByProfile()

    def choose(
        self, req: RouteReq, upstreams: Sequence[UpstreamRecord], now: float
    ) -> Result[Choice, Problem]:
        """Choose one of ``upstreams``, or return NO_UPSTREAM."""
        members = self._members.get(req.profile, upstreams)
        allowed = members.names
        if req.excluded:
            allowed = [name for name in allowed if name not in req.excluded]
        if not allowed:
            return Err(no_upstream(req))
        name = self._pick(req, members, allowed, now)
        self._serial += 1
        return Ok(Choice(members.by_name[name], req, serial=self._serial))

    def _pick(
        self,
        req: RouteReq,
        members: Members,
        allowed: list[str],
        now: float,
    ) -> str:
        raise NotImplementedError

    def dispatched(self, choice: Choice, now: float) -> None:
        """Ignore the event."""

    def observe(self, choice: Choice, frame: Frame, now: float) -> None:
        """Ignore the event."""

    def lost(self, choice: Choice, now: float) -> None:
        """Ignore the event."""

    def observe_load(self, record: UpstreamRecord, load: Load, now: float) -> None:
        """Ignore the event."""


class RandomPolicy(_Baseline):
    """Chooses any eligible upstream with the same probability."""

    def _pick(
        self,
        req: RouteReq,
        members: Members,
        allowed: list[str],
        now: float,
    ) -> str:
        return self._rng.choice(allowed)


class RoundRobinPolicy(_Baseline):
    """Chooses the eligible upstreams in order, from a random start."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._next_index = rng.randrange(1 << 16)

    def _pick(
        self,
        req: RouteReq,
        members: Members,
        allowed: list[str],
        now: float,
    ) -> str:
        self._next_index += 1
        return allowed[self._next_index % len(allowed)]


class LeastLoadedPolicy(_Baseline):
    """Chooses the eligible upstream with the shortest queue time, ignoring caches."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._estimates = Estimates()

    def _pick(
        self,
        req: RouteReq,
        members: Members,
        allowed: list[str],
        now: float,
    ) -> str:
        estimates = [self._estimates.get(members.by_name[name]) for name in allowed]
        queue_times = [estimate.queue_s(now) for estimate in estimates]
        least = min(queue_times)
        ties = [name for name, wait in zip(allowed, queue_times) if wait == least]
        return self._rng.choice(ties)

    def dispatched(self, choice: Choice, now: float) -> None:
        """Add the attempt to the upstream's load."""
        estimate = self._estimates.find(choice.record)
        if estimate is not None:
            tokens = sum(piece.tokens for piece in choice.req.pieces)
            estimate.sent(choice.serial, tokens, now)

    def observe(self, choice: Choice, frame: Frame, now: float) -> None:
        """Record the load in a frame."""
        estimate = self._estimates.find(choice.record)
        if estimate is None or isinstance(frame, Chunk):
            return
        estimate.report(frame.load, now)
        if not isinstance(frame, Heartbeat):
            estimate.answered(choice.serial)

    def lost(self, choice: Choice, now: float) -> None:
        """Avoid the upstream for a while."""
        estimate = self._estimates.find(choice.record)
        if estimate is not None:
            estimate.answered(choice.serial)
            estimate.avoid(now)

    def observe_load(self, record: UpstreamRecord, load: Load, now: float) -> None:
        """Record a load report that was received just now."""
        estimate = self._estimates.find(record)
        if estimate is not None:
            estimate.report(load, now)


class HashOnlyPolicy(_Baseline):
    """Chooses the preferred upstream of the prompt's first piece, ignoring load."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._scopes = Scopes()

    def _pick(
        self,
        req: RouteReq,
        members: Members,
        allowed: list[str],
        now: float,
    ) -> str:
        prefixes = self._scopes.prefixes(
            req.workspace, req.profile.model, req.pieces[:1]
        )
        for prefix in prefixes:
            for name in members.preferred(prefix.key):
                if name not in req.excluded:
                    return name
        return self._rng.choice(allowed)


POLICIES: dict[str, Callable[[random.Random], Policy]] = {
    "affinity": Router,
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-loaded": LeastLoadedPolicy,
    "hash-only": HashOnlyPolicy,
}
DEFAULT_POLICY = "affinity"


def make_policy(name: str, rng: random.Random) -> Policy:
    """Return a new policy; raises KeyError for a name that ``POLICIES`` lacks."""
    return POLICIES[name](rng)
