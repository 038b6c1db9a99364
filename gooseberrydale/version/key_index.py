"""Finds the workspace of an API key in one revision of the configuration.

The index is built once per revision, so a request costs one dictionary lookup
regardless of the number of workspaces.
"""

from __future__ import annotations

import hashlib

from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_KEY, MISSING_KEY, Problem, problem
from gooseberrydale.version.declarations import Config, Workspace

BEARER_PREFIX = "bearer "


class KeyIndex:
    """Workspaces of one revision by key digest."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self._by_digest = {
            digest: workspace
            for workspace in config.workspaces.values()
            for digest in workspace.key_digests
        }

    def workspace(self, authorization: str) -> Result[Workspace, Problem]:
        """Find the workspace of the bearer key in an Authorization header."""
        if not authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
            return Err(problem(MISSING_KEY))
        key = authorization[len(BEARER_PREFIX) :].strip()
        if not key:
            return Err(problem(MISSING_KEY))
        workspace = self._by_digest.get(key_digest(key))
        return Ok(workspace) if workspace is not None else Err(problem(INVALID_KEY))


def key_digest(key: str) -> str:
    """Digest under which API keys and operators' tokens are stored.

    A fast hash is enough because the keys are long and random, so they can't be
    guessed by trying; a slow hash would add its cost to every request.
    """
    return hashlib.sha256(key.encode()).hexdigest()
