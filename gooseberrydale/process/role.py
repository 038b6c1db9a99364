"""The interface of a role towards the code that runs it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Role(Protocol):
    """A role of the router (entry, gateway, sidecar or control) in this process."""

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listeners by name as ``IP:PORT``; complete once the role has started."""

    async def start(self) -> None:
        """Bind the listeners and serve; raises OSError if an address is in use."""

    async def close(self) -> None:
        """Accept no new work, finish open work, release all resources."""
