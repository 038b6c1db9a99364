"""behave hooks: give each scenario a folder, and end the processes it started."""

from __future__ import annotations

import contextlib
import logging
import os
import pathlib
import re
import shutil
import tempfile
from typing import Any

from tests.callers import BackgroundLoop
from tests.time_bound import time_bound

TAIL_LINES = 15
MAX_WARNINGS = 50
WARNING = re.compile(r"\b(WARNING|ERROR|CRITICAL)\b|Traceback")

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
    """Stop everything the scenario started.

    If it failed, print the ends and the warnings of all logs, and keep its folder.
    """
    context.bound.close()
    for relay in context.relays:
        # Relays run on the callers' event loop, so close them before that loop.
        context.load.run(relay.close())
    context.load.close()
    if context.fleet is not None:
        context.fleet.close()
    # A step that raises another exception than AssertionError has the status "error".
    if scenario.status.has_failed():
        _show_logs(context.folder)
        print(f"load {os.getloadavg()}; all logs are kept in {context.folder}")
    else:
        shutil.rmtree(context.folder, ignore_errors=True)


def _show_logs(folder: pathlib.Path) -> None:
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        begin = max(0, len(lines) - TAIL_LINES)
        warnings = [line for line in lines[:begin] if WARNING.search(line)]
        print(f"--- {path.name}, {len(lines)} lines")
        print("\n".join((*warnings[-MAX_WARNINGS:], *lines[begin:])))
