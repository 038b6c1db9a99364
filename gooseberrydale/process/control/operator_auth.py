"""Identifies operators by the bearer token of a request.

The digests of the tokens are read once, when the process starts.
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
    invalid_names = [name for name, digest in table.items() if not _is_digest(digest)]
    if invalid_names:
        raise _invalid(path, ", ".join(invalid_names), "not a SHA-256 digest in hex")
    return dict(table)


class OperatorTokens:
    """Operators and the digests of their tokens."""

    def __init__(self, digests: dict[str, str]) -> None:
        self._digests = dict(digests)

    def operator_of(self, authorization: str) -> str | None:
        """Return the operator of an Authorization header; None for an unknown token."""
        if not authorization.lower().startswith(SCHEME):
            return None
        digest = key_digest(authorization[len(SCHEME) :].strip())
        operator = None
        # All digests are compared, so the response time reveals nothing about them.
        for name, known_digest in self._digests.items():
            if hmac.compare_digest(digest, known_digest):
                operator = name
        return operator


def _is_digest(value: object) -> bool:
    return isinstance(value, str) and DIGEST_PATTERN.fullmatch(value) is not None


def _invalid(path: Path, key: str, reason: str) -> ProblemError:
    remedy = 'write lines of the form name = "SHA-256 of the token in hex"'
    return ProblemError(
        problem(INVALID_SETTING, file=path, key=key, reason=reason, remedy=remedy)
    )
