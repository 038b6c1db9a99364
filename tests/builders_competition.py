"""Builders of what callers and upstreams recorded in a soak run of gateways."""

from __future__ import annotations

from soak.competition import ROUTES, Attempt, Call
from soak.limited_upstream import LimitedUpstream

BY_NAME = {route.name: route for route in ROUTES}


def call(body: str, route: str, *statuses: int) -> Call:
    """Return a call whose requests ended with ``statuses``."""
    attempts = [Attempt(f"{body}-{n + 1}", status) for n, status in enumerate(statuses)]
    return Call(body, BY_NAME[route], "workspace-1", attempts)


def calls(route: str, served: int, refused: int) -> list[Call]:
    """Return calls of ``route``, some of them refused."""
    names = [f"{route}-{number}" for number in range(served + refused)]
    return [
        *(call(name, route, 200) for name in names[:served]),
        *(call(name, route, 503) for name in names[served:]),
    ]


def upstream(*runs: str, overflows: int = 0) -> LimitedUpstream:
    """Return an upstream that ran these requests, named as ``BODY-ATTEMPT``."""
    made = LimitedUpstream("u1", runs=list(runs), overflows=overflows)
    made.bodies.update(run.rpartition("-")[0] for run in runs)
    return made


def ran_as_answered(made: list[Call]) -> LimitedUpstream:
    """Return an upstream that ran each request that was answered with 200, once."""
    return upstream(
        *(
            attempt.request_id
            for one in made
            for attempt in one.attempts
            if attempt.status == 200
        )
    )
