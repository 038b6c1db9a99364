"""What the parts that run a role need of it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Role(Protocol):
    """What the runner needs of a role."""

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listeners by name as ``IP:PORT``, known once started."""

    async def start(self) -> None:
        """Bind the listeners and serve; raises OSError if an address is taken."""

    async def close(self) -> None:
        """Take no new work, finish what runs, release everything."""
