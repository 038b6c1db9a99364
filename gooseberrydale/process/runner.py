"""Runs one role in this process and returns the exit code.

It loads the settings, sets up logging, starts the role, waits for a signal to stop
and drains the role.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import signal
import sys
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any, Protocol, runtime_checkable

from loguru import logger
from result import Err, Ok

from gooseberrydale.errors import InvariantError, Problem, ProblemError
from gooseberrydale.log_events import Reload, Serving, Stopped, emit
from gooseberrydale.process import cfg_checks, logs
from gooseberrydale.process.cfg import Cfg, LogCfg
from gooseberrydale.process.cfg_file import load, read_token
from gooseberrydale.process.life_cycle import LifeCycle
from gooseberrydale.process.role import Role

# Imported by name, so that a process loads only the code of its own role.
ROLE_CLASSES = {
    "entry": ("gooseberrydale.process.entry", "Entry"),
    "sidecar": ("gooseberrydale.process.sidecar", "Sidecar"),
    "control": ("gooseberrydale.process.control", "Control"),
}
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ExitCode(IntEnum):
    """Exit codes of the process; 130 is a shell's code for an interrupt."""

    OK = 0
    FAILED = 1
    INVALID_SETTINGS = 2
    NOT_STARTED = 3
    NOT_DRAINED = 4
    INVARIANT_BROKEN = 5
    INTERRUPTED = 130


@runtime_checkable
class HasIncarnation(Protocol):
    """A role that has a name for its incarnation, which is added to log lines."""

    @property
    def incarnation(self) -> str:
        """The name of this incarnation of the role."""


class RoleMaker(Protocol):
    """Builds the role; called while the event loop is running."""

    def __call__(self) -> Role: ...


def make_role(name: str, cfg: Cfg) -> Role:
    """Import the class of the role ``name`` and build it with its settings."""
    module, class_name = ROLE_CLASSES[name]
    role: Role = getattr(importlib.import_module(module), class_name)(cfg)
    if isinstance(role, HasIncarnation):
        logs.identify(logs.Identity(name, cfg.node.name, role.incarnation))
    return add_metrics_listener(name, cfg, role)


def add_metrics_listener(name: str, cfg: Cfg, role: Role) -> Role:
    """Add a listener for metrics to ``role`` if the settings define one."""
    if not cfg.metrics.http:
        return role
    # Imported here, as the metrics libraries need memory that other processes can save.
    from gooseberrydale.process.metrics import Metrics
    from gooseberrydale.process.observed_role import ObservedRole

    fallback = Metrics(name, cfg.node.name, cfg.node.zone)
    return ObservedRole(role, fallback, cfg.metrics.http)


def run_process(role_name: str, cfg_path: Path, ready_file: Path | None) -> ExitCode:
    """Load the settings at ``cfg_path`` and run the role until asked to stop."""
    match load(cfg_path, role_name):
        case Err(faults):
            print_faults(faults)
            return ExitCode.INVALID_SETTINGS
        case Ok(cfg):
            return run_with(role_name, cfg, ready_file)


def run_with(
    role_name: str,
    cfg: Cfg,
    ready_file: Path | None = None,
    make: Callable[[], Role] | None = None,
) -> ExitCode:
    """Run a role with loaded settings until asked to stop.

    ``make`` builds a role that is not in ``ROLE_CLASSES``.
    """
    logs.mask_secret(read_token(cfg.fleet.token_file))
    logs.setup(cfg.log, logs.Identity(role_name, cfg.node.name))
    for warning in cfg_checks.warnings(cfg):
        logger.warning("{}", warning)
    return run_role(make or (lambda: make_role(role_name, cfg)), ready_file)


def run_local(port: int, operator_port: int, ready_file: Path | None) -> ExitCode:
    """Run all roles in this process, to try out the router on one machine."""
    logs.setup(LogCfg(), logs.Identity("local", "local"))
    local = importlib.import_module("gooseberrydale.process.local")
    cfg = local.LocalCfg(port, operator_port)
    return run_role(lambda: local.Local(cfg), ready_file)


def run_role(make: RoleMaker, ready_file: Path | None = None) -> ExitCode:
    """Run the role that ``make`` builds until a signal stops it."""
    try:
        return asyncio.run(Runner(make, ready_file).run())
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def print_faults(faults: tuple[Problem, ...]) -> None:
    """Print one line per fault to standard error."""
    for fault in faults:
        print(fault.message, file=sys.stderr)


class Runner:
    """Runs one role through the life cycle of its process."""

    def __init__(self, make: RoleMaker, ready_file: Path | None = None) -> None:
        self._make = make
        self._ready_file = ready_file
        self._life_cycle = LifeCycle()
        self._stop = asyncio.Event()
        self._code = ExitCode.OK

    async def run(self) -> ExitCode:
        """Start, serve until asked to stop, drain; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_error)
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal, number)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        try:
            role = self._make()
            if await self._start(role):
                await self._stop.wait()
                await self._drain(role)
        except ProblemError as exc:
            # The role found a fault in a file that its settings name.
            self._fail(ExitCode.INVALID_SETTINGS, "{}", exc)
        finally:
            for number in (*_STOP_SIGNALS, signal.SIGHUP):
                loop.remove_signal_handler(number)
        return self._code

    def stop(self) -> None:
        """Ask for a graceful shutdown."""
        self._stop.set()

    async def _start(self, role: Role) -> bool:
        """Start the role; return whether it serves.

        A signal to stop cancels the start.
        """
        starting = asyncio.ensure_future(role.start())
        stopped = asyncio.ensure_future(self._stop.wait())
        await asyncio.wait({starting, stopped}, return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if not starting.done():
            starting.cancel()
        try:
            await starting
        except asyncio.CancelledError:
            logger.info("asked to stop before the start was complete")
        except (OSError, ProblemError) as exc:
            self._fail(ExitCode.NOT_STARTED, "the role can't start: {}", exc)
        except Exception as exc:
            logger.opt(exception=exc).critical("the role failed to start")
            self._code = ExitCode.NOT_STARTED
        else:
            self._life_cycle.begin_serving()
            self._announce(role)
            return True
        await self._close_after_failure(role)
        self._life_cycle.give_up()
        return False

    def _announce(self, role: Role) -> None:
        addresses = dict(role.addresses)
        emit(Serving([f"{name}={at}" for name, at in addresses.items()]))
        if self._ready_file is not None:
            write_atomically(self._ready_file, json.dumps(addresses))

    async def _drain(self, role: Role) -> None:
        self._life_cycle.begin_draining()
        logger.info("draining")
        try:
            await role.close()
        except Exception as exc:
            logger.opt(exception=exc).error("the role failed while draining")
            self._code = self._code or ExitCode.NOT_DRAINED
        self._life_cycle.finish()
        emit(Stopped())

    async def _close_after_failure(self, role: Role) -> None:
        try:
            await role.close()
        except Exception as exc:
            logger.opt(exception=exc).error("the role failed to close")

    def _fail(self, code: ExitCode, text: str, exc: Exception) -> None:
        logger.critical(text, exc)
        self._code = code

    def _on_signal(self, number: signal.Signals) -> None:
        logger.info("received signal {}", number.name)
        if number == signal.SIGINT:
            # A second Ctrl-C interrupts immediately, without waiting for the drain.
            asyncio.get_running_loop().remove_signal_handler(number)
        self.stop()

    def _on_reload(self) -> None:
        """Log that settings can't be reloaded: they are read once, on start.

        What may change while a process runs is received from control.
        """
        emit(Reload())

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log a failure of a task that nobody awaited; stop on a violated invariant."""
        exc = context.get("exception")
        logger.opt(exception=exc).error("{}", context.get("message"))
        if isinstance(exc, InvariantError):
            self._code = ExitCode.INVARIANT_BROKEN
            self.stop()


def write_atomically(path: Path, text: str) -> None:
    """Replace the file at ``path``; readers see all of the old or the new text."""
    temp_path = path.with_name(path.name + ".tmp")
    temp_path.write_text(text, encoding="utf-8")
    os.replace(temp_path, path)
