"""Which upstreams probably hold the prefix of a prompt.

Two sources: rendezvous homes of a few levels of the prompt, which every entry
computes alike from names alone, and holders that this entry has itself sent the
prefix to lately.  Engines evict within seconds, so belief in a holder fades.  Pure;
a part of the router's state.
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
# A level must add this part of the prompt to the one before it to have own homes.
MIN_LEVEL_PART = 0.05
MAX_PREFIXES = 64
KEPT_PREFIXES = 8_192
HOLDERS_PER_PREFIX = 8
SCOPE_BYTES = 8
KEPT_SCOPES = 4_096


@dataclass(frozen=True, slots=True)
class Prefix:
    """A prefix of a prompt within its workspace and model, and its length."""

    key: bytes
    tokens: int


class Scopes:
    """Digest of workspace and model, so that equal prompts of others stay apart."""

    def __init__(self) -> None:
        self._digests: dict[tuple[str, str], bytes] = {}

    def prefixes(
        self, workspace: str, model: str, pieces: Sequence[Piece]
    ) -> tuple[Prefix, ...]:
        """Return the prefixes that ``pieces`` end, the shortest first."""
        scope = self._digest(workspace, model)
        found = []
        tokens = 0
        for piece in pieces:
            tokens += piece.tokens
            found.append(Prefix(scope + piece.chain, tokens))
        if len(found) > MAX_PREFIXES:
            half = MAX_PREFIXES // 2
            found = found[:half] + found[-half:]
        return tuple(found)

    def _digest(self, workspace: str, model: str) -> bytes:
        key = (workspace, model)
        digest = self._digests.get(key)
        if digest is None:
            if len(self._digests) >= KEPT_SCOPES:
                self._digests.clear()
            text = f"{len(workspace)}:{workspace}{model}".encode()
            digest = hashlib.blake2b(text, digest_size=SCOPE_BYTES).digest()
            self._digests[key] = digest
        return digest


def levels(prefixes: Sequence[Prefix]) -> list[Prefix]:
    """Pick the prefixes that have homes: the base, half, last but one, and last.

    The base is the first prefix worth keeping together; the others divide its homes.
    """
    if not prefixes:
        return []
    total = prefixes[-1].tokens
    half = next(p for p in prefixes if 2 * p.tokens >= total)
    base = next((p for p in prefixes if p.tokens >= MIN_BASE_TOKENS), prefixes[-1])
    picked = [base]
    for prefix in (half, *prefixes[-2:]):
        if prefix.tokens - picked[-1].tokens > MIN_LEVEL_PART * total:
            picked.append(prefix)
    return picked


class Holders:
    """Upstreams that this entry sent a prefix to, bounded and fading."""

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._by_key: OrderedDict[bytes, dict[str, _Held]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_key)

    def note(
        self, prefixes: Sequence[Prefix], record: UpstreamRecord, now: float
    ) -> None:
        """Believe that the upstream holds these prefixes from now on."""
        held = _Held(identity(record), now)
        for prefix in prefixes:
            holders = self._by_key.setdefault(prefix.key, {})
            holders.pop(record.name, None)
            holders[record.name] = held
            if len(holders) > HOLDERS_PER_PREFIX:
                del holders[next(iter(holders))]
            self._by_key.move_to_end(prefix.key)
        while len(self._by_key) > KEPT_PREFIXES:
            self._by_key.popitem(last=False)

    def forget(self, prefixes: Sequence[Prefix], name: str) -> None:
        """Stop believing that the upstream holds these prefixes."""
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
        """Yield holders of ``prefix`` among ``members`` and the belief in each."""
        for name, held in self._by_key.get(prefix.key, _NO_HOLDERS).items():
            if name in skipped:
                continue
            record = members.get(name)
            if record is None or held.identity != identity(record):
                continue
            age = (now - held.at) / self._estimates.get(record).cache_ttl_s
            if age < 1.0:
                yield record, 1.0 - age * age


@dataclass(frozen=True, slots=True)
class _Held:
    identity: tuple[str, str, str]
    at: float


_NO_HOLDERS: dict[str, _Held] = {}
