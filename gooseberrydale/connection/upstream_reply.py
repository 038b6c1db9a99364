"""Types that all HTTP calls to upstreams share: errors, headers and small responses.

The module imports no HTTP library, since not every process loads one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec

T = TypeVar("T")

Headers = tuple[tuple[str, str], ...]


class UpstreamError(Exception):
    """A call to an upstream failed.

    ``sent`` is False if no part of the request was sent, so the upstream can't have run
    it.  ``refused`` is True if the host is reachable but no process listens at the
    address.  ``too_long`` is True if a part of the response exceeds its bound, so the
    upstream runs but doesn't answer correctly.
    """

    def __init__(
        self, reason: str, *, sent: bool, refused: bool = False, too_long: bool = False
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.refused = refused
        self.too_long = too_long


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of a response."""

    status: int
    body: bytes

    def decode(self, kind: type[T]) -> T:
        """Decode the body as JSON of type ``kind``.

        Raises :class:`UpstreamError` if it has another form.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.MsgspecError as exc:
            raise UpstreamError(
                f"the response is not the expected JSON: {exc}", sent=True
            ) from exc
