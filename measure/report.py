"""Helpers for reports: the commit that was measured, and writing into a page."""

from __future__ import annotations

import functools
import pathlib
import subprocess


@functools.cache
def commit_id() -> str:
    """Return the checked-out commit, marked as dirty if the tree was changed.

    The result is cached.  Call this before a measurement, as the tree may change while
    it runs.
    """
    result = subprocess.run(
        ["git", "describe", "--always", "--dirty"], capture_output=True, text=True
    )
    return result.stdout.strip()


BEGIN, END = "<!-- measured: begin -->\n", "<!-- measured: end -->\n"


def write_section(page: pathlib.Path, text: str) -> None:
    """Replace the text between the two markers of a page with ``text``."""
    before, rest = page.read_text().split(BEGIN)
    after = rest.split(END)[1]
    page.write_text(f"{before}{BEGIN}\n{text}\n{END}{after}")
