"""The speeds of all upstreams, as this process knows them.

One object per process; no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.version.speeds.speed import NEUTRAL, Speed


@dataclass(frozen=True, slots=True)
class Prefill:
    """Prompt tokens that an upstream computed up to the first event of an answer.

    ``own`` are those of the request itself, ``ahead`` those queued before it.
    """

    own: int
    ahead: float


class UpstreamSpeeds:
    """Learns speeds from answers; times are seconds of the event loop's clock.

    A pool is learned about once one of its upstreams has stated how slow it is.
    """

    def __init__(self) -> None:
        self._stating: set[str] = set()

    def is_on(self, pool: str) -> bool:
        """Whether speeds of ``pool`` are learned and used."""
        return pool in self._stating

    @property
    def any_on(self) -> bool:
        """Whether speeds of any pool are learned and used."""
        return bool(self._stating)

    def stated(self, pool: str, upstream: str, slowness: float, now: float) -> None:
        """Record how slow an upstream states to be now, 1.0 as usual."""
        self._stating.add(pool)

    def first_event(
        self, pool: str, upstream: str, prefill: Prefill, took_s: float, now: float
    ) -> None:
        """Record that a prompt's first event came ``took_s`` after it was sent."""

    def service_ended(
        self, pool: str, upstream: str, took_s: float, now: float
    ) -> None:
        """Record that a service without a model answered after ``took_s``."""

    def forget(self, upstream: str) -> None:
        """Drop what was learned about an incarnation that has ended."""

    def of(self, pool: str, upstream: str, now: float) -> Speed:
        """Return the speed of an upstream."""
        return NEUTRAL
