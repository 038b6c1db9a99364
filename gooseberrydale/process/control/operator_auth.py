"""Who an operator is, by the token that came with the request.

The tokens' digests are read once, when the process starts.
"""

from __future__ import annotations

import hmac
import tomllib
from pathlib import Path

from gooseberrydale.errors import INVALID_SETTING, ProblemError, problem
from gooseberrydale.version.key_index import key_digest
from gooseberrydale.version.validation import DIGEST_PATTERN

SCHEME = "bearer "


def load_operators(path: Path) -> dict[str, str]:
    """Read ``name = "digest"`` lines; raises ProblemError with all faults."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise _invalid(path, "the file", str(exc)) from exc
    wrong = [name for name, digest in table.items() if not _is_digest(digest)]
    if wrong:
        raise _invalid(path, ", ".join(wrong), "is no SHA-256 digest")
    return dict(table)


class OperatorTokens:
    """The operators by the digests of their tokens."""

    def __init__(self, digests: dict[str, str]) -> None:
        self._digests = dict(digests)

    def who(self, authorization: str) -> str | None:
        """Return the operator's name for an Authorization header, if there is one."""
        if not authorization.lower().startswith(SCHEME):
            return None
        sent = key_digest(authorization[len(SCHEME) :].strip())
        found = None
        # All are compared, so that the time taken tells nothing about the digests.
        for name, digest in self._digests.items():
            if hmac.compare_digest(sent, digest):
                found = name
        return found


def _is_digest(value: object) -> bool:
    return isinstance(value, str) and DIGEST_PATTERN.fullmatch(value) is not None


def _invalid(path: Path, key: str, reason: str) -> ProblemError:
    remedy = 'write lines of the form name = "SHA-256 of the token in hex"'
    return ProblemError(
        problem(INVALID_SETTING, file=path, key=key, reason=reason, remedy=remedy)
    )
