"""Records with length and checksum, and detection of torn or damaged files.

A record is a header (payload length, payload checksum, checksum of these two) and the
payload.  After a crash the end of a file may be torn: the file ends within a record, or
whole disk sectors were never written and read as zeros.  Any other checksum mismatch
means that the file was damaged after it was written.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_LENGTHS = struct.Struct("<II")
_HEADER = struct.Struct("<III")
HEADER_BYTES = _HEADER.size
SECTOR_BYTES = 512
MIN_ZERO_BYTES = 8  # fewer zeros may be data, so they don't show a torn write


@dataclass(frozen=True, slots=True)
class Scan:
    """The valid records of a file: their payloads, and ``end``, the offset after them.

    ``damaged`` is True if what follows ``end`` can't be the result of a torn write.
    """

    payloads: tuple[bytes, ...]
    end: int
    damaged: bool


def frame(payload: bytes) -> bytes:
    """Return ``payload`` as a record, with its header."""
    lengths = _LENGTHS.pack(len(payload), zlib.crc32(payload))
    return lengths + struct.pack("<I", zlib.crc32(lengths)) + payload


def scan(data: bytes) -> Scan:
    """Read records up to the first one that is incomplete or invalid."""
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
    """Return the payload at ``offset`` and its end; None if the record is invalid.

    The end is where the record would end by its header, if that is valid.
    """
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
        chunk = data[first : min(sector_end, stop)]
        if len(chunk) >= MIN_ZERO_BYTES and not any(chunk):
            return True
        first = sector_end
    return False


def find_after(data: bytes, offset: int) -> list[bytes]:
    """Payloads of valid records anywhere after ``offset``, to detect damage."""
    payloads = []
    while offset + HEADER_BYTES <= len(data):
        payload, stop = _read(data, offset)
        if payload is not None:
            payloads.append(payload)
        offset = offset + 1 if payload is None else stop
    return payloads
