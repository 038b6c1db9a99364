"""Probes silent upstreams by connecting to them instead of sending requests.

There is one prober per process.  A machine that loses power resets no connections:
requests to it wait for three seconds, until the kernel gives up their bytes, and any
request that is sent to find out whether it is up again is lost as well.  So the prober
opens a connection to an upstream that sends nothing while requests are open, and to a
suspected one shortly before its pause ends.  The rules that decide which upstreams are
probed, and what follows from the result, are in ``version/silence.py``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.log_events import UpstreamSilent, emit
from gooseberrydale.process.gateway.upstream_health import reached, suspect
from gooseberrydale.process.gateway.upstreams import Upstreams

POLL_INTERVAL_S = 0.1
MS_PER_S = 1_000.0


class Prober:
    """Polls for upstreams that are due, and probes each one in a task of its own."""

    def __init__(self, upstreams: Upstreams, changed: Callable[[], None]) -> None:
        """Call ``changed`` whenever an upstream was found to be silent."""
        self._upstreams = upstreams
        self._changed = changed
        self._polling: asyncio.Task[None] | None = None
        self._probes: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start polling."""
        self._polling = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling and cancel all probes."""
        tasks = list(self._probes.values())
        if self._polling is not None:
            tasks.append(self._polling)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._probe_all(self._upstreams.due_for_probe(loop.time()))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _probe_all(self, records: Iterable[UpstreamRecord]) -> None:
        for record in records:
            if record.name not in self._probes:
                task = asyncio.create_task(self._probe(record))
                self._probes[record.name] = task
                task.add_done_callback(partial(self._forget, record.name))

    def _forget(self, name: str, _: asyncio.Task[None]) -> None:
        self._probes.pop(name, None)

    async def _probe(self, record: UpstreamRecord) -> None:
        """Probe one upstream and record whether it accepted the connection."""
        loop = asyncio.get_running_loop()
        load = self._upstreams.load_of(record.name)
        silence = load.silence
        silent_ms = silence.silent_s(loop.time()) * MS_PER_S
        try:
            conn = await HttpConn.open(record.address)
        except UpstreamError as exc:
            is_dead = silence.probe_failed(loop.time())
            if is_dead or exc.refused:
                self._upstreams.ended(record.name, load, loop.time(), str(exc))
            if not is_dead:
                return
            suspect(record.name, load, loop.time(), str(exc))
            broken = silence.abort_all()
            emit(UpstreamSilent(record.name, round(silent_ms, 1), broken))
            self._changed()
            return
        conn.abort()
        reached(record.name, load, loop.time())
