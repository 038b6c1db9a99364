"""How many connections to one upstream a gateway may have.  Pure.

An upstream accepts a declared number of connections from all gateways together and
resets those beyond it, whatever runs on them.  No gateway knows how many the others
have open, so each keeps to its equal part.
"""

from __future__ import annotations

USED_PART = 0.9
"""Part of the declared number that is used; the rest is for calls of control and for
gateways that have just started and know few others."""


def connection_share(declared: int, gateways: int) -> int | None:
    """This gateway's part of ``declared`` connections; None if none are declared."""
    if declared <= 0:
        return None
    return max(1, int(declared * USED_PART / max(1, gateways)))
