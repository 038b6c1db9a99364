"""Logging of a process: JSON lines written by loguru, with secrets masked.

``setup`` is called once when a process starts.  Each line is a JSON object with the
time, level and message, the process that wrote it (role, name, incarnation), and the
fields bound to the logger, such as ``request_id`` and ``workspace``.  Records of the
standard library's loggers (uvicorn, grpc, asyncio) are written in the same form.

Lines are written in the calling thread, because loguru's queue to a writer process
would need semaphores in shared memory.
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
from gooseberrydale.process.line_writer import LineBudget, LineWriter

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
_JSON_SCALARS = (str, int, float, bool, type(None))
_encoder = msgspec.json.Encoder()
_secrets: set[str] = set()
_line_writer: LineWriter | None = None


@dataclass(frozen=True, slots=True)
class Identity:
    """The process that writes the lines; ``incarnation`` names one run of it."""

    role: str
    name: str
    incarnation: str = ""


def mask_secret(secret: str) -> None:
    """Mask ``secret`` in every line that is written from now on.

    Texts of fewer than eight characters are not masked, as they may occur in words.
    """
    if len(secret) >= MIN_SECRET_CHARS:
        _secrets.add(secret)


def setup(cfg: LogCfg, identity: Identity) -> None:
    """Write all logs of this process as JSON lines to the output set in ``cfg``.

    Raises OSError if the log file can't be opened.
    """
    # The C core of gRPC writes its own lines, which are not JSON.
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    logger.remove()
    identify(identity)
    logger.add(_sink(cfg), level=cfg.level, format="{message}", catch=True)
    _route_standard_logging(cfg.level)


def identify(identity: Identity) -> None:
    """Add ``identity`` to all lines that are written from now on."""
    extra = {"role": identity.role, "name": identity.name}
    if identity.incarnation:
        extra["incarnation"] = identity.incarnation
    logger.configure(extra=extra)


def count_dropped_lines() -> int:
    """Return how many lines could not be written to standard output since the start."""
    return 0 if _line_writer is None else _line_writer.dropped


def to_json(record: Record) -> bytes:
    """Return ``record`` as a JSON line, without the line break."""
    line: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": _mask(record["message"]),
        "module": record["name"],
    }
    for name, value in record["extra"].items():
        line[name] = _to_loggable(name, value)
    exc = record["exception"]
    if exc is not None and exc.value is not None:
        line["error"] = _mask("".join(traceback.format_exception(exc.value)))
    return _encoder.encode(line)


def _sink(cfg: LogCfg) -> Callable[[Message], None]:
    global _line_writer
    if cfg.stdout and not cfg.file:
        _line_writer = LineWriter(sys.stdout.fileno())
        return _BoundedSink(_line_writer)
    return _FlushingSink(
        open(cfg.file, "a", encoding="utf-8") if cfg.file else sys.stderr
    )


class _BoundedSink:
    """Writes lines within their budgets and never blocks; see ``line_writer``."""

    def __init__(self, out: LineWriter) -> None:
        self._out = out
        self._budget = LineBudget()
        self._logged_dropped = 0

    def __call__(self, message: Message) -> None:
        record = message.record
        suppressed = self._budget.admit(budget_key(record), time.monotonic())
        if suppressed is None:
            return
        if suppressed:
            record["extra"]["left_out_before"] = suppressed
        if self._out.dropped != self._logged_dropped:
            self._logged_dropped = self._out.dropped
            record["extra"]["dropped_so_far"] = self._logged_dropped
        self._out.write(to_json(record))


def budget_key(record: Record) -> str:
    """Return the key of the budget that ``record`` counts against.

    That is the name and outcome of an event, and the source line of any other record.
    Thus many lines of a normal outcome don't suppress those of a failure.
    """
    extra = record["extra"]
    event = extra.get("event")
    if event is None:
        return f"{record['name']}:{record['line']}"
    return f"{event}:{extra.get('outcome', extra.get('end', ''))}"


class _FlushingSink:
    """Writes a line for each record and flushes it, so that a crash loses no line."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    def __call__(self, message: Message) -> None:
        self._out.write(to_json(message.record).decode() + "\n")
        self._out.flush()


def _to_loggable(name: str, value: Any) -> Any:
    if _SECRET_NAMES.search(name):
        return MASK
    if isinstance(value, str):
        return _mask(value)
    if isinstance(value, list):
        return [_to_loggable(name, item) for item in value]
    return value if isinstance(value, _JSON_SCALARS) else _mask(str(value))


def _mask(text: str) -> str:
    for secret in _secrets:
        text = text.replace(secret, MASK)
    return _SECRET_TEXT.sub(rf"\1{MASK}", text)


class _LoguruHandler(logging.Handler):
    """Passes records of the standard library's logging to loguru."""

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
    logging.basicConfig(handlers=[_LoguruHandler()], level=number, force=True)
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(max(number, logging.WARNING))
