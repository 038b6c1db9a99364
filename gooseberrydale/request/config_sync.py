"""Exchanges newer configurations between this entry and its sidecars.

There is one instance per process.  Each answer of a sidecar includes its configuration
revision.  The side with the older revision gets the newer one in the background, so
revisions spread even while control is unreachable.
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
    """Pushes to sidecars with an older revision, reads from those with a newer one."""

    def __init__(
        self, store: ConfigStore, pool: ChannelPool, background: Background
    ) -> None:
        self._store = store
        self._pool = pool
        self._background = background
        self._in_progress: set[str] = set()

    def notice(self, record: UpstreamRecord, revision: int) -> None:
        """Start an exchange if the sidecar of ``record`` reports another revision."""
        if revision == self._store.revision or record.name in self._in_progress:
            return
        self._in_progress.add(record.name)
        is_behind = revision < self._store.revision
        self._background.spawn(self._run(record, is_behind))

    async def _run(self, record: UpstreamRecord, is_behind: bool) -> None:
        try:
            if is_behind:
                await self._push(record)
            else:
                await self._read(record)
        except (grpc.aio.AioRpcError, CodecError) as exc:
            logger.info("configuration exchange with {} failed: {!r}", record.name, exc)
        finally:
            self._in_progress.discard(record.name)

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
