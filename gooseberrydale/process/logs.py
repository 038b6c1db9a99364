"""Logs of a process: JSON lines through loguru, without secrets.

``setup`` runs once at the start of a process.  Each line is one object with the
time, level and message, who wrote it (role, name, incarnation), and what was bound
to the logger, such as ``request_id`` and ``workspace``.  Lines of the standard
library's loggers (uvicorn, grpc, asyncio) go the same way.

Lines are written in the calling thread: a queue to a writer process would need
semaphores in shared memory.
"""

from __future__ import annotations

import logging
import os
import re
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import IO, TYPE_CHECKING, Any

import msgspec
from loguru import logger

from gooseberrydale.process.cfg import LogCfg
from gooseberrydale.process.line_out import LineBudget, LineOut

if TYPE_CHECKING:
    from loguru import Message, Record

MASK = "***"
MIN_SECRET_CHARS = 8
_QUIET_LOGGERS = ("uvicorn", "transitions")
_SECRET_NAMES = re.compile(
    r"authorization|password|secret|token$|(^|_)key$|bearer|cookie", re.IGNORECASE
)
_SECRET_TEXT = re.compile(
    r"(?i)(bearer\s+|api[-_ ]?key['\"]?\s*[:=]\s*['\"]?|token['\"]?\s*[:=]\s*['\"]?)"
    r"[^\s'\",;}\])]+"
)
_PLAIN = (str, int, float, bool, type(None))
_encoder = msgspec.json.Encoder()
_hidden: set[str] = set()
_bounded: LineOut | None = None


@dataclass(frozen=True, slots=True)
class Identity:
    """Who writes the lines; ``incarnation`` names one incarnation of the process."""

    role: str
    name: str
    incarnation: str = ""


def hide(secret: str) -> None:
    """Mask ``secret`` wherever it would appear in a line from now on.

    Texts under eight characters are left alone: masking them would garble words.
    """
    if len(secret) >= MIN_SECRET_CHARS:
        _hidden.add(secret)


def setup(cfg: LogCfg, identity: Identity) -> None:
    """Send all logs of this process as JSON lines to where ``cfg`` says.

    Raises OSError if the log file can't be opened.
    """
    # The C core of gRPC writes lines of its own, which are no JSON.
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    logger.remove()
    identify(identity)
    logger.add(_sink(cfg), level=cfg.level, format="{message}", catch=True)
    _route_standard_logging(cfg.level)


def identify(identity: Identity) -> None:
    """Write ``identity`` into all lines from now on."""
    extra = {"role": identity.role, "name": identity.name}
    if identity.incarnation:
        extra["incarnation"] = identity.incarnation
    logger.configure(extra=extra)


def dropped() -> int:
    """Lines that standard output did not take since the start."""
    return 0 if _bounded is None else _bounded.dropped


def to_json(record: Record) -> bytes:
    """Return the line for one record, without its end of line."""
    line: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": _masked(record["message"]),
        "module": record["name"],
    }
    for name, value in record["extra"].items():
        line[name] = _plain(name, value)
    exc = record["exception"]
    if exc is not None and exc.value is not None:
        line["error"] = _masked("".join(traceback.format_exception(exc.value)))
    return _encoder.encode(line)


def _sink(cfg: LogCfg) -> Callable[[Message], None]:
    global _bounded
    if cfg.stdout and not cfg.file:
        _bounded = LineOut(sys.stdout.fileno())
        return _BoundedSink(_bounded)
    return _Sink(open(cfg.file, "a", encoding="utf-8") if cfg.file else sys.stderr)


class _BoundedSink:
    """Writes lines within their budgets and never waits; see ``line_out``."""

    def __init__(self, out: LineOut) -> None:
        self._out = out
        self._budget = LineBudget()
        self._told_dropped = 0

    def __call__(self, message: Message) -> None:
        record = message.record
        left_out = self._budget.admit(kind_of(record), time.monotonic())
        if left_out is None:
            return
        if left_out:
            record["extra"]["left_out_before"] = left_out
        if self._out.dropped != self._told_dropped:
            self._told_dropped = self._out.dropped
            record["extra"]["dropped_so_far"] = self._told_dropped
        self._out.write(to_json(record))


def kind_of(record: Record) -> str:
    """What shares a budget: events by name and outcome, other lines by their place.

    Ordinary outcomes thus never crowd out those that need an explanation.
    """
    extra = record["extra"]
    event = extra.get("event")
    if event is None:
        return f"{record['name']}:{record['line']}"
    return f"{event}:{extra.get('outcome', extra.get('end', ''))}"


class _Sink:
    """Writes one line for each record and flushes it, so that a crash keeps it."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    def __call__(self, message: Message) -> None:
        self._out.write(to_json(message.record).decode() + "\n")
        self._out.flush()


def _plain(name: str, value: Any) -> Any:
    if _SECRET_NAMES.search(name):
        return MASK
    if isinstance(value, str):
        return _masked(value)
    if isinstance(value, list):
        return [_plain(name, item) for item in value]
    return value if isinstance(value, _PLAIN) else _masked(str(value))


def _masked(text: str) -> str:
    for secret in _hidden:
        text = text.replace(secret, MASK)
    return _SECRET_TEXT.sub(rf"\1{MASK}", text)


class _FromStandardLogging(logging.Handler):
    """Hands records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        try:
            level: str | int = logger.level(record.levelname).name
        except ValueError:
            level = record.levelno

        def rename(line: Record) -> None:
            line["name"] = record.name

        named = logger.patch(rename)
        named.opt(exception=record.exc_info).log(level, "{}", record.getMessage())


def _route_standard_logging(level: str) -> None:
    number = logger.level(level).no
    logging.basicConfig(handlers=[_FromStandardLogging()], level=number, force=True)
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(max(number, logging.WARNING))
