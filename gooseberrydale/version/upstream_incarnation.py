"""Names for the incarnations of an upstream, which sort in the order they ran.

An upstream that restarts keeps its name but loses its state; each run of it is an
incarnation.  An incarnation is identified by its start time on the upstream's own
clock.  If that clock was set back, a later incarnation has an earlier start time.  Only
the upstream itself can then say which incarnation is the later one; its name gets a
higher epoch.
"""

from __future__ import annotations

_EPOCH_DIGITS = 4
_BORN_DIGITS = 16


def incarnation_name(born_ms: int | None, epoch: int = 0) -> str:
    """Return the name of the incarnation that started at ``born_ms`` (Unix time).

    Names sort by epoch, then by start time.  An upstream that reports no start time
    has a single incarnation, named by the empty string.
    """
    if born_ms is None:
        return ""
    return f"{epoch:0{_EPOCH_DIGITS}x}{born_ms:0{_BORN_DIGITS}x}"


def born_ms(incarnation: str) -> int | None:
    """Return the start time in the name of an incarnation, in Unix milliseconds."""
    return int(incarnation[_EPOCH_DIGITS:], 16) if incarnation else None


def incarnation_after(known: str, born: int | None) -> str:
    """Return the name of the incarnation that started at ``born`` and runs now.

    ``known`` is the newest incarnation recorded before.
    """
    if born == born_ms(known):
        return known
    epoch = int(known[:_EPOCH_DIGITS], 16) if known else 0
    same_epoch = incarnation_name(born, epoch)
    return same_epoch if same_epoch > known else incarnation_name(born, epoch + 1)


def announced_incarnation(known: str, born: int | None) -> str | None:
    """Return the incarnation that announces the start time ``born``.

    None if it started before ``known``, the newest incarnation recorded: an
    announcement may be late, so it can't show that the clock was set back.
    """
    if not known or born == born_ms(known):
        return known or incarnation_name(born)
    later = incarnation_after(known, born)
    return later if later[:_EPOCH_DIGITS] == known[:_EPOCH_DIGITS] else None
