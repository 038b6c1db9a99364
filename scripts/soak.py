"""Run the randomised tests repeatedly, with new seeds, for a given time.

Usage: ``python scripts/soak.py --minutes 30``.  Each round prints the seed that
reproduces it.  The first failing round ends the run with its exit code.  A round that
is still running at the end of the time is stopped and doesn't count as passed.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import random
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PYTEST = [sys.executable, "-m", "pytest", "-m", "hypothesis", "tests"]
MAX_SEED = 2**32
SECONDS_A_MINUTE = 60.0


def run_round(seed: int, left_s: float) -> int | None:
    """Run all randomised tests once; return None if ``left_s`` seconds passed first."""
    print(f"round with --hypothesis-seed={seed}", flush=True)
    env = {**os.environ, "HYPOTHESIS_PROFILE": "soak"}
    command = [*PYTEST, f"--hypothesis-seed={seed}"]
    try:
        return subprocess.run(command, cwd=ROOT, env=env, timeout=left_s).returncode
    except subprocess.TimeoutExpired:
        return None


def main() -> int:
    """Return 0 if no round failed and at least one finished."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=10.0)
    end = time.monotonic() + parser.parse_args().minutes * SECONDS_A_MINUTE
    finished = 0
    while time.monotonic() < end:
        code = run_round(random.randrange(MAX_SEED), end - time.monotonic())
        if code is None:
            print(
                "stopped an unfinished round at the end of the time; it is not counted"
            )
            break
        if code != 0:
            print(f"a round failed with exit code {code} after {finished} passed")
            return code
        finished += 1
    print(f"{finished} rounds passed")
    return 0 if finished else 1


if __name__ == "__main__":
    sys.exit(main())
