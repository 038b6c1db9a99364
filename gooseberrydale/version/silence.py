"""Decides when to probe an upstream that sends nothing, and when it counts as dead.

One object per incarnation of an upstream and process; no I/O.  Silence alone proves
little, as a busy upstream may send nothing for a while.  After some silence the
upstream is probed with a new connection, which the kernel of any running machine
accepts.  After two failed probes in a row the upstream is considered dead."""

from __future__ import annotations

import math
from collections.abc import Callable

SILENT_S = 0.5
"""Silence after which an upstream is probed.  Streams send an event every 30 to 60 ms,
and first events come within 50 to 250 ms.  Where a gateway has a single request at an
upstream, a request that is queued there for long looks the same."""

PROBE_INTERVAL_S = 0.3
MAX_PROBE_INTERVAL_S = 4.8
"""Time between two probes of a silent upstream: the first value at first, doubled after
each successful probe up to the second.  With 26 gateways and 22 engines that all let
requests wait for two seconds, each gateway opens some 20 connections a second instead
of 70."""

PROBE_LEAD_S = 0.35
"""How long before the end of its backoff an upstream is probed: the longest time that a
probe takes.  No request is then risked to find out whether the upstream is back."""

MAX_FAILED_PROBES = 2
"""Consecutive failed probes after which an upstream is considered dead.  At 3 % packet
loss one probe in thirty fails by chance, but only one in a thousand pairs."""

OWN_PROBE_TRUST_S = 1.0
"""Time after a successful probe during which reports by other processes that the
upstream is dead are ignored: only their network path to it may be cut."""

Abort = Callable[[], None]


class Silence:
    """When an upstream last sent bytes, and which requests wait for it.

    Times are seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self._open = 0
        self._since = -math.inf
        self._probed_at = -math.inf
        self._reached_at = -math.inf
        self._failed_probes = 0
        self._interval_s = PROBE_INTERVAL_S
        self._reported_dead = False
        self._aborts: set[Abort] = set()

    def opened(self, now: float) -> None:
        """Record that a request was sent."""
        if not self._open:
            self._since = now
        self._open += 1

    def closed(self) -> None:
        """Record that a request has ended."""
        self._open -= 1

    def note_received(self, now: float) -> None:
        """Record that bytes arrived."""
        self._since = now
        self._failed_probes = 0
        self._interval_s = PROBE_INTERVAL_S

    def watch(self, abort: Abort) -> None:
        """Register ``abort``, to be called if the upstream is considered dead."""
        self._aborts.add(abort)

    def unwatch(self, abort: Abort) -> None:
        """Remove ``abort``, as its request has ended."""
        self._aborts.discard(abort)

    def report_dead(self, now: float) -> bool:
        """Record that another process considers the upstream dead.

        Return False if that is ignored, as a probe of this process just succeeded.
        """
        if now < self._reached_at + OWN_PROBE_TRUST_S:
            return False
        self._reported_dead = True
        return True

    def silent_s(self, now: float) -> float:
        """Return for how long no bytes came while requests were open."""
        return now - self._since if self._open > 0 else 0.0

    def is_probe_due(self, now: float, avoid_until: float) -> bool:
        """Return whether to probe the upstream now, and if so, record the probe.

        ``avoid_until`` is the end of the time for which the upstream is avoided.
        """
        if now < self._probed_at + self._interval_s:
            return False
        if avoid_until > now:
            due = now >= avoid_until - PROBE_LEAD_S
        else:
            due = self._reported_dead or self.silent_s(now) >= SILENT_S
        if due:
            self._probed_at = now
        return due

    def probe_succeeded(self, now: float) -> None:
        """Record that a probe succeeded."""
        self._reached_at = now
        self._failed_probes = 0
        self._interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self._interval_s)
        self._reported_dead = False

    def probe_failed(self, now: float) -> bool:
        """Record that a probe failed; return whether the upstream is now dead."""
        self._failed_probes += 1
        # Allow the next probe immediately.
        self._probed_at = -math.inf
        self._interval_s = PROBE_INTERVAL_S
        if self._failed_probes < MAX_FAILED_PROBES:
            return False
        self._reported_dead = False
        return True

    def abort_all(self) -> int:
        """Call all registered aborts; return their number."""
        aborts, self._aborts = self._aborts, set()
        for abort in aborts:
            abort()
        return len(aborts)
