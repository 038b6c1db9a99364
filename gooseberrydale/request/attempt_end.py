"""Decides what to do when a send to an upstream did not return a complete answer.

Pure.  The decision depends on whether the request may have run and whether it may run
again.  A request that is not repeatable is sent again only if the upstream states that
it did not run it, or if it was not sent.  Each further send takes a token from the
pool's retry budget, unless the previous one failed to connect: then no upstream has
received the request twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from gooseberrydale import errors
from gooseberrydale.errors import Problem, problem
from gooseberrydale.request.retry_after import after_refusal_s

MAX_SENDS = 3
"""Most upstreams that one request is sent to, refusals included.  With three, a request
survives that one upstream has just died while another one changes its weights."""

MIN_REMAINING_S = 0.05
"""With less time left, another send can't return an answer in time."""


class Retries(Protocol):
    """A budget for sends beyond the first one of a request."""

    def spend(self, now: float) -> bool:
        """Take one token; False if none is left."""


class End(Enum):
    """How a send ended without a complete answer."""

    NOT_SENT = auto()
    """No connection; the request did not reach the upstream."""
    REFUSED = auto()
    """The upstream states that it did not run the request."""
    FAILED = auto()
    """The upstream ran the request and answered with a failure."""
    LOST = auto()
    """The connection ended before an answer; it may have run."""
    INVALID = auto()
    """The answer was incomplete, or did not come from the upstream itself."""
    OUTDATED = auto()
    """Its upstream's weights became too old before it started; it may have run."""
    TIMED_OUT = auto()
    """The deadline of the request passed."""


_NOT_RUN = frozenset({End.NOT_SENT, End.REFUSED})


@dataclass(frozen=True, slots=True)
class SendHistory:
    """The sends of a request so far.

    ``sends`` counts all of them, ``runs`` those that may have run; ``end`` is how the
    last one ended.
    """

    sends: int
    runs: int
    end: End


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the request to another upstream."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Forward the upstream's own error response to the caller."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with ``problem``."""

    problem: Problem


Step = SendAgain | PassOn | GiveUp


def decide_next_step(
    sends: SendHistory,
    *,
    repeatable: bool,
    max_runs: int,
    left_s: float,
    others: bool,
    pool: str,
    budget: Retries,
    now: float,
) -> Step:
    """Return the next step; takes a token from ``budget`` if it is another send.

    ``others`` says whether there is an upstream that was not tried yet.
    """
    if sends.end is End.TIMED_OUT:
        return GiveUp(_timeout_problem(sends))
    allowed = sends.end in _NOT_RUN or (repeatable and sends.runs < max_runs)
    useful = others and left_s > MIN_REMAINING_S and sends.sends < MAX_SENDS
    paid = sends.end is End.NOT_SENT or (allowed and useful and budget.spend(now))
    if allowed and useful and paid:
        return SendAgain()
    if sends.end is End.FAILED:
        return PassOn()
    return GiveUp(_final_problem(sends, pool, left_s))


def _timeout_problem(sends: SendHistory) -> Problem:
    return problem(errors.WAITED_TOO_LONG, not_run=None if sends.runs else True)


def _final_problem(sends: SendHistory, pool: str, left_s: float) -> Problem:
    if not sends.runs:
        after_s = after_refusal_s(left_s)
        return problem(errors.UPSTREAMS_REFUSE, pool=pool, retry_after_s=after_s)
    if sends.end is End.INVALID:
        reason = "it was incomplete or did not come from the upstream itself"
        return problem(errors.UPSTREAM_ANSWER_INVALID, not_run=None, reason=reason)
    return problem(errors.OUTCOME_UNKNOWN, not_run=None)
