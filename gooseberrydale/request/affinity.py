"""Estimates which upstreams have a prefix of a prompt cached.

There are two sources. The preferred upstreams of a few levels of the prompt come from a
rendezvous hash of names, so every entry computes the same ones. Holders are upstreams
that this entry has recently sent the prefix to. Engines evict within seconds, so the
probability that a holder still has the prefix decays. Pure; part of the router's state.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Piece
from gooseberrydale.request.estimate import Estimates, identity

MIN_BASE_TOKENS = 256
# Minimum fraction of the prompt by which a level must be longer than the one before it
# to have its own preferred upstreams.
MIN_LEVEL_FRACTION = 0.05
MAX_PREFIXES = 64
MAX_TRACKED_PREFIXES = 8_192
HOLDERS_PER_PREFIX = 8
SCOPE_BYTES = 8
MAX_CACHED_SCOPES = 4_096


@dataclass(frozen=True, slots=True)
class Prefix:
    """A prefix of a prompt within its workspace and model, with its length."""

    key: bytes
    tokens: int


class Scopes:
    """Digests of workspace and model, which keep equal prompts of others separate."""

    def __init__(self) -> None:
        self._digests: dict[tuple[str, str], bytes] = {}

    def prefixes(
        self, workspace: str, model: str, pieces: Sequence[Piece]
    ) -> tuple[Prefix, ...]:
        """Return the prefixes that end with each of ``pieces``, the shortest first."""
        scope = self._digest(workspace, model)
        prefixes = []
        tokens = 0
        for piece in pieces:
            tokens += piece.tokens
            prefixes.append(Prefix(scope + piece.chain, tokens))
        if len(prefixes) > MAX_PREFIXES:
            half = MAX_PREFIXES // 2
            prefixes = prefixes[:half] + prefixes[-half:]
        return tuple(prefixes)

    def _digest(self, workspace: str, model: str) -> bytes:
        key = (workspace, model)
        digest = self._digests.get(key)
        if digest is None:
            if len(self._digests) >= MAX_CACHED_SCOPES:
                self._digests.clear()
            text = f"{len(workspace)}:{workspace}{model}".encode()
            digest = hashlib.blake2b(text, digest_size=SCOPE_BYTES).digest()
            self._digests[key] = digest
        return digest


def levels(prefixes: Sequence[Prefix]) -> list[Prefix]:
    """Select the prefixes with preferred upstreams: base, half, second to last, last.

    The base is the first prefix that is long enough to be cached at one place; the
    others are divided among the preferred upstreams of the base.
    """
    if not prefixes:
        return []
    total = prefixes[-1].tokens
    half = next(p for p in prefixes if 2 * p.tokens >= total)
    base = next((p for p in prefixes if p.tokens >= MIN_BASE_TOKENS), prefixes[-1])
    picked = [base]
    for prefix in (half, *prefixes[-2:]):
        if prefix.tokens - picked[-1].tokens > MIN_LEVEL_FRACTION * total:
            picked.append(prefix)
    return picked


class Holders:
    """Upstreams that this entry has sent a prefix to; bounded, with expiry."""

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._by_key: OrderedDict[bytes, dict[str, _Held]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_key)

    def note(
        self, prefixes: Sequence[Prefix], record: UpstreamRecord, now: float
    ) -> None:
        """Record that the upstream has these prefixes cached from now on."""
        held = _Held(identity(record), now)
        for prefix in prefixes:
            holders = self._by_key.setdefault(prefix.key, {})
            holders.pop(record.name, None)
            holders[record.name] = held
            if len(holders) > HOLDERS_PER_PREFIX:
                del holders[next(iter(holders))]
            self._by_key.move_to_end(prefix.key)
        while len(self._by_key) > MAX_TRACKED_PREFIXES:
            self._by_key.popitem(last=False)

    def forget(self, prefixes: Sequence[Prefix], name: str) -> None:
        """Remove the record that the upstream has these prefixes cached."""
        for prefix in prefixes:
            holders = self._by_key.get(prefix.key)
            if holders is not None:
                holders.pop(name, None)

    def of(
        self,
        prefix: Prefix,
        members: dict[str, UpstreamRecord],
        skipped: Container[str],
        now: float,
    ) -> Iterator[tuple[UpstreamRecord, float]]:
        """Yield holders of ``prefix`` among ``members``, each with its probability."""
        for name, held in self._by_key.get(prefix.key, _NO_HOLDERS).items():
            if name in skipped:
                continue
            record = members.get(name)
            if record is None or held.identity != identity(record):
                continue
            relative_age = (now - held.at) / self._estimates.get(record).cache_ttl_s
            if relative_age < 1.0:
                yield record, 1.0 - relative_age * relative_age


@dataclass(frozen=True, slots=True)
class _Held:
    identity: tuple[str, str, str]
    at: float


_NO_HOLDERS: dict[str, _Held] = {}
