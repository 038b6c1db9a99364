"""Orders the upstream to move pieces of KV cache to and from the store.

Lives as long as the sidecar.  An import is awaited before its request starts and is
bounded in time; a failed one costs nothing but that time, since the upstream then
computes the pieces.  Exports run one at a time behind the requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.version.kv_use import KvPiece, KvUse

LOOKUP_TIMEOUT_S = 0.25
EXPORT_TIMEOUT_S = 30.0
# An import that takes this many times what was expected is given up.
IMPORT_SLACK = 4.0
MIN_IMPORT_S = 0.5
MAX_WAITING_EXPORTS = 64
OK = 200
CONFLICT = 409


class KvTransfer:
    """Imports and exports of one upstream; without a store it does nothing."""

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
        """Start exporting."""
        if self._store:
            self._task = asyncio.create_task(self._export_all())

    async def close(self) -> None:
        """Stop exporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def begin(self) -> None:
        """The upstream has another incarnation or other weights."""
        self._use = KvUse()

    def used(self, pieces: Sequence[KvPiece]) -> None:
        """Note that a prompt with these pieces was computed or found cached."""
        if not self._store:
            return
        for piece in self._use.used(pieces):
            if self._exports.full():
                self._use.not_exported(piece)
            else:
                self._exports.put_nowait(piece)

    async def import_missing(self, missing: Sequence[KvPiece]) -> int:
        """Import what comes first of ``missing``; return the tokens imported."""
        if not self._store or not missing:
            return 0
        now = asyncio.get_running_loop().time()
        wanted = self._use.worth_asking(missing, self._prefill_tps(), now)
        if not wanted:
            return 0
        held = await self._held(wanted)
        if not self._use.is_cheaper(held, self._prefill_tps()):
            return 0
        return await self._import(held)

    async def _held(self, wanted: Sequence[KvPiece]) -> list[KvPiece]:
        """The pieces that the store holds, up to the first one that it lacks."""
        answers = await asyncio.gather(*(self._is_held(piece) for piece in wanted))
        held = []
        for piece, is_held in zip(wanted, answers, strict=True):
            if not is_held:
                self._use.absent(piece, asyncio.get_running_loop().time())
                break
            held.append(piece)
        return held

    async def _is_held(self, piece: KvPiece) -> bool:
        target = f"/kv/{piece.root}/{piece.key}"
        try:
            reply = await upstream_api.call(
                self._store, "HEAD", target, timeout_s=LOOKUP_TIMEOUT_S
            )
        except UpstreamError as exc:
            logger.debug("the KV store does not answer: {}", exc)
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
                    began = loop.time()
                    if not await self._order("/kv/import", piece, limit_s):
                        self._use.absent(piece, loop.time())
                        break
                    self._use.moved(piece.tokens, loop.time() - began)
                    imported += piece.tokens
        except TimeoutError:
            self._use.moved(tokens - imported, limit_s)
        return imported

    async def _export_all(self) -> None:
        while True:
            piece = await self._exports.get()
            if not await self._order("/kv/export", piece, EXPORT_TIMEOUT_S):
                self._use.not_exported(piece)

    async def _order(self, path: str, piece: KvPiece, timeout_s: float) -> bool:
        try:
            reply = await upstream_api.call(
                self._upstream, "POST", path, piece, timeout_s=timeout_s
            )
        except UpstreamError as exc:
            logger.debug("{} of {} failed: {}", path, piece.key, exc)
            return False
        if reply.status == CONFLICT:
            logger.error("{} refused: {} has another root", path, piece.key)
        return reply.status == OK
