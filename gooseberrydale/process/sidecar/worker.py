"""Runs attempts at the upstream, after an import of the KV cache that they need."""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.process.cfg import SidecarCfg
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.process.sidecar.call_builder import CallBuilder
from gooseberrydale.process.sidecar.kv_transfer import KvTransfer
from gooseberrydale.process.sidecar.upstream_run import run_upstream
from gooseberrydale.process.sidecar.upstream_watch import UpstreamWatch
from gooseberrydale.version.cache_view import CacheView
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.kv_use import KvPiece


class Worker:
    """Runs attempts; ``prefill_tps`` returns the prefill rate in tokens per second."""

    def __init__(
        self,
        cfg: SidecarCfg,
        store: ConfigStore,
        watch: UpstreamWatch,
        view: CacheView,
        kv: KvTransfer,
        prefill_tps: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._kv = kv
        self._prefill_tps = prefill_tps
        self._calls = CallBuilder(cfg, store, watch)
        self._prefilling: dict[tuple[str, int], int] = {}

    def uncached_tokens(self, req: DispatchReq) -> int:
        """Return how many tokens of the prompt are not known to be cached."""
        if not req.pieces:
            return 0
        cached = self._view.cached_tokens(self._keys(req))
        return sum(piece.tokens for piece in req.pieces) - cached

    async def run(self, attempt: Attempt) -> None:
        """Import missing cache pieces, make the upstream call, and end ``attempt``."""
        req = attempt.req
        uncached = self.uncached_tokens(req) - await self._import(req)
        attempt.cached_tokens = sum(p.tokens for p in req.pieces) - uncached
        self._prefilling[attempt.key] = uncached
        try:
            await self._call(attempt)
        finally:
            del self._prefilling[attempt.key]

    async def _call(self, attempt: Attempt) -> None:
        # Prompts that were sent to the upstream earlier are computed first.
        prefill_s = sum(self._prefilling.values()) / self._prefill_tps()
        call = self._calls.build(attempt.req, prefill_s)
        if isinstance(call, Err):
            attempt.end(call.err_value)
            return
        await run_upstream(attempt, call.ok_value, self._cfg.upstream)

    def _keys(self, req: DispatchReq) -> list[tuple[str, int]]:
        return [(key.hex(), tokens) for key, tokens in self._calls.piece_keys(req)]

    async def _import(self, req: DispatchReq) -> int:
        """Import missing pieces from the KV store; return the imported tokens."""
        if not self._cfg.kv_store or not req.pieces:
            return 0
        root = self._calls.root(req).hex()
        keys = self._keys(req)
        pieces = [KvPiece(root, key, tokens) for key, tokens in keys]
        cached = self._view.prefix_length(keys)
        imported = await self._kv.import_missing(pieces[cached:])
        self._kv.record_use(pieces)
        return imported
