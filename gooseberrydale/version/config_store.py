"""Holds the configuration in force in this process.

Lives as long as the process.  Whoever receives a configuration offers it here;
only one of a higher revision replaces the current one, so the revision in force
never falls.  Tasks wait for the next revision instead of polling.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.declarations import Config


class ConfigStore:
    """The newest configuration that this process has seen."""

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
        """Put ``config`` in force if it is newer; say whether it was."""
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
        """Return once a revision above ``revision`` is in force."""
        while self._config.revision <= revision:
            await self._changed.wait()
        return self._config

    def _check_same(self, config: Config) -> None:
        if config != self._config:
            raise InvariantError(
                f"two configurations carry revision {config.revision};"
                " compare the audit trails of the control replicas"
            )
