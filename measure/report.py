"""What every report of a measure says about its run."""

from __future__ import annotations

import functools
import pathlib
import subprocess


@functools.cache
def commit() -> str:
    """Return the commit that runs, marked if the tree was changed.

    It is read once: call it before the measure, as the tree may change meanwhile.
    """
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"], capture_output=True, text=True
    )
    return done.stdout.strip()


BEGIN, END = "<!-- measured: begin -->\n", "<!-- measured: end -->\n"


def write_into(page: pathlib.Path, text: str) -> None:
    """Put ``text`` between the two marks of a page in place of what is there."""
    before, rest = page.read_text().split(BEGIN)
    after = rest.split(END)[1]
    page.write_text(f"{before}{BEGIN}\n{text}\n{END}{after}")
