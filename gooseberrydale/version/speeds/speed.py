"""The speed of one upstream, as the choice of an upstream uses it.  Pure data."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Speed:
    """How fast an upstream works now.

    The three rates are prompt tokens per second: ``prefill_tokens_per_s`` while other
    requests run, ``own_tokens_per_s`` for a request that has started, and
    ``fetch_tokens_per_s`` for tokens fetched from a store.  ``start_s`` passes before
    the first event of any prompt, however short.  ``service_run_s`` is the mean time
    that a request occupies a slot of a service that runs no model.
    ``slowness`` is how many times longer than usual all of these take now.  ``weight``
    is what the upstream can serve, relative to the mean of its pool.

    The defaults apply to upstreams about which nothing is learned.  They are of engines
    that compute 110,000 tokens a second alone, 40,000 in the median with others queued.
    """

    prefill_tokens_per_s: float = 40_000.0
    own_tokens_per_s: float = 70_000.0
    fetch_tokens_per_s: float = 200_000.0
    service_run_s: float = 0.06
    slowness: float = 1.0
    weight: float = 1.0
    start_s: float = 0.0


NEUTRAL = Speed()


@dataclass(frozen=True, slots=True)
class Prefill:
    """Prompt tokens that an upstream computed up to the first event of an answer.

    ``own`` are those of the request itself, ``ahead`` those queued before it, and
    ``fetched`` those that it had to fetch from a store.
    """

    own: int
    ahead: float
    fetched: int = 0
