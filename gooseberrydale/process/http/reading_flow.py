"""Pauses the reading of a connection for the application and for requests ahead."""

from __future__ import annotations

from uvicorn.protocols.http.flow_control import FlowControl


class ReadingFlow(FlowControl):
    """uvicorn's flow control, whose application can't resume what is held here."""

    _is_held = False

    def hold(self) -> None:
        """Read nothing until ``release``."""
        self._is_held = True
        self.pause_reading()

    def release(self) -> None:
        """Read on."""
        self._is_held = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read on unless reading is held."""
        if not self._is_held:
            super().resume_reading()
