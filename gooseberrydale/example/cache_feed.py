"""Cache events as engines publish them: delayed, lost, repeated and out of order.

:class:`CacheFeed` numbers every change of the cache and decides when its event is sent
to the subscribers.  It is pure except for the random generator that is passed in.  Each
engine has one feed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from gooseberrydale.example.prefix_cache import CacheChange


@dataclass(frozen=True, slots=True)
class FeedCfg:
    """``delay_s`` delays every event; the rates are probabilities from 0 to 1."""

    delay_s: float = 0.05
    drop_rate: float = 0.0
    repeat_rate: float = 0.0
    reorder_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event as it is sent; ``seq`` rises by one with each change of the cache."""

    incarnation: str
    seq: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Delivery:
    """An event and the time at which to send it."""

    due_at: float
    event: CacheEvent


class CacheFeed:
    """Numbers the changes of a cache and schedules the events that report them."""

    def __init__(self, cfg: FeedCfg, incarnation: str, rng: random.Random) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._rng = rng
        self.seq = 0

    def publish(self, change: CacheChange, now: float) -> list[Delivery]:
        """Return the deliveries of a change: none if the event is lost."""
        self.seq += 1
        event = CacheEvent(self._incarnation, self.seq, change.stored, change.removed)
        if self._rng.random() < self._cfg.drop_rate:
            return []
        due_at = now + self._cfg.delay_s
        if self._rng.random() < self._cfg.reorder_rate:
            # Events that are published soon after this one are sent before it.
            due_at += self._cfg.delay_s + self._rng.random() * self._cfg.delay_s
        deliveries = [Delivery(due_at, event)]
        if self._rng.random() < self._cfg.repeat_rate:
            deliveries.append(Delivery(due_at + self._cfg.delay_s, event))
        return deliveries
