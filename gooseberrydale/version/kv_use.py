"""Selects cached pieces to export to and import from the KV cache store.

One object per incarnation of an upstream and weights version; no I/O.  A piece is
exported once it was used repeatedly.  Missing pieces are imported where that is
expected to be cheaper than computing them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

MIN_USES_TO_EXPORT = 2
MAX_KEYS = 8_192
ABSENT_TTL_S = 5.0
DEFAULT_TRANSFER_TPS = 50_000.0
SMOOTHING = 0.2
# Cost of a lookup or a transfer order, regardless of the size of the piece.
OPERATION_COST_S = 0.02
MIN_TOKENS = 256


@dataclass(frozen=True, slots=True)
class KvPiece:
    """A cached piece of a prompt; ``root`` and its full ``key`` are in hex."""

    root: str
    key: str
    tokens: int


class KvUse:
    """Counts uses, and tracks missing pieces and the transfer rate of the store."""

    def __init__(self) -> None:
        self._uses: OrderedDict[str, int] = OrderedDict()
        self._exported: OrderedDict[str, None] = OrderedDict()
        self._absent: OrderedDict[str, float] = OrderedDict()
        self.transfer_tps = DEFAULT_TRANSFER_TPS

    def used(self, pieces: Iterable[KvPiece]) -> list[KvPiece]:
        """Count a use of each piece; return the pieces to export now."""
        due = []
        for piece in pieces:
            count = self._uses.pop(piece.key, 0) + 1
            self._uses[piece.key] = count
            if count >= MIN_USES_TO_EXPORT and piece.tokens >= MIN_TOKENS:
                if piece.key not in self._exported:
                    self._exported[piece.key] = None
                    due.append(piece)
        _trim(self._uses)
        _trim(self._exported)
        return due

    def export_failed(self, piece: KvPiece) -> None:
        """Record that an export failed; later uses may trigger another one."""
        self._exported.pop(piece.key, None)
        self._uses.pop(piece.key, None)

    def pieces_to_import(
        self, missing: Sequence[KvPiece], prefill_tps: float, now: float
    ) -> list[KvPiece]:
        """Return the missing pieces to request from the store.

        The result ends before the first piece that the store lacks.  It is empty if
        computing the pieces is expected to be as cheap as moving them.
        """
        wanted = []
        for piece in missing:
            if self._absent.get(piece.key, 0.0) > now:
                break
            wanted.append(piece)
        return wanted if self.is_cheaper(wanted, prefill_tps) else []

    def is_cheaper(self, pieces: Sequence[KvPiece], prefill_tps: float) -> bool:
        """Return whether moving the pieces should take less time than computing
        them."""
        tokens = sum(piece.tokens for piece in pieces)
        if tokens < MIN_TOKENS:
            return False
        move_s = OPERATION_COST_S * (1 + len(pieces)) + tokens / self.transfer_tps
        return move_s < tokens / prefill_tps

    def note_absent(self, piece: KvPiece, now: float) -> None:
        """Record that the store does not hold the piece."""
        self._absent.pop(piece.key, None)
        self._absent[piece.key] = now + ABSENT_TTL_S
        _trim(self._absent)

    def note_import(self, tokens: int, seconds: float) -> None:
        """Update the transfer rate after an import."""
        if seconds > 0:
            rate = tokens / seconds
            self.transfer_tps += SMOOTHING * (rate - self.transfer_tps)


def _trim(entries: OrderedDict[str, Any]) -> None:
    while len(entries) > MAX_KEYS:
        entries.popitem(last=False)
