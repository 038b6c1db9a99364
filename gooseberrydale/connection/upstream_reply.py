"""What calls to upstreams have in common: their failure, headers, and small answers.

Each lives for one call.  Kept apart from the HTTP libraries, which not every process
loads.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec

T = TypeVar("T")

Headers = tuple[tuple[str, str], ...]


class UpstreamError(Exception):
    """A call to the upstream failed; ``sent`` tells whether it may have arrived.

    ``refused`` says that the host is there but nobody listens at the address.
    """

    def __init__(self, reason: str, *, sent: bool, refused: bool = False) -> None:
        super().__init__(reason)
        self.sent = sent
        self.refused = refused


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of a call."""

    status: int
    body: bytes

    def decode(self, kind: type[T]) -> T:
        """Return the body as ``kind``; raise :class:`UpstreamError` if it is not."""
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.MsgspecError as exc:
            raise UpstreamError(f"not the awaited JSON: {exc}", sent=True) from exc
