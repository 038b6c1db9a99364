"""Chooses the upstream of each attempt of one request.

One per request. It records which upstreams were tried and why the attempts failed; the
policy, one per process, makes the choice itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from result import Err

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem, ProblemError
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.job import Job
from gooseberrydale.request.retry import Cause
from gooseberrydale.request.routing import Choice, RouteReq
from gooseberrydale.request.startup_grace import MAX_WAIT_S
from gooseberrydale.version.origins.origin import (
    UNKNOWN_SOFTWARE,
    StreamOrigin,
    software_gone,
)

RESUME_WAIT_S = 3.0
POLL_INTERVAL_S = 0.05
# Only the connection failed: the sidecar may still be running.
CONNECTION_CAUSES = (Cause.LOST, Cause.SILENT)
# A tombstone is confirmed after a lost connection, by a sidecar that has answered on a
# new one.
SECOND_TRY_CAUSES = (*CONNECTION_CAUSES, Cause.TOMBSTONED)


class Chooser:
    """The upstreams tried for one job; ``left_s`` returns its remaining time."""

    def __init__(self, deps: Deps, job: Job, left_s: Callable[[], float]) -> None:
        self._deps = deps
        self._job = job
        self._left_s = left_s
        self._tried: dict[str, str] = {}
        self._last_problem: Problem | None = None
        self._second_tries: bool | None = None
        self._begun_at: UpstreamRecord | None = None

    def began_at(self, record: UpstreamRecord) -> None:
        """Record which upstream brought the first part that the caller has."""
        if self._begun_at is None:
            self._begun_at = record

    def failed(self, cause: Cause, why: Problem | None) -> None:
        """Record that the last attempt failed and another one follows.

        After a lost connection, upstreams that were tried may be tried again, once per
        request.
        """
        self._last_problem = why
        if cause in SECOND_TRY_CAUSES and self._second_tries is None:
            self._second_tries = True

    async def choose(self, *, given: bool, may_have_run: bool) -> Choice:
        """Choose an upstream that was not tried yet; raises :class:`ProblemError`.

        ``given`` says that the caller has received part of the answer: a stream that
        was interrupted waits for up to ``RESUME_WAIT_S`` for an upstream.
        """
        started = _now()
        while True:
            now = _now()
            upstreams = self._deps.directory.ready(self._job.profile.pool, now)
            req = self._route_req(now)
            origin = self._origin(now)
            if origin is not None and upstreams:
                req = self._at_origin(req, origin, upstreams)
            choice = self._deps.policy.choose(req, upstreams, now)
            if not isinstance(choice, Err):
                record = choice.ok_value.record
                self._tried[record.name] = record.incarnation
                return choice.ok_value
            if now < started + self._wait_s(given, is_empty=not upstreams):
                self._tried.clear()
                await asyncio.sleep(POLL_INTERVAL_S)
            elif self._second_tries:
                self._second_tries = False
                self._tried.clear()
            else:
                why = self._none_left(choice.err_value)
                raise ProblemError(_with_outcome(why, given, may_have_run))

    def _origin(self, now: float) -> StreamOrigin | None:
        """Return what began the answer; None if the caller has no part of it.

        Its sidecar may have found its upstream restarted with other software since; the
        answer may then be of either incarnation.
        """
        begun_at = self._begun_at
        if begun_at is None:
            return None
        newest = self._deps.directory.get(begun_at.name, now)
        if newest is not None and newest.software != begun_at.software:
            return StreamOrigin(begun_at.pool, UNKNOWN_SOFTWARE)
        return StreamOrigin.of(begun_at)

    def _at_origin(
        self,
        req: RouteReq,
        origin: StreamOrigin,
        upstreams: Sequence[UpstreamRecord],
    ) -> RouteReq:
        """Exclude the upstreams at which the answer must not go on.

        Raises :class:`ProblemError` if none is left.
        """
        others = frozenset(u.name for u in upstreams if not origin.allows(u))
        if len(others) == len(upstreams):
            why = software_gone(origin)
            raise ProblemError(why.with_outcome(False))
        return replace(req, excluded=req.excluded | others)

    def _wait_s(self, delivered: bool, *, is_empty: bool) -> float:
        """Return how long to wait for an upstream before refusing the request."""
        if delivered:
            return RESUME_WAIT_S
        if is_empty and self._deps.startup_grace.is_active(_now()):
            return min(MAX_WAIT_S, max(self._left_s(), 0.0))
        return 0.0

    def _none_left(self, why: Problem) -> Problem:
        """Return the last refusal if it has a retry time, otherwise ``why``."""
        last = self._last_problem
        if last is not None and last.retry_after_s is not None:
            return last
        return why

    def _route_req(self, now: float) -> RouteReq:
        return RouteReq(
            workspace=self._job.workspace,
            profile=self._job.profile,
            pieces=self._job.pieces,
            deadline_s=self._left_s(),
            zone=self._deps.node.zone,
            region=self._deps.node.region,
            entries=max(1, len(self._deps.fleet.entries)),
            excluded=self._deps.store.config.leaving | self._tried_incarnations(now),
        )

    def _tried_incarnations(self, now: float) -> frozenset[str]:
        """Names of upstreams whose present incarnation was tried."""
        tried = set()
        for name, incarnation in self._tried.items():
            record = self._deps.directory.get(name, now)
            if record is None or record.incarnation == incarnation:
                tried.add(name)
        return frozenset(tried)


def _with_outcome(why: Problem, delivered: bool, may_have_run: bool) -> Problem:
    if delivered:
        return why.with_outcome(False)
    return why.with_outcome(None) if may_have_run else why


def _now() -> float:
    return asyncio.get_running_loop().time()
