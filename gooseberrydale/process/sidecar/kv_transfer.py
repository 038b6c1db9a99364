"""Makes the upstream move pieces of its KV cache to and from the KV store.

A request waits for the import of its pieces, for a limited time.  A failed import costs
only that time, since the upstream then computes the pieces.  Exports run in the
background, one at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.reply_limits import MAX_ORDER_BYTES
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.version.kv_use import KvPiece, KvUse

LOOKUP_TIMEOUT_S = 0.25
EXPORT_TIMEOUT_S = 30.0
# An import is abandoned after this multiple of its expected time.
IMPORT_SLACK = 4.0
MIN_IMPORT_S = 0.5
MAX_WAITING_EXPORTS = 64
OK = 200
CONFLICT = 409


class KvTransfer:
    """Imports and exports of one upstream; does nothing if ``store`` is empty."""

    def __init__(
        self, upstream: str, store: str, prefill_tps: Callable[[], float]
    ) -> None:
        self._upstream = upstream
        self._store = store
        self._prefill_tps = prefill_tps
        self._use = KvUse()
        self._exports: asyncio.Queue[KvPiece] = asyncio.Queue(MAX_WAITING_EXPORTS)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that exports."""
        if self._store:
            self._task = asyncio.create_task(self._export_all())

    async def close(self) -> None:
        """Stop the task that exports."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def reset(self) -> None:
        """Discard the recorded use, since the incarnation or the weights changed."""
        self._use = KvUse()

    def record_use(self, pieces: Sequence[KvPiece]) -> None:
        """Record that a prompt with these pieces was computed or found cached.

        Pieces that have been used repeatedly are queued for export.
        """
        if not self._store:
            return
        for piece in self._use.used(pieces):
            if self._exports.full():
                self._use.export_failed(piece)
            else:
                self._exports.put_nowait(piece)

    async def import_missing(self, missing: Sequence[KvPiece]) -> int:
        """Import pieces from the start of ``missing``; return the imported tokens."""
        if not self._store or not missing:
            return 0
        now = asyncio.get_running_loop().time()
        requested = self._use.pieces_to_import(missing, self._prefill_tps(), now)
        if not requested:
            return 0
        stored = await self._find_stored(requested)
        if not self._use.is_cheaper(stored, self._prefill_tps()):
            return 0
        return await self._import(stored)

    async def _find_stored(self, requested: Sequence[KvPiece]) -> list[KvPiece]:
        """The pieces that the store holds, up to the first one that it lacks."""
        results = await asyncio.gather(*(self._is_stored(piece) for piece in requested))
        stored = []
        for piece, is_stored in zip(requested, results, strict=True):
            if not is_stored:
                self._use.note_absent(piece, asyncio.get_running_loop().time())
                break
            stored.append(piece)
        return stored

    async def _is_stored(self, piece: KvPiece) -> bool:
        target = f"/kv/{piece.root}/{piece.key}"
        try:
            reply = await upstream_api.call(
                self._store,
                "HEAD",
                target,
                max_bytes=MAX_ORDER_BYTES,
                timeout_s=LOOKUP_TIMEOUT_S,
                kind="HEAD /kv",
            )
        except UpstreamError as exc:
            logger.debug("the KV store did not answer: {}", exc)
            return False
        return reply.status == OK

    async def _import(self, pieces: Sequence[KvPiece]) -> int:
        tokens = sum(piece.tokens for piece in pieces)
        limit_s = max(MIN_IMPORT_S, IMPORT_SLACK * tokens / self._use.transfer_tps)
        loop = asyncio.get_running_loop()
        imported = 0
        try:
            async with asyncio.timeout(limit_s):
                for piece in pieces:
                    started_at = loop.time()
                    if not await self._send_order("/kv/import", piece, limit_s):
                        self._use.note_absent(piece, loop.time())
                        break
                    self._use.note_import(piece.tokens, loop.time() - started_at)
                    imported += piece.tokens
        except TimeoutError:
            self._use.note_import(tokens - imported, limit_s)
        return imported

    async def _export_all(self) -> None:
        while True:
            piece = await self._exports.get()
            if not await self._send_order("/kv/export", piece, EXPORT_TIMEOUT_S):
                self._use.export_failed(piece)

    async def _send_order(self, path: str, piece: KvPiece, timeout_s: float) -> bool:
        try:
            reply = await upstream_api.call(
                self._upstream,
                "POST",
                path,
                piece,
                max_bytes=MAX_ORDER_BYTES,
                timeout_s=timeout_s,
            )
        except UpstreamError as exc:
            logger.debug("{} of piece {} failed: {}", path, piece.key, exc)
            return False
        if reply.status == CONFLICT:
            logger.error("{} refused: piece {} has another root", path, piece.key)
        return reply.status == OK
