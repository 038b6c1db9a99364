"""Runs all measurements: ``python -m measure --runs 5``; see docs/MEASUREMENTS.md.

It prints the tables.  With ``--page FILE`` it also writes them into that page.
"""

from __future__ import annotations

import pathlib
import time

import fire

from measure.deployments import DEPLOYMENTS
from measure.overhead import overhead
from measure.report import write_section
from measure.run import FAILURES, POLICIES, measure


def main(runs: int = 5, failure_runs: int = 2, seed: int = 1, page: str = "") -> None:
    """Measure both example deployments, with and without failures, and the overhead."""
    started_at = time.monotonic()
    plan = {
        failure: runs if failure == "none" else failure_runs for failure in FAILURES
    }
    sections = [measure(d, POLICIES, plan, seed) for d in DEPLOYMENTS.values()]
    sections.append(overhead(runs, seed))
    sections.append(f"All measurements took {time.monotonic() - started_at:.0f} s.\n")
    text = "\n".join(sections)
    print(text)
    if page:
        write_section(pathlib.Path(page), text)


if __name__ == "__main__":
    fire.Fire(main)
