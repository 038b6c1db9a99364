"""What a request needs of an upstream, and what follows from an upstream's record."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.request.gateway_call import Prompt, Terms
from gooseberrydale.request.placement import Demand
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.origins.origin import StreamOrigin


@dataclass(frozen=True, slots=True)
class UpstreamQuery:
    """What a request needs: an upstream of ``pool`` that is not in ``tried``.

    ``scope`` separates equal prompts that must not share cached prefixes.
    ``origin`` is what began the stream that the request continues, None for others.
    Work of less urgent ranks than ``rank`` is left out of loads; None counts all work.
    """

    pool: Pool
    prompt: Prompt | None
    scope: str
    tried: Collection[str] = ()
    origin: StreamOrigin | None = None
    rank: int | None = None


def weights_version(record: UpstreamRecord) -> int:
    """Return the weights version that an upstream serves; 0 if it announced none."""
    return int(record.weights_version or 0)


def cache_salt(record: UpstreamRecord, scope: str) -> str:
    """Return a salt that separates cache of other weights and of other scopes."""
    return f"{record.model}.{record.weights_version}{scope}"


def demand_of(prompt: Prompt | None) -> Demand:
    """Return what a prompt needs.

    Its outermost shared part is assumed to be cached at every upstream.
    """
    if prompt is None:
        return Demand()
    shared = prompt.shared
    common = shared[0].tokens if len(shared) > 1 else 0
    shared_tokens = sum(part.tokens for part in shared) - common
    own = max(0, prompt.tokens - shared_tokens - common)
    return Demand(own, shared_tokens, common, prompt.max_new_tokens)


def serves(record: UpstreamRecord, pool: Pool, prompt: Prompt | None) -> bool:
    """Whether an upstream of ``pool`` may be sent a prompt.

    Upstreams without a model get prompts only in pools that hold no models.
    """
    if prompt is None:
        return True
    if not record.model:
        return pool.engine is None
    return record.model == prompt.model


def lacks_cache_terms(pool: Pool, prompt: Prompt | None, terms: Terms) -> bool:
    """Whether a prompt would use a model without a cache salt or a weights version.

    Its cached prefixes would be shared by all workspaces and versions.
    """
    if pool.engine is None or prompt is None:
        return False
    return not terms.cache_salt or terms.weights_version is None
