"""Hooks around scenarios: a folder for each, and an end to all it started."""

from __future__ import annotations

import logging
import pathlib
import shutil
import tempfile
from typing import Any

from tests.callers import Load


def before_all(_context: Any) -> None:
    """Keep the client's own log lines out of the report."""
    logging.getLogger("httpx2").setLevel(logging.WARNING)


def before_scenario(context: Any, _scenario: Any) -> None:
    """Give the scenario a folder and a loop for its callers."""
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="gooseberrydale-"))
    context.fleet = None
    context.load = Load()
    context.relays = []


def after_scenario(context: Any, scenario: Any) -> None:
    """End what the scenario started; show the logs of one that failed."""
    for relay in context.relays:
        # Its loop is the callers', which ends next.
        context.load.run(relay.close())
    context.load.close()
    if context.fleet is not None:
        context.fleet.close()
    if scenario.status == "failed":
        _show_logs(context.folder)
    shutil.rmtree(context.folder, ignore_errors=True)


def _show_logs(folder: pathlib.Path) -> None:
    for path in sorted(folder.glob("*.log")):
        tail = path.read_text(errors="replace").splitlines()[-15:]
        print(f"--- {path.name}")
        print("\n".join(tail))
