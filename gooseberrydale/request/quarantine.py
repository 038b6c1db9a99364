"""Tells why a request is quarantined, and the answer for its caller.  Pure.

Entries and gateways check it before each send: a request whose earlier runs ended their
upstreams, or whose prompt has a part that did, is sent to none.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gooseberrydale import errors
from gooseberrydale.errors import ErrorKind, Problem
from gooseberrydale.request.fingerprint import fingerprint_text
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.ended_parts import HarmfulParts


@dataclass(frozen=True, slots=True)
class Quarantine:
    """What is quarantined, and the incarnations of upstreams that it ended.

    ``digest`` names the request, or the parts of its prompt that are ``harmful``.
    """

    digest: str
    ended: tuple[str, ...]
    harmful: HarmfulParts | None = None

    def problem(self, not_run: bool | None) -> Problem:
        """Return the answer; ``not_run`` is True if the request has not run."""
        kind = self._kind(not_run is True)
        return errors.problem(
            kind, not_run=not_run, count=len(self.ended), digest=self.digest
        )

    def _kind(self, not_run: bool) -> ErrorKind:
        if self.harmful is not None:
            return (
                errors.PART_ENDS_UPSTREAMS if not_run else errors.PART_ENDED_UPSTREAMS
            )
        return errors.ENDS_UPSTREAMS if not_run else errors.ENDED_UPSTREAMS


def quarantine(
    ended: EndedIncarnations, request: bytes, parts: Iterable[bytes]
) -> Quarantine | None:
    """Return why a request with these shared parts must not be sent, if so."""
    harmful = ended.harmful_parts_in(parts)
    if harmful is not None:
        return Quarantine(parts_text(sorted(harmful.parts)), harmful.ended, harmful)
    if ended.is_quarantined(request):
        return Quarantine(fingerprint_text(request), ended.blamed_for(request))
    return None
