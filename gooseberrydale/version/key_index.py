"""Finds the workspace of an API key in one revision of the configuration.

Lives for one revision: the index is built once for it, so that a request costs one
look-up however many workspaces there are.
"""

from __future__ import annotations

import hashlib

from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_KEY, MISSING_KEY, Problem, problem
from gooseberrydale.version.declarations import Config, Workspace

BEARER = "bearer "


class KeyIndex:
    """Workspaces by the digest of their keys, for one revision."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self._by_digest = {
            digest: workspace
            for workspace in config.workspaces.values()
            for digest in workspace.key_digests
        }

    def workspace(self, authorization: str) -> Result[Workspace, Problem]:
        """The workspace of an Authorization header's bearer key."""
        if not authorization[: len(BEARER)].lower() == BEARER:
            return Err(problem(MISSING_KEY))
        key = authorization[len(BEARER) :].strip()
        if not key:
            return Err(problem(MISSING_KEY))
        found = self._by_digest.get(key_digest(key))
        return Ok(found) if found is not None else Err(problem(INVALID_KEY))


def key_digest(key: str) -> str:
    """The form in which API keys and operators' tokens are kept.

    A plain hash is enough where the secret is random and long: there is nothing
    to guess that a slow hash would protect, and a key is looked up on each call.
    """
    return hashlib.sha256(key.encode()).hexdigest()
