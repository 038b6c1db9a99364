"""Runs all measures: ``python -m measure --runs 5``; see docs/MEASUREMENTS.md.

Prints the tables, and with ``--page FILE`` also writes them into that page.
"""

from __future__ import annotations

import pathlib
import time

import fire

from measure.deployments import DEPLOYMENTS
from measure.overhead import overhead
from measure.report import write_into
from measure.run import FAILURES, POLICIES, measure


def main(runs: int = 5, failure_runs: int = 2, seed: int = 1, page: str = "") -> None:
    """Measure both deployments, without and with failures, and the overhead."""
    began = time.monotonic()
    plan = {
        failure: runs if failure == "none" else failure_runs for failure in FAILURES
    }
    parts = [measure(d, POLICIES, plan, seed) for d in DEPLOYMENTS.values()]
    parts.append(overhead(runs, seed))
    parts.append(f"All measures took {time.monotonic() - began:.0f} s.\n")
    text = "\n".join(parts)
    print(text)
    if page:
        write_into(pathlib.Path(page), text)


if __name__ == "__main__":
    fire.Fire(main)
