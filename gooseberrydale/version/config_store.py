"""Holds the configuration in force in this process.

Every configuration that the process receives is offered to its one store.  Only a
higher revision replaces the current configuration, so the revision in force never
decreases.  Tasks can wait for the next revision instead of polling.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.declarations import Config


class ConfigStore:
    """The newest configuration that this process has received."""

    def __init__(self, config: Config | None = None) -> None:
        self._config = config if config is not None else Config()
        self._changed = asyncio.Event()

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self._config

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 before the first one."""
        return self._config.revision

    def offer(self, config: Config) -> bool:
        """Put ``config`` in force if it is newer; return whether it was."""
        if config.revision < self._config.revision:
            return False
        if config.revision == self._config.revision:
            self._check_same(config)
            return False
        self._config = config
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_newer(self, revision: int) -> Config:
        """Wait for a revision above ``revision`` and return its configuration."""
        while self._config.revision <= revision:
            await self._changed.wait()
        return self._config

    def _check_same(self, config: Config) -> None:
        if config != self._config:
            raise InvariantError(
                f"two configurations have revision {config.revision} but differ;"
                " compare the audit trails of the control replicas"
            )
