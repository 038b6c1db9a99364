"""What every report of a measure says about its run."""

from __future__ import annotations

import subprocess


def commit() -> str:
    """Return the commit that runs, marked if the tree was changed."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"], capture_output=True, text=True
    )
    return done.stdout.strip()
