"""What one entry knows of the load and the faults of one incarnation of an upstream.

Lives as long as that incarnation; pure.  The entry's own work is known exactly, the
work of others from what the upstream tells with its answers, which ages quickly.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from gooseberrydale.request.gateway_call import ReportedLoad
from gooseberrydale.version.open_runs import OpenRuns
from gooseberrydale.version.peer_loads import Totals
from gooseberrydale.version.silence import Silence

REPORT_HALF_LIFE_S = 0.25
"""Half of the reported work of others has ended after this: about the time of a run."""

SUSPECT_FIRST_S = 0.5
SUSPECT_MAX_S = 6.0
"""After a failure to connect an upstream is left alone for the first time, doubled by
each further one up to the other: a restart takes one to some seconds."""

LEAVING_KEPT_S = 60.0
"""An upstream that leaves has ended within this time."""

ERROR_SMOOTHING = 0.15
"""Weight of the newest answer in the share of failures; about the last seven count."""


@dataclass(frozen=True, slots=True)
class Load:
    """Work at an upstream: requests, tokens of prompts not yet computed, of memory."""

    requests: float
    prefill_tokens: float
    kv_tokens: float


@dataclass(frozen=True, slots=True)
class Work:
    """One request at an upstream, in tokens; all 0 at a plain service."""

    prefill_tokens: int = 0
    kv_tokens: int = 0


class UpstreamLoad:
    """The load and the faults of one incarnation of an upstream.

    Times are seconds of the loop; ``incarnation`` is its incarnation, empty if it told
    none.
    """

    def __init__(self, incarnation: str = "") -> None:
        self.incarnation = incarnation
        self._requests = 0
        self._prefill_tokens = 0
        self._kv_tokens = 0
        self._others = 0.0
        self._reported_at = -math.inf
        self._failures = 0
        self.suspect_until = -math.inf
        self.avoid_until = -math.inf
        self.told_to_avoid = False
        self.backoff_until = -math.inf
        self.leaving_since: float | None = None
        self.error_share = 0.0
        self.silence = Silence()
        self.runs = OpenRuns()

    def began(self, work: Work) -> None:
        """A request was sent."""
        self._requests += 1
        self._prefill_tokens += work.prefill_tokens
        self._kv_tokens += work.kv_tokens

    def first_part(self, work: Work) -> None:
        """The prompt of a request is computed."""
        self._prefill_tokens -= work.prefill_tokens

    def ended(self, work: Work, *, prefilled: bool) -> None:
        """A request has ended; ``prefilled`` if its first part had come."""
        self._requests -= 1
        self._kv_tokens -= work.kv_tokens
        if not prefilled:
            self._prefill_tokens -= work.prefill_tokens

    def reported(self, load: ReportedLoad, now: float) -> None:
        """The upstream tells its load with an answer."""
        # The own requests are among those reported.
        self._others = max(0.0, load.running + load.waiting - self._requests)
        self._reported_at = now

    def answered(self, *, failed: bool) -> int:
        """The upstream gave an answer of its own; so it is there.

        Returns how often in a row it had failed before.
        """
        self._count_error(failed)
        return self.reached()

    def reached(self) -> int:
        """A connection was granted; return how often in a row it had failed before."""
        self.runs.back()
        before, self._failures = self._failures, 0
        self.suspect_until = -math.inf
        return before

    def unreachable(self, now: float) -> float:
        """No connection, or one that broke; return for how long to leave it alone."""
        pause_s: float = min(SUSPECT_MAX_S, SUSPECT_FIRST_S * 2**self._failures)
        self._failures += 1
        self.suspect_until = now + pause_s
        self._count_error(True)
        return pause_s

    def avoid(self, now: float, for_s: float, *, told: bool = False) -> None:
        """The upstream takes no work for the moment; ``told`` if others say so."""
        self.avoid_until = max(self.avoid_until, now + for_s)
        self.told_to_avoid = told

    def back_off(self, now: float, for_s: float) -> None:
        """The upstream wants no request from this process for ``for_s`` seconds."""
        self.backoff_until = max(self.backoff_until, now + for_s)

    def leaves(self, now: float) -> bool:
        """The upstream says that it leaves; return whether that is new."""
        is_new = self.leaving_since is None
        self.leaving_since = now if is_new else self.leaving_since
        return is_new

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has said in an answer that it leaves."""
        return self.leaving_since is not None

    def outlasts_record(self, now: float) -> bool:
        """Whether what the upstream asked for still holds if its record lapses."""
        if self.leaving_since is not None:
            return now < self.leaving_since + LEAVING_KEPT_S
        return now < self.backoff_until

    @property
    def failures(self) -> int:
        """How often in a row the upstream could not be reached."""
        return self._failures

    @property
    def own(self) -> tuple[int, int, int]:
        """The own work: requests, tokens to compute, tokens of memory."""
        return self._requests, self._prefill_tokens, self._kv_tokens

    def load(
        self, now: float, peers: Totals | None, unseen: Load | None = None
    ) -> Load:
        """The load as far as it can be known now.

        ``peers`` is what the other gateways tell of their work there, None if none of
        them is heard; then the upstream's own reports have to do.  ``unseen`` is what
        gateways that are not heard are taken to have there.
        """
        if peers is None:
            age_s = now - self._reported_at
            others = self._others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
            return Load(self._requests + others, self._prefill_tokens, self._kv_tokens)
        more = unseen if unseen is not None else _NOTHING
        return Load(
            requests=self._requests + peers.requests + more.requests,
            prefill_tokens=(
                self._prefill_tokens + peers.prefill_tokens + more.prefill_tokens
            ),
            kv_tokens=self._kv_tokens + peers.kv_tokens + more.kv_tokens,
        )

    def _count_error(self, failed: bool) -> None:
        self.error_share += ERROR_SMOOTHING * (float(failed) - self.error_share)


_NOTHING = Load(0.0, 0.0, 0.0)
