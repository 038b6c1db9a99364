"""State that an upstream reports of itself in its health call.

A state belongs to one incarnation under one weights version; a new value replaces it
when the upstream reports a change.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """The last answer of the upstream's health call.

    ``incarnation`` is empty for an upstream that reports none, such as a plain service
    without a health call.  ``software`` is the version of its software, empty if it
    reports none.
    """

    ready: bool = False
    incarnation: str = ""
    model: str = ""
    weights_version: str = ""
    software: str = ""
