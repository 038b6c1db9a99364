"""behave hooks: give each scenario a folder, and end the processes it started."""

from __future__ import annotations

import contextlib
import logging
import pathlib
import shutil
import tempfile
from typing import Any

from tests.callers import BackgroundLoop
from tests.time_bound import time_bound

SCENARIO_BOUND_S = 900.0
"""The longest scenario takes about three minutes on a busy machine; one that takes
this long hangs."""


def before_all(_context: Any) -> None:
    """Keep the log lines of the HTTP client out of the report."""
    logging.getLogger("httpx2").setLevel(logging.WARNING)


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the scenario's folder and the event loop of its callers."""
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="gooseberrydale-"))
    context.fleet = None
    context.load = BackgroundLoop()
    context.relays = []
    context.bound = contextlib.ExitStack()
    context.bound.enter_context(time_bound(scenario.name, SCENARIO_BOUND_S))


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop everything the scenario started; print process logs if it failed."""
    context.bound.close()
    for relay in context.relays:
        # Relays run on the callers' event loop, so close them before that loop.
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
