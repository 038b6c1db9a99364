"""Evens out configurations between this entry and the sidecars that it works with.

Lives as long as the process.  Each answer of a sidecar tells its revision; whoever
is behind gets the newer configuration in the background, so that a revision also
spreads where control can't be reached.
"""

from __future__ import annotations

import grpc.aio
from loguru import logger

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.connection.codec import CodecError
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import ConfigAck, PushConfig, ReadConfig
from gooseberrydale.connection.rpc import PUSH_CONFIG, READ_CONFIG
from gooseberrydale.request.background import Background
from gooseberrydale.version.config_store import ConfigStore

TIMEOUT_S = 3.0


class ConfigSync:
    """Pushes to sidecars that are behind and reads from those ahead."""

    def __init__(
        self, store: ConfigStore, pool: ChannelPool, background: Background
    ) -> None:
        self._store = store
        self._pool = pool
        self._background = background
        self._busy: set[str] = set()

    def notice(self, record: UpstreamRecord, revision: int) -> None:
        """Take note that the sidecar of ``record`` works under ``revision``."""
        if revision == self._store.revision or record.name in self._busy:
            return
        self._busy.add(record.name)
        is_behind = revision < self._store.revision
        self._background.spawn(self._run(record, is_behind))

    async def _run(self, record: UpstreamRecord, is_behind: bool) -> None:
        try:
            if is_behind:
                await self._push(record)
            else:
                await self._read(record)
        except (grpc.aio.AioRpcError, CodecError) as exc:
            logger.info("no configuration exchange with {}: {!r}", record.name, exc)
        finally:
            self._busy.discard(record.name)

    async def _push(self, record: UpstreamRecord) -> None:
        req = PushConfig(self._store.config)
        with self._pool.using(record) as channel:
            await channel.call(PUSH_CONFIG, req, timeout_s=TIMEOUT_S)

    async def _read(self, record: UpstreamRecord) -> None:
        req = ReadConfig(self._store.revision)
        with self._pool.using(record) as channel:
            ack: ConfigAck = await channel.call(READ_CONFIG, req, timeout_s=TIMEOUT_S)
        if ack.config is not None:
            self._store.offer(ack.config)
