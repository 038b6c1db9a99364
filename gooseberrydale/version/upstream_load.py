"""Load and failures of one incarnation of an upstream, as one entry sees them.

One object per incarnation; no I/O.  The entry counts its own work exactly.  The work of
other entries comes from reports in the upstream's answers, which age quickly.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import chain

from gooseberrydale.request.gateway_call import ReportedLoad
from gooseberrydale.version.open_runs import OpenRuns
from gooseberrydale.version.peer_loads import RankWork, Totals, rank_works
from gooseberrydale.version.silence import Silence

REPORT_HALF_LIFE_S = 0.25
"""Time after which half of the reported work of others is assumed to have ended; about
the duration of a run."""

SUSPECT_MIN_S = 0.5
SUSPECT_MAX_S = 6.0
"""Time for which an upstream is avoided after it could not be reached: the first value
at first, doubled by each further failure up to the second.  A restart takes one to
some seconds."""

LEAVING_RETENTION_S = 60.0
"""Time within which an upstream that announced that it is leaving has ended."""

ERROR_SMOOTHING = 0.15
"""Weight of the newest answer in the error rate; roughly the last seven answers
count."""


@dataclass(frozen=True, slots=True)
class Load:
    """Work at an upstream: requests, prompt tokens still to compute, memory tokens.

    ``unshared_tokens`` are the memory tokens that no other request shares, of all
    ranks.
    """

    requests: float
    prefill_tokens: float
    kv_tokens: float
    unshared_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class Work:
    """Work of one request of ``rank`` at an upstream, in tokens; 0 at a service."""

    prefill_tokens: int = 0
    kv_tokens: int = 0
    rank: int = 0
    unshared_tokens: int = 0


class UpstreamLoad:
    """The load and the failures of one incarnation of an upstream.

    Times are seconds of the event loop's clock.  ``incarnation`` is empty if the
    upstream does not report one.
    """

    def __init__(self, incarnation: str = "") -> None:
        self.incarnation = incarnation
        self._requests = 0
        self._prefill_tokens = 0
        self._kv_tokens = 0
        self.unshared_tokens = 0
        # By rank: requests, tokens to compute, tokens of memory.
        self._ranks: dict[int, list[int]] = {}
        self._others = 0.0
        self._reported_at = -math.inf
        self._failures = 0
        # Whether the last failure was an answer that can't be used.
        self._is_unusable = False
        self.suspect_until = -math.inf
        self.avoid_until = -math.inf
        self.avoid_reported_by_peers = False
        self.backoff_until = -math.inf
        self.leaving_since: float | None = None
        self.error_rate = 0.0
        self.silence = Silence()
        self.runs = OpenRuns()

    def began(self, work: Work) -> None:
        """Record that a request was sent."""
        self._requests += 1
        self._prefill_tokens += work.prefill_tokens
        self._kv_tokens += work.kv_tokens
        self.unshared_tokens += work.unshared_tokens
        self._count_rank(work.rank, 1, work.prefill_tokens, work.kv_tokens)

    def prefill_done(self, work: Work) -> None:
        """Record that the first bytes of an answer came: its prompt is computed."""
        self._prefill_tokens -= work.prefill_tokens
        self._count_rank(work.rank, 0, -work.prefill_tokens, 0)

    def ended(self, work: Work, *, prefilled: bool) -> None:
        """Record that a request has ended, ``prefilled`` if its answer had begun."""
        self._requests -= 1
        self._kv_tokens -= work.kv_tokens
        self.unshared_tokens -= work.unshared_tokens
        prefill_tokens = 0 if prefilled else work.prefill_tokens
        self._prefill_tokens -= prefill_tokens
        self._count_rank(work.rank, -1, -prefill_tokens, -work.kv_tokens)

    def reported(self, load: ReportedLoad, now: float) -> None:
        """Record the load that the upstream reports in an answer."""
        # The report includes this entry's own requests.
        self._others = max(0.0, load.running + load.waiting - self._requests)
        self._reported_at = now

    def answered(self, *, failed: bool) -> int:
        """Record an answer of the upstream itself, which shows that it is running.

        Return the number of consecutive failures to reach it before.
        """
        self._count_error(failed)
        self._is_unusable = False
        return self.reached()

    def reached(self) -> int:
        """Record that the upstream accepted a connection.

        Return the number of consecutive failures to reach it before, 0 if it is still
        avoided because its answers can't be used.
        """
        self.runs.mark_running()
        if self._is_unusable:
            return 0
        before, self._failures = self._failures, 0
        self.suspect_until = -math.inf
        return before

    def note_unreachable(self, now: float, *, unusable: bool = False) -> float:
        """Record that no connection was made, or that one broke.

        With ``unusable``, it was reset because the answer can't be used; only an answer
        then shows that the upstream is sound.  Return the seconds for which to avoid
        the upstream.
        """
        pause_s: float = min(SUSPECT_MAX_S, SUSPECT_MIN_S * 2**self._failures)
        self._failures += 1
        self._is_unusable = unusable
        self.suspect_until = now + pause_s
        self._count_error(True)
        return pause_s

    def avoid(self, now: float, for_s: float, *, told: bool = False) -> None:
        """Avoid an upstream that accepts no work at the moment.

        ``told`` is whether other gateways reported this, rather than the upstream.
        """
        self.avoid_until = max(self.avoid_until, now + for_s)
        self.avoid_reported_by_peers = told

    def back_off(self, now: float, for_s: float) -> None:
        """Send no request for ``for_s`` seconds, as the upstream asked for."""
        self.backoff_until = max(self.backoff_until, now + for_s)

    def note_leaving(self, now: float) -> bool:
        """Record that the upstream is leaving; return True the first time."""
        is_new = self.leaving_since is None
        self.leaving_since = now if is_new else self.leaving_since
        return is_new

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has said in an answer that it is leaving."""
        return self.leaving_since is not None

    def outlives_record(self, now: float) -> bool:
        """Return whether to keep this object after the upstream's record has expired.

        True while the upstream is leaving or has asked for a backoff that still runs.
        """
        if self.leaving_since is not None:
            return now < self.leaving_since + LEAVING_RETENTION_S
        return now < self.backoff_until

    @property
    def failures(self) -> int:
        """Number of consecutive failures to reach the upstream."""
        return self._failures

    @property
    def own_work(self) -> tuple[int, int, int]:
        """This entry's own work: requests, tokens to compute, tokens of memory."""
        return self._requests, self._prefill_tokens, self._kv_tokens

    @property
    def own_ranks(self) -> tuple[RankWork, ...]:
        """This entry's own work of each rank."""
        return rank_works(self._ranks)

    def load(
        self,
        now: float,
        peers: Totals | None,
        unseen: Load | None = None,
        rank: int | None = None,
    ) -> Load:
        """Return the estimated load at ``now``, as a request of ``rank`` finds it.

        Work of less urgent ranks than ``rank`` is left out, as upstreams start it
        later; None counts all work.  ``peers`` is the work that the other gateways
        report for this upstream.  If it is None, as no gateway reports, the upstream's
        own reports are used.  ``unseen`` is the estimated work of gateways that do not
        report to this one.
        """
        if peers is None:
            age_s = now - self._reported_at
            others = self._others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
            return Load(
                self._requests + others,
                self._prefill_tokens,
                self._kv_tokens,
                self.unshared_tokens,
            )
        more = unseen if unseen is not None else _NO_LOAD
        requests = self._requests + peers.requests
        prefill_tokens = self._prefill_tokens + peers.prefill_tokens
        kv_tokens = self._kv_tokens + peers.kv_tokens
        if rank is not None:
            for counts in chain(_below(self._ranks, rank), _below(peers.ranks, rank)):
                requests -= counts[0]
                prefill_tokens -= counts[1]
                kv_tokens -= counts[2]
        return Load(
            requests=requests + more.requests,
            prefill_tokens=prefill_tokens + more.prefill_tokens,
            kv_tokens=kv_tokens + more.kv_tokens,
            unshared_tokens=self.unshared_tokens
            + peers.unshared_tokens
            + more.unshared_tokens,
        )

    def _count_rank(
        self, rank: int, requests: int, prefill_tokens: int, kv_tokens: int
    ) -> None:
        counts = self._ranks.setdefault(rank, [0, 0, 0])
        counts[0] += requests
        counts[1] += prefill_tokens
        counts[2] += kv_tokens
        if not counts[0]:
            del self._ranks[rank]

    def _count_error(self, failed: bool) -> None:
        self.error_rate += ERROR_SMOOTHING * (float(failed) - self.error_rate)


def _below(ranks: Mapping[int, list[int]], rank: int) -> Iterable[list[int]]:
    """Return the counts of all ranks that are less urgent than ``rank``."""
    return (counts for other, counts in ranks.items() if other > rank)


_NO_LOAD = Load(0.0, 0.0, 0.0)
