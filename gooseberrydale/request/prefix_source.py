"""Decides where an engine gets the beginning of a prompt that it does not hold.  Pure.

Another engine or a store that holds it can hand it over.  It answers changes of weights
and restarts, after which engines come back with empty memories one after the other: a
prefix of 6,300 tokens takes 40 ms to compute on an engine that gets through 157 tokens
a millisecond, and 2.5 ms to move at 18,432 bytes a token over 370 Gbit/s.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FAR_TIMES = 2.0
"""How much longer a move between availability zones takes."""

UNTOLD_TOKEN_S = 5e-6
"""Moving one token where sizes and links are not declared: 192,512 bytes over a link of
420 Gbit/s take 3.7 microseconds, and the way there adds a little."""


@dataclass(frozen=True, slots=True)
class Source:
    """Who holds ``tokens`` of a prefix, and what it takes to move one of them, in s."""

    address: str
    zone: str
    tokens: int
    token_s: float


@dataclass(frozen=True, slots=True)
class Fetch:
    """``tokens`` more than an engine holds come from ``address`` in ``seconds``."""

    address: str
    tokens: int
    seconds: float


def move_token_s(token_bytes: float, link_bytes_per_s: float) -> float:
    """Seconds to move one token over a link within an availability zone."""
    if not token_bytes or not link_bytes_per_s:
        return UNTOLD_TOKEN_S
    return token_bytes / link_bytes_per_s


def best_fetch(
    held_tokens: int, zone: str, sources: Iterable[Source], compute_token_s: float
) -> Fetch | None:
    """The fetch that saves an engine in ``zone`` most time; None if none saves any.

    ``compute_token_s`` is how long it takes to compute one token instead.
    """
    best, most_s = None, 0.0
    for source in sources:
        gained = source.tokens - held_tokens
        if gained <= 0:
            continue
        times = 1.0 if source.zone == zone else FAR_TIMES
        seconds = gained * source.token_s * times
        saved_s = gained * compute_token_s - seconds
        if saved_s > most_s:
            best, most_s = Fetch(source.address, gained, seconds), saved_s
    return best
