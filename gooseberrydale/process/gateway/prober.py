"""Finds out whether upstreams that fall silent are there, without harming a caller.

Lives as long as the process.  A machine that loses its power resets nothing: requests
wait there until the kernel gives their bytes up, after three seconds, and each one that
is tried again to see whether it is back is lost as well.  So an upstream from which
nothing comes while requests wait is asked for a connection, and so is one that was left
alone, before its time is over.  Which upstreams are asked, and what follows, is decided
in ``version/silence.py``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.log_events import UpstreamSilent, emit
from gooseberrydale.process.gateway.observed_incarnation import reached, suspect
from gooseberrydale.process.gateway.upstreams import Upstreams

LOOK_S = 0.1
MS_PER_S = 1_000.0


class Prober:
    """One task that looks, and one short one for each question."""

    def __init__(self, upstreams: Upstreams, changed: Callable[[], None]) -> None:
        """``changed`` is called when an upstream was found to be silent."""
        self._upstreams = upstreams
        self._changed = changed
        self._looking: asyncio.Task[None] | None = None
        self._asking: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Begin to look."""
        self._looking = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Ask nobody any more."""
        tasks = list(self._asking.values())
        if self._looking is not None:
            tasks.append(self._looking)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._ask_all(self._upstreams.doubtful(loop.time()))
            await asyncio.sleep(LOOK_S)

    def _ask_all(self, records: Iterable[UpstreamRecord]) -> None:
        for record in records:
            if record.name not in self._asking:
                task = asyncio.create_task(self._ask(record))
                self._asking[record.name] = task
                task.add_done_callback(partial(self._forget, record.name))

    def _forget(self, name: str, _: asyncio.Task[None]) -> None:
        self._asking.pop(name, None)

    async def _ask(self, record: UpstreamRecord) -> None:
        loop = asyncio.get_running_loop()
        load = self._upstreams.load_of(record.name)
        silence = load.silence
        silent_ms = silence.silent_s(loop.time()) * MS_PER_S
        try:
            conn = await HttpConn.open(record.address)
        except UpstreamError as exc:
            dead = silence.unanswered(loop.time())
            if dead or exc.refused:
                self._upstreams.ended(record.name, load, loop.time(), str(exc))
            if not dead:
                return
            suspect(record.name, load, loop.time(), str(exc))
            broken = silence.give_up()
            emit(UpstreamSilent(record.name, round(silent_ms, 1), broken))
            self._changed()
            return
        conn.abort()
        reached(record.name, load, loop.time())
