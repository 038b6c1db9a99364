"""What follows when a send to an upstream did not bring a whole answer.  Pure.

The decision rests on whether the request can have run, and whether it may run again.
A request that may not be repeated is sent again only if its upstream states that it
did not run it, or if nothing was sent.  Sends beyond the first are paid from the
pool's retry budget, unless the one before did not leave this process: then no upstream
has got the request twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from gooseberrydale import errors
from gooseberrydale.errors import Problem, problem
from gooseberrydale.request.comeback import after_refusal_s

MAX_SENDS = 3
"""Upstreams that one request is sent to at most, refusals included.  A third one makes
up for one that has just died beside one that changes its weights."""

MIN_LEFT_S = 0.05
"""With less time left another send can't bring an answer in time."""


class Retries(Protocol):
    """Sends beyond the first that a process may make."""

    def spend(self, now: float) -> bool:
        """Take one; False means that none may be made now."""


class End(Enum):
    """How a send ended without a whole answer."""

    NOT_SENT = auto()
    """No connection; the upstream has not got the request."""
    REFUSED = auto()
    """The upstream states that it did not run the request."""
    FAILED = auto()
    """The upstream ran the request and answered with a failure."""
    LOST = auto()
    """The connection ended before an answer; it may have run."""
    INVALID = auto()
    """The answer was not whole, or not the upstream's own."""
    TIMED_OUT = auto()
    """The time of the request has ended."""
    MOVED = auto()
    """The router took a stream that may be resumed away from its upstream."""


_NOT_RUN = frozenset({End.NOT_SENT, End.REFUSED})


@dataclass(frozen=True, slots=True)
class Sends:
    """What became of a request so far; ``runs`` counts the sends that may have run."""

    sends: int
    runs: int
    end: End


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the request to another upstream."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Give the caller the upstream's own failure."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with ``problem``."""

    problem: Problem


Step = SendAgain | PassOn | GiveUp


def after_end(
    sends: Sends,
    *,
    repeatable: bool,
    max_runs: int,
    left_s: float,
    others: bool,
    pool: str,
    budget: Retries,
    now: float,
) -> Step:
    """Decide what follows; takes a token from ``budget`` if it sends again.

    ``others`` says whether an upstream is left that was not tried.
    """
    if sends.end is End.TIMED_OUT:
        return GiveUp(_waited(sends))
    allowed = sends.end in _NOT_RUN or (repeatable and sends.runs < max_runs)
    useful = others and left_s > MIN_LEFT_S and sends.sends < MAX_SENDS
    paid = sends.end is End.NOT_SENT or (allowed and useful and budget.spend(now))
    if allowed and useful and paid:
        return SendAgain()
    if sends.end is End.FAILED:
        return PassOn()
    return GiveUp(_final(sends, pool, left_s))


def _waited(sends: Sends) -> Problem:
    return problem(errors.WAITED_TOO_LONG, not_run=None if sends.runs else True)


def _final(sends: Sends, pool: str, left_s: float) -> Problem:
    if not sends.runs:
        after_s = after_refusal_s(left_s)
        return problem(errors.UPSTREAMS_REFUSE, pool=pool, retry_after_s=after_s)
    if sends.end is End.INVALID:
        reason = "it broke off or was not its own"
        return problem(errors.UPSTREAM_ANSWER_INVALID, not_run=None, reason=reason)
    return problem(errors.OUTCOME_UNKNOWN, not_run=None)
