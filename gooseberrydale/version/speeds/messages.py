"""Encoding of the speeds that gateways report to each other.  No I/O.

Work reports are frequent and carry few news each, so the format is packed: a version,
then up to three lists, each with its length in one byte.  Missing lists are empty, and
what follows them is ignored.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from gooseberrydale.version.speeds.pool_rates import (
    MAX_RATE,
    MAX_RUN_S,
    MAX_START_S,
    MIN_RATE,
    MIN_RUN_S,
    Rates,
)
from gooseberrydale.version.speeds.pool_speeds import MAX_LOG_RATIO
from gooseberrydale.version.speeds.stated_slowness import MAX_SLOWNESS, MIN_SLOWNESS

VERSION = 1

MAX_ENTRIES = 255
"""Most entries of a list, whose length is one byte."""

RATIOS_PER_ENTRY = 3
"""Most ratios that are reported of one upstream at once.  With as few, one reporter
can't fill half of a window of ratios."""

AGE_UNIT_S = 0.01
MAX_AGE_S = 255 * AGE_UNIT_S

_LOG_STEP = math.log(1.02)
"""Step of the codes of slowness and ratios in one byte; the code of 1.0 is exact."""

_LOG_RATE_STEP = math.log(1.01)
"""Step of the codes of rates and times in two bytes."""

_NO_RATIO = -128
_NO_RATE = -32_768
_SMALLEST_S = 0.000_001
"""Start-up time that stands for 0, which has no logarithm."""

_STATED = struct.Struct(">IbB")
_RATIOS = struct.Struct(f">I{RATIOS_PER_ENTRY}b")
_POOL = struct.Struct(">I5h")

VERSION_BYTES = 1
LIST_BYTES = 1
STATED_BYTES = _STATED.size
RATIOS_BYTES = _RATIOS.size
POOL_BYTES = _POOL.size


@dataclass(frozen=True, slots=True)
class Statement:
    """The slowness that the upstream with ``key`` stated at a time of the own clock."""

    key: int
    slowness: float
    at: float


@dataclass(frozen=True, slots=True)
class Ratios:
    """Ratios of expected to taken time at an upstream, as logarithms."""

    key: int
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PoolReport:
    """The rates that a gateway observed in the pool with ``key``."""

    key: int
    rates: Rates


@dataclass(frozen=True, slots=True)
class SpeedReport:
    """What one gateway, or the relay of an area, reports."""

    stated: Sequence[Statement] = ()
    ratios: Sequence[Ratios] = ()
    pools: Sequence[PoolReport] = ()


class SpeedReportError(ValueError):
    """The bytes are not a report of speeds."""


def pool_key(pool: str) -> int:
    """Return the number that stands for a pool in reports."""
    return _hash(pool)


def upstream_key(pool: str, upstream: str) -> int:
    """Return the number that stands for an upstream in reports."""
    return _hash(f"{pool}\0{upstream}")


def encode_report(report: SpeedReport, now: float) -> bytes:
    """Encode a report; empty if it contains nothing."""
    stated = [
        _STATED.pack(s.key, _byte(math.log(s.slowness)), _age(now - s.at))
        for s in report.stated[:MAX_ENTRIES]
    ]
    ratios = [
        _RATIOS.pack(r.key, *_padded([_byte(value) for value in r.values]))
        for r in report.ratios[:MAX_ENTRIES]
    ]
    pools = [_encode_pool(pool) for pool in report.pools[:MAX_ENTRIES]]
    lists = [stated, ratios, pools]
    while lists and not lists[-1]:
        lists.pop()
    if not lists:
        return b""
    encoded = (bytes([len(entries)]) + b"".join(entries) for entries in lists)
    return bytes([VERSION]) + b"".join(encoded)


def decode_report(data: bytes, now: float) -> SpeedReport:
    """Decode a report and leave out values that are out of bounds.

    Raises :class:`SpeedReportError` if ``data`` is not a report.
    """
    if not data or data[0] != VERSION:
        raise SpeedReportError("not a report of speeds of this version")
    offset = VERSION_BYTES
    rows: list[list[tuple[int, ...]]] = []
    for layout in (_STATED, _RATIOS, _POOL):
        count = data[offset] if offset < len(data) else 0
        start = offset + LIST_BYTES
        offset = start + count * layout.size
        if count and offset > len(data):
            raise SpeedReportError("the report ends within a list")
        rows.append(list(layout.iter_unpack(data[start:offset])))
    return SpeedReport(
        [
            Statement(key, math.exp(code * _LOG_STEP), now - age * AGE_UNIT_S)
            for key, code, age in rows[0]
            if MIN_SLOWNESS <= math.exp(code * _LOG_STEP) <= MAX_SLOWNESS
        ],
        [_decode_ratios(key, codes) for key, *codes in rows[1]],
        [PoolReport(key, _decode_rates(codes)) for key, *codes in rows[2]],
    )


def _decode_ratios(key: int, codes: Iterable[int]) -> Ratios:
    values = (code * _LOG_STEP for code in codes if code != _NO_RATIO)
    return Ratios(key, tuple(v for v in values if abs(v) <= MAX_LOG_RATIO))


def _encode_pool(pool: PoolReport) -> bytes:
    rates = pool.rates
    start_s = rates.start_s
    values = (
        rates.own_tokens_per_s,
        rates.prefill_tokens_per_s,
        rates.fetch_tokens_per_s,
        None if start_s is None else max(start_s, _SMALLEST_S),
        rates.service_run_s,
    )
    codes = (
        _NO_RATE if value is None else round(math.log(value) / _LOG_RATE_STEP)
        for value in values
    )
    return _POOL.pack(pool.key, *codes)


def _decode_rates(codes: Iterable[int]) -> Rates:
    own, queued, fetch, start, run = (
        None if code == _NO_RATE else math.exp(code * _LOG_RATE_STEP) for code in codes
    )
    own = _within(own, MIN_RATE, MAX_RATE)
    start = _within(start, 0.0, MAX_START_S)
    if own is None or start is None:
        # The rates of prompts belong together.
        own = queued = start = None
    elif start <= _SMALLEST_S * 1.01:
        start = 0.0
    return Rates(
        own,
        _within(queued, MIN_RATE, MAX_RATE),
        _within(fetch, MIN_RATE, MAX_RATE),
        start,
        _within(run, MIN_RUN_S, MAX_RUN_S),
    )


def _within(value: float | None, low: float, high: float) -> float | None:
    return value if value is not None and low <= value <= high else None


def _byte(log_value: float) -> int:
    code = round(log_value / _LOG_STEP)
    return max(_NO_RATIO + 1, min(127, code))


def _padded(codes: list[int]) -> list[int]:
    newest = codes[-RATIOS_PER_ENTRY:]
    return newest + [_NO_RATIO] * (RATIOS_PER_ENTRY - len(newest))


def _age(age_s: float) -> int:
    return max(0, min(255, math.ceil(age_s / AGE_UNIT_S)))


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
