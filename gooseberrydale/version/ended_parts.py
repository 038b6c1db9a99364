"""Finds the parts of prompts that end each upstream that begins to answer them.  Pure.

One object per process, filled with the prompts that waited for their answers when an
upstream ended.  The requests differ, so no single one repeats; what they share is a
part.  Sound parts wait at the same upstreams, so three rules keep them out:

- A part is no longer blamed for any earlier end once an answer to a prompt with it has
  begun: the part that is at fault never gets that far.
- An end is explained by one part.  The part that is blamed for most ends comes first,
  and the ends that it explains count for no other.
- Of parts that always came together any may be at fault, so a prompt is refused only if
  it has all of them.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

Prompt = tuple[bytes, ...]
"""The fingerprint of a request, followed by the digests of its prompt's parts."""

MIN_REQUESTS = 2
"""Least number of different requests with a harmful part.  A single one that is
repeated is quarantined itself, and its parts may be sound."""


@dataclass(frozen=True, slots=True)
class HarmfulParts:
    """Parts that came together at the incarnations of upstreams which they ended."""

    parts: frozenset[bytes]
    ended: tuple[str, ...]


class EndedParts:
    """The parts blamed for each end, and those found to be harmful.

    Parts are harmful once they explain ``quarantine_after`` ends.
    """

    def __init__(self, quarantine_after: int) -> None:
        self._quarantine_after = quarantine_after
        self._prompts: dict[str, list[tuple[bytes, frozenset[bytes]]]] = {}
        self._ends: dict[bytes, set[str]] = {}
        # Parts that are blamed for enough ends to be harmful.
        self._suspects: set[bytes] = set()
        self._harmful: tuple[HarmfulParts, ...] | None = ()

    @property
    def harmful(self) -> tuple[HarmfulParts, ...]:
        """All groups of parts found to be harmful."""
        if self._harmful is None:
            self._harmful = tuple(self._find_harmful())
        return self._harmful

    def harmful_in(self, parts: Iterable[bytes]) -> HarmfulParts | None:
        """Return the harmful group that a prompt with ``parts`` has, if any."""
        if not self.harmful:
            return None
        own = frozenset(parts)
        return next((group for group in self.harmful if group.parts <= own), None)

    def explains(self, end: str) -> bool:
        """Whether harmful parts explain this end."""
        return any(end in group.ended for group in self.harmful)

    def ends_of(self, parts: Iterable[bytes]) -> dict[str, list[bytes]]:
        """Return the ends for which any of ``parts`` is blamed, with those parts."""
        blamed: dict[str, list[bytes]] = {}
        for part in parts:
            for end in self._ends.get(part, ()):
                blamed.setdefault(end, []).append(part)
        return blamed

    def blame(
        self, end: str, prompts: Iterable[Prompt], sound: Collection[bytes]
    ) -> None:
        """Add prompts that waited at an upstream when it ended."""
        at_end = self._prompts.setdefault(end, [])
        for request, *parts in prompts:
            blamed = frozenset(part for part in parts if part not in sound)
            at_end.append((request, blamed))
            for part in blamed:
                self._ends.setdefault(part, set()).add(end)
                self._check_suspect(part)

    def clear(self, end: str, sound: Iterable[bytes]) -> None:
        """Stop blaming parts for an end."""
        parts = frozenset(sound)
        self._prompts[end] = [
            (request, blamed - parts) for request, blamed in self._prompts.get(end, ())
        ]
        for part in parts:
            self._drop_end(part, end)

    def forget(self, end: str) -> None:
        """Drop an end."""
        prompts = self._prompts.pop(end, [])
        for part in frozenset().union(*(blamed for _, blamed in prompts)):
            self._drop_end(part, end)

    def _drop_end(self, part: bytes, end: str) -> None:
        ends = self._ends.get(part)
        if ends is None:
            return
        ends.discard(end)
        if not ends:
            del self._ends[part]
        self._check_suspect(part)

    def _check_suspect(self, part: bytes) -> None:
        if len(self._ends.get(part, ())) >= self._quarantine_after:
            self._suspects.add(part)
            self._harmful = None
        elif part in self._suspects:
            self._suspects.discard(part)
            self._harmful = None

    def _find_harmful(self) -> Iterable[HarmfulParts]:
        suspects, explained = set(self._suspects), set[str]()
        while suspects:
            part = max(suspects, key=lambda p: (len(self._ends[p] - explained), p))
            suspects.discard(part)
            ends = self._ends[part] - explained
            if len(ends) < self._quarantine_after:
                return
            group = self._group(part, ends)
            if group is not None:
                explained |= ends
                yield group

    def _group(self, part: bytes, ends: Collection[str]) -> HarmfulParts | None:
        """Return the parts that always came with ``part``; None if one request did."""
        holders = [
            (request, blamed)
            for end in ends
            for request, blamed in self._prompts[end]
            if part in blamed
        ]
        if len({request for request, _ in holders}) < MIN_REQUESTS:
            return None
        together = frozenset.intersection(*(blamed for _, blamed in holders))
        return HarmfulParts(together, tuple(sorted(ends)))
