"""Records with lengths and checksums, and what a damaged end of a file means.

A record is a header (length of the payload, its checksum, a checksum of those two)
and the payload.  After a crash the end of a file may be torn: it stops within a
record, or whole disk sectors of it were never written and read as zeros.  Anything
else that doesn't fit its checksum was damaged later.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_LENGTHS = struct.Struct("<II")
_HEADER = struct.Struct("<III")
HEADER_BYTES = _HEADER.size
SECTOR_BYTES = 512
MIN_ZERO_BYTES = 8  # fewer zeros may well be data; then the file counts as damaged


@dataclass(frozen=True, slots=True)
class Scan:
    """What a file holds: ``payloads``, then ``end``, where the sound part stops.

    ``damaged`` is True if what follows can't come from a torn write.
    """

    payloads: tuple[bytes, ...]
    end: int
    damaged: bool


def frame(payload: bytes) -> bytes:
    """Return the record of a payload."""
    lengths = _LENGTHS.pack(len(payload), zlib.crc32(payload))
    return lengths + struct.pack("<I", zlib.crc32(lengths)) + payload


def scan(data: bytes) -> Scan:
    """Read records up to the first one that isn't whole."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload, stop = _read(data, offset)
        if payload is None:
            return Scan(tuple(payloads), offset, not _is_torn(data, offset, stop))
        payloads.append(payload)
        offset = stop
    return Scan(tuple(payloads), offset, False)


def _read(data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Return the payload and its end; without a sound one where it would end."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None, start
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _LENGTHS.size]) != header_checksum:
        return None, start
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None, start + length
    return payload, start + length


def _is_torn(data: bytes, offset: int, stop: int) -> bool:
    if stop > len(data):
        return True
    first = offset
    while first < stop:
        sector_end = (first // SECTOR_BYTES + 1) * SECTOR_BYTES
        part = data[first : min(sector_end, stop)]
        if len(part) >= MIN_ZERO_BYTES and not any(part):
            return True
        first = sector_end
    return False


def find_after(data: bytes, offset: int) -> list[bytes]:
    """Payloads of sound records anywhere after ``offset``, for damage reports."""
    found = []
    while offset + HEADER_BYTES <= len(data):
        payload, stop = _read(data, offset)
        if payload is not None:
            found.append(payload)
        offset = offset + 1 if payload is None else stop
    return found
