"""Compare ways to tell entries the load of upstreams they have no replies from.

Three ways under the router of the product: replies only; one full view each
interval; the same view cut into partitions, refreshed one after the other, so that
bytes per second are equal.  All ways get the same requests of each seed.
"""

from __future__ import annotations

from dataclasses import replace

import fire

from scripts.routing_model import REPLIES_ONLY, Figures, Run, Size, Way, draw

PARTITIONS = 8
REPORT_BYTES = 16


def ways(intervals: tuple[float, ...]) -> list[Way]:
    """Return replies only, and for each interval both ways of refreshing."""
    made = [REPLIES_ONLY]
    for interval_s in intervals:
        made.append(Way(f"full each {interval_s:g} s", interval_s, 1))
        name = f"{PARTITIONS} partitions in {interval_s:g} s"
        made.append(Way(name, interval_s, PARTITIONS))
    return made


def main(
    seeds: int = 5,
    intervals: tuple[float, ...] = (1.0, 4.0),
    load_factor: float = 2.0,
) -> None:
    """Print figures of each way and seed, and means over the seeds, in ms."""
    size = Size()
    size = replace(size, requests_per_s=size.requests_per_s * load_factor)
    results: dict[str, list[Figures]] = {}
    for seed in range(seeds):
        arrivals = draw(size, seed)
        for way in ways(tuple(intervals)):
            figures = Run(size, seed, way=way).play(arrivals)
            results.setdefault(way.name, []).append(figures)
            print(f"seed {seed}  {_row(size, way, [figures])}", flush=True)
    for way in ways(tuple(intervals)):
        print(f"mean    {_row(size, way, results[way.name])}")


def _row(size: Size, way: Way, figures: list[Figures]) -> str:
    rate = 0.0
    if way.partitions:
        rate = size.upstreams * REPORT_BYTES / way.interval_s
    return f"{way.name:22} {rate:6.0f} B/s  {Figures.mean(figures)}"


if __name__ == "__main__":
    fire.Fire(main)
