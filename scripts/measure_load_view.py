"""Compare ways to report upstreams' load to entries that get no replies from them.

The three modes, all with the affinity router: replies only; a full report of all
upstreams each interval; the same report in partitions, sent one after the other, so
that the bytes per second are equal.  For a seed, all modes get the same requests.
"""

from __future__ import annotations

from dataclasses import replace

import fire

from scripts.routing_model import (
    REPLIES_ONLY,
    Figures,
    ModelSize,
    RefreshMode,
    Simulation,
    draw_arrivals,
)

PARTITIONS = 8
REPORT_BYTES = 16


def refresh_modes(intervals: tuple[float, ...]) -> list[RefreshMode]:
    """Return replies only, and for each interval full and partitioned reports."""
    modes = [REPLIES_ONLY]
    for interval_s in intervals:
        modes.append(RefreshMode(f"full each {interval_s:g} s", interval_s, 1))
        name = f"{PARTITIONS} partitions in {interval_s:g} s"
        modes.append(RefreshMode(name, interval_s, PARTITIONS))
    return modes


def main(
    seeds: int = 5,
    intervals: tuple[float, ...] = (1.0, 4.0),
    load_factor: float = 2.0,
) -> None:
    """Print the figures of each mode and seed, and their means over the seeds."""
    size = ModelSize()
    size = replace(size, requests_per_s=size.requests_per_s * load_factor)
    results: dict[str, list[Figures]] = {}
    for seed in range(seeds):
        arrivals = draw_arrivals(size, seed)
        for mode in refresh_modes(tuple(intervals)):
            figures = Simulation(size, seed, refresh=mode).run(arrivals)
            results.setdefault(mode.name, []).append(figures)
            print(f"seed {seed}  {_row(size, mode, [figures])}", flush=True)
    for mode in refresh_modes(tuple(intervals)):
        print(f"mean    {_row(size, mode, results[mode.name])}")


def _row(size: ModelSize, mode: RefreshMode, figures: list[Figures]) -> str:
    rate = 0.0
    if mode.partitions:
        rate = size.upstreams * REPORT_BYTES / mode.interval_s
    return f"{mode.name:22} {rate:6.0f} B/s  {Figures.mean(figures)}"


if __name__ == "__main__":
    fire.Fire(main)
