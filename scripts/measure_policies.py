"""Compare the affinity router with simpler policies in the routing model.

For a seed, all policies get the same requests.  ``warm_up_s=0`` shows the cold start
of a whole fleet: caches are empty, and entries have received no load reports.
"""

from __future__ import annotations

from dataclasses import replace

import fire

from scripts.routing_model import Figures, ModelSize, Simulation, draw_arrivals


def main(
    policies: tuple[str, ...] = ("affinity", "hash-only", "least-loaded", "random"),
    load_factors: tuple[float, ...] = (0.5, 1.0, 2.5),
    seeds: int = 3,
    warm_up_s: float = 12.0,
) -> None:
    """Print the figures of each policy and load factor, as means over the seeds."""
    for load_factor in load_factors:
        size = ModelSize(warm_up_s=warm_up_s)
        size = replace(size, requests_per_s=size.requests_per_s * load_factor)
        arrivals = [draw_arrivals(size, seed) for seed in range(seeds)]
        for policy in policies:
            runs = [
                Simulation(size, seed, policy).run(arrivals[seed])
                for seed in range(seeds)
            ]
            row = f"{size.requests_per_s:6.0f} req/s  {policy:12}"
            print(f"{row}  {Figures.mean(runs)}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
