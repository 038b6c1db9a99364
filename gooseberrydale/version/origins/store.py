"""The origins of streams that a process knows, each until its stream must have ended.

One object per process; no I/O.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

from gooseberrydale.version.origins.messages import OriginNotice
from gooseberrydale.version.origins.origin import StreamOrigin

KEY_BYTES = 16

MAX_KEEP_S = 600.0
"""Longest time for which an origin is kept."""

MAX_ORIGINS = 32_768
"""Bounds the memory to some 10 MB; the oldest origins are dropped beyond it."""


def stream_key(workspace: str, request_id: str) -> bytes:
    """Return the key of a stream by the request that brought its first event.

    Callers choose request ids, so those of two workspaces may be equal, and long.
    """
    text = f"{workspace}\0{request_id}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


@dataclass(frozen=True, slots=True)
class _Entry:
    origin: StreamOrigin
    expires: float


class OriginStore:
    """Origins by the key of their stream; times are the loop's, in seconds."""

    def __init__(self) -> None:
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        # One object for all streams of a version, instead of one for each.
        self._shared: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, notice: OriginNotice, now: float) -> None:
        """Store the origin in ``notice``, in place of an earlier one of its stream."""
        origin = StreamOrigin(notice.pool, notice.software)
        origin = self._shared.setdefault(origin, origin)
        expires = now + min(notice.keep_s, MAX_KEEP_S)
        self._entries.pop(notice.key, None)
        self._entries[notice.key] = _Entry(origin, expires)
        if len(self._entries) > MAX_ORIGINS:
            self._entries.popitem(last=False)

    def get(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        entry = self._entries.get(key)
        return None if entry is None or entry.expires <= now else entry.origin

    def notice(self, key: bytes, now: float) -> OriginNotice | None:
        """Return what is known of a stream as a message to another process."""
        entry = self._entries.get(key)
        if entry is None or entry.expires <= now:
            return None
        origin = entry.origin
        return OriginNotice(key, origin.pool, origin.software, entry.expires - now)

    def expire(self, now: float) -> None:
        """Drop the origins of streams that must have ended."""
        for key in [k for k, e in self._entries.items() if e.expires <= now]:
            del self._entries[key]
        used = {entry.origin for entry in self._entries.values()}
        self._shared = {origin: origin for origin in used}
