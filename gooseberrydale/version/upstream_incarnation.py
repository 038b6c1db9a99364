"""Names the incarnations of an upstream that announces itself, in the order in which
they ran.

An upstream may start again under the name that it had; it then knows nothing of before.
An incarnation is named by the moment of its start, on the upstream's own clock.  Such a
clock may have been set back, so that a later incarnation bears an earlier moment.  Only
the upstream itself can tell then which incarnation is the later one, and that
incarnation gets a higher turn.
"""

from __future__ import annotations

_TURN_DIGITS = 4
_BORN_DIGITS = 16


def incarnation_name(born_ms: int | None, turn: int = 0) -> str:
    """Name of the incarnation that began at ``born_ms``, in Unix milliseconds.

    Names sort by turn, then by moment.  An upstream that tells no moment has one
    incarnation.
    """
    if born_ms is None:
        return ""
    return f"{turn:0{_TURN_DIGITS}x}{born_ms:0{_BORN_DIGITS}x}"


def born_ms(incarnation: str) -> int | None:
    """The moment in the name of an incarnation."""
    return int(incarnation[_TURN_DIGITS:], 16) if incarnation else None


def incarnation_after(known: str, born: int | None) -> str:
    """Name of the incarnation that began at ``born`` and runs now, where ``known``
    ran."""
    if born == born_ms(known):
        return known
    turn = int(known[:_TURN_DIGITS], 16) if known else 0
    plain = incarnation_name(born, turn)
    return plain if plain > known else incarnation_name(born, turn + 1)


def incarnation_told(known: str, born: int | None) -> str | None:
    """The incarnation that an announcement of ``born`` belongs to; None if an earlier
    one.

    ``known`` is the newest incarnation heard of, which an announcement alone can't
    overrule.
    """
    if not known or born == born_ms(known):
        return known or incarnation_name(born)
    later = incarnation_after(known, born)
    return later if later[:_TURN_DIGITS] == known[:_TURN_DIGITS] else None
