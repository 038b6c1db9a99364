"""Cache events as engines publish them: late, with gaps, repeats and reordering.

:class:`CacheFeed` numbers every change and says when which event reaches the
subscribers.  Pure, but for the injected random numbers; lives as long as one engine.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from gooseberrydale.example.prefix_cache import CacheChange


@dataclass(frozen=True, slots=True)
class FeedCfg:
    """``delay_s`` holds every event back; the rates are chances from 0 to 1."""

    delay_s: float = 0.05
    drop_rate: float = 0.0
    repeat_rate: float = 0.0
    reorder_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event as it goes out; ``seq`` rises by one with each change."""

    incarnation: str
    seq: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Delivery:
    """An event and when it goes out."""

    due: float
    event: CacheEvent


class CacheFeed:
    """Numbers changes and turns them into deliveries."""

    def __init__(self, cfg: FeedCfg, incarnation: str, rng: random.Random) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._rng = rng
        self.seq = 0

    def publish(self, change: CacheChange, now: float) -> list[Delivery]:
        """Return the deliveries of a change: none if it gets lost."""
        self.seq += 1
        event = CacheEvent(self._incarnation, self.seq, change.stored, change.removed)
        if self._rng.random() < self._cfg.drop_rate:
            return []
        due = now + self._cfg.delay_s
        if self._rng.random() < self._cfg.reorder_rate:
            # Later than the next ones, which overtake it.
            due += self._cfg.delay_s + self._rng.random() * self._cfg.delay_s
        deliveries = [Delivery(due, event)]
        if self._rng.random() < self._cfg.repeat_rate:
            deliveries.append(Delivery(due + self._cfg.delay_s, event))
        return deliveries
