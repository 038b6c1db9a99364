"""What callers of a fleet get while one workspace bursts and gateways fail."""

from __future__ import annotations

from collections import defaultdict
from statistics import fmean

import pytest

from tests.builders_waiting_fleet import (
    BURST,
    LARGE,
    LATE_WORTH,
    REPORT_S,
    SECONDS,
    Caller,
    WaitingFleet,
    callers,
)
from tests.clock import run_paused

SEED = 5
MOST_WORSE = 0.03
MOST_IDLE = 0.05
"""Fraction of the time at which requests may wait while each engine has a free slot, as
reports are delayed."""

MOST_BYTES_PER_S = 11_000.0


def served(
    gateways: int, *, burst: bool, **faults: int
) -> tuple[list[Caller], WaitingFleet]:
    """Return callers that arrived in the burst's time at gateways that worked."""
    arrivals = callers(gateways, SEED, burst=burst)

    async def main() -> WaitingFleet:
        fleet = WaitingFleet(gateways, **faults)
        await fleet.serve(arrivals)
        return fleet

    fleet = run_paused(main())
    stopped = (fleet.killed, fleet.frozen)
    return [
        caller
        for caller in arrivals
        if BURST[0] <= caller.at < BURST[1] and caller.gateway not in stopped
    ], fleet


def worth(found: list[Caller]) -> float:
    return fmean(caller.worth for caller in found if caller.workspace != LARGE)


ALL = {"killed": 1, "cut_off": 2, "frozen": 4}


@pytest.mark.parametrize(
    ("gateways", "faults"),
    [(3, {}), (3, {"killed": 1}), (3, {"cut_off": 1}), (27, {}), (27, ALL), (70, ALL)],
)
def test_burst_of_one_workspace_does_not_harm_the_others(
    gateways: int, faults: dict[str, int]
) -> None:
    calm, _ = served(gateways, burst=False, **faults)
    found, fleet = served(gateways, burst=True, **faults)
    assert worth(found) >= worth(calm) - MOST_WORSE
    by_rank = defaultdict(list)
    for caller in found:
        by_rank[caller.rank].append(caller.worth)
    means = [fmean(worths) for _, worths in sorted(by_rank.items())]
    assert means == sorted(means, reverse=True)
    assert means[-1] > LATE_WORTH  # the burst is served late, and nothing is lost
    assert fleet.idle_moments <= MOST_IDLE * SECONDS / REPORT_S
    assert max(fleet.bytes_sent.values()) / SECONDS <= MOST_BYTES_PER_S
