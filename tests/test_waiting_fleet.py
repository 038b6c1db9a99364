"""What callers of a fleet get while one workspace bursts and gateways fail."""

from __future__ import annotations

from collections import defaultdict
from statistics import fmean

import pytest

from tests.builders_waiting_fleet import (
    BURST,
    LARGE,
    Caller,
    WaitingFleet,
    callers,
)
from tests.clock import run_paused

SEED = 5
MOST_WORSE = 0.03


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


FAULTS: dict[str, dict[str, int]] = {
    "none": {},
    "killed": {"killed": 1},
    "cut off": {"cut_off": 1},
    "frozen": {"frozen": 1},
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("gateways", [3, 27, 70])
def test_burst_of_one_workspace_does_not_harm_the_others(
    gateways: int, fault: str
) -> None:
    calm, _ = served(gateways, burst=False, **FAULTS[fault])
    found, fleet = served(gateways, burst=True, **FAULTS[fault])
    print(gateways, fault, worth(calm), worth(found), fleet.idle_moments)
    by_rank = defaultdict(list)
    for caller in found:
        by_rank[caller.rank].append(caller.worth)
    print(
        {rank: fmean(worths) for rank, worths in sorted(by_rank.items())},
        fmean(c.worth for c in found),
        max(fleet.bytes_sent.values(), default=0) / 5,
    )
    assert worth(found) >= worth(calm) - MOST_WORSE
    means = [fmean(worths) for _, worths in sorted(by_rank.items())]
    assert means == sorted(means, reverse=True)
