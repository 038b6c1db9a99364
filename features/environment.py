"""Hooks around scenarios: a folder for each, and an end to all it started."""

from __future__ import annotations

import contextlib
import logging
import pathlib
import shutil
import tempfile
from typing import Any

from tests.callers import Load
from tests.time_bound import time_bound

SCENARIO_BOUND_S = 900.0
"""The longest scenario takes some three minutes on a busy machine."""


def before_all(_context: Any) -> None:
    """Keep the client's own log lines out of the report."""
    logging.getLogger("httpx2").setLevel(logging.WARNING)


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario a folder and a loop for its callers."""
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="gooseberrydale-"))
    context.fleet = None
    context.load = Load()
    context.relays = []
    context.bound = contextlib.ExitStack()
    context.bound.enter_context(time_bound(scenario.name, SCENARIO_BOUND_S))


def after_scenario(context: Any, scenario: Any) -> None:
    """End what the scenario started; show the logs of one that failed."""
    context.bound.close()
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
