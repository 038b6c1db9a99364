"""Learns from the answer to a send how fast its upstream works and how much it holds.

There is one measurement per send.  It records nothing about pools to which the parts
that use it do not apply.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.gateway_call import ReportedLoad
from gooseberrydale.version.capacity.limits import FirstEvent
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.speeds.speed import Prefill
from gooseberrydale.version.upstream_load import Work


class SendMeasurement:
    """Measures one send of ``work`` to the upstream of ``record``.

    ``prefill`` is what is computed up to the first event, None if that is not known.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        pool: Pool,
        record: UpstreamRecord,
        work: Work,
        prefill: Prefill | None,
    ) -> None:
        self._upstreams = upstreams
        self._pool = pool
        self._record = record
        self._prefill = prefill
        self._sent_at = 0.0
        self._expected = self._expect_first_event(work)

    def sent(self) -> None:
        """Record that the bytes of the request leave now."""
        self._sent_at = _now()

    def load_reported(self, load: ReportedLoad, *, is_own: bool) -> None:
        """Record the load report in the answer.

        ``is_own`` is whether the answer is of the incarnation that was chosen.
        """
        upstreams, now = self._upstreams, _now()
        if upstreams.sharing.reserves(self._pool.name):
            upstreams.capacity.reported(self._pool.name, self._held(), load, now)
        if load.slowness is not None and is_own:
            name = self._record.name
            upstreams.speeds.stated(self._pool.name, name, load.slowness, now)

    def body_began(self) -> None:
        """Record that the first bytes of the body have arrived."""
        if self._expected is not None:
            self._upstreams.capacity.first_event(self._expected, _now())

    def first_event(self) -> None:
        """Record that the first event has arrived; further calls do nothing."""
        prefill, self._prefill = self._prefill, None
        if prefill is not None and self._learns_speeds():
            now, name = _now(), self._record.name
            self._upstreams.speeds.first_event(
                self._pool.name, name, prefill, now - self._sent_at, now
            )

    def service_answered(self) -> None:
        """Record that the whole answer of a service without a model has arrived."""
        if self._learns_speeds():
            now, name = _now(), self._record.name
            self._upstreams.speeds.service_ended(
                self._pool.name, name, now - self._sent_at, now
            )

    def _learns_speeds(self) -> bool:
        return self._upstreams.sharing.learns_speeds(self._pool.name)

    def _expect_first_event(self, work: Work) -> FirstEvent | None:
        """Return when the first event is expected; None if that is of no use."""
        upstreams, pool, now = self._upstreams, self._pool, _now()
        if pool.engine is None or not upstreams.sharing.reserves(pool.name):
            return None
        speed = upstreams.speed(self._record, now)
        load = upstreams.load_at(self._record.name, now, work.rank)
        seconds = load.prefill_tokens / speed.prefill_tokens_per_s
        seconds += work.prefill_tokens / speed.own_tokens_per_s
        return FirstEvent(pool.name, self._held(), now, seconds * speed.slowness)

    def _held(self) -> float:
        """Return how much of the declared memory is calculated to be in use."""
        size = self._pool.engine
        if size is None or not size.kv_tokens:
            return 0.0
        load = self._upstreams.load_at(self._record.name, _now())
        return load.kv_tokens / size.kv_tokens


def _now() -> float:
    return asyncio.get_running_loop().time()
