"""What is known of the upstream itself: one incarnation of it, under one weights
version.

Lives until the upstream says otherwise; a new value replaces it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """The last answer of the upstream's health call.

    ``incarnation`` is empty for an upstream that does not tell, such as a plain
    service without a health call.
    """

    ready: bool = False
    incarnation: str = ""
    model: str = ""
    weights_version: str = ""
