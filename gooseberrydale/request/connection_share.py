"""Computes how many connections a gateway may open to one upstream. Pure.

An upstream accepts a declared number of connections from all gateways together, and
resets any beyond it, with the requests on them. No gateway knows how many the others
have open, so each limits itself to an equal share.
"""

from __future__ import annotations

USED_FRACTION = 0.9
"""Fraction of the declared number that gateways use. The rest is for control calls, and
for gateways that have recently started and know few others."""


def connection_share(declared: int, gateways: int) -> int | None:
    """Return this gateway's share of ``declared`` connections; None if none are
    declared.
    """
    if declared <= 0:
        return None
    return max(1, int(declared * USED_FRACTION / max(1, gateways)))
