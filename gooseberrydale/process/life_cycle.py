"""The incarnation cycle of a process: starting, serving, draining, stopped.

One machine lives as long as its process.  It refuses every step out of order, so
that a process which was told to stop can't be brought back to serving.
"""

from __future__ import annotations

from enum import StrEnum

from transitions import Machine, MachineError

from gooseberrydale.errors import InvariantError


class Stage(StrEnum):
    """The stages that a process passes through, in this order."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


_STEPS = [
    ["begin_serving", Stage.STARTING.value, Stage.SERVING.value],
    ["begin_draining", Stage.SERVING.value, Stage.DRAINING.value],
    ["finish", Stage.DRAINING.value, Stage.STOPPED.value],
    ["give_up", Stage.STARTING.value, Stage.STOPPED.value],
]


class LifeCycle:
    """Where a process stands; each method is one step."""

    def __init__(self) -> None:
        self._machine = Machine(
            states=[stage.value for stage in Stage],
            transitions=_STEPS,
            initial=Stage.STARTING.value,
            auto_transitions=False,
        )

    @property
    def stage(self) -> Stage:
        """The stage that the process is in."""
        return Stage(self._machine.state)

    def begin_serving(self) -> None:
        """The role has started."""
        self._step("begin_serving")

    def begin_draining(self) -> None:
        """The process was told to stop; what runs is finished."""
        self._step("begin_draining")

    def finish(self) -> None:
        """The role has closed."""
        self._step("finish")

    def give_up(self) -> None:
        """The role did not start."""
        self._step("give_up")

    def _step(self, name: str) -> None:
        try:
            self._machine.trigger(name)
        except MachineError as exc:
            raise InvariantError(f"{name} while {self.stage}") from exc
