"""The life cycle of a process: starting, serving, draining, stopped.

It is a state machine, one per process, that rejects every step out of order, so that
a process that was asked to stop can't return to serving.
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


# Trigger, state before, state after.
_TRANSITIONS = [
    ["begin_serving", Stage.STARTING.value, Stage.SERVING.value],
    ["begin_draining", Stage.SERVING.value, Stage.DRAINING.value],
    ["finish", Stage.DRAINING.value, Stage.STOPPED.value],
    ["give_up", Stage.STARTING.value, Stage.STOPPED.value],
]


class LifeCycle:
    """The stage of a process; each method is a transition to the next one."""

    def __init__(self) -> None:
        self._machine = Machine(
            states=[stage.value for stage in Stage],
            transitions=_TRANSITIONS,
            initial=Stage.STARTING.value,
            auto_transitions=False,
        )

    @property
    def stage(self) -> Stage:
        """The current stage."""
        return Stage(self._machine.state)

    def begin_serving(self) -> None:
        """Enter SERVING: the role has started."""
        self._step("begin_serving")

    def begin_draining(self) -> None:
        """Enter DRAINING: the process was asked to stop and finishes open work."""
        self._step("begin_draining")

    def finish(self) -> None:
        """Enter STOPPED: the role has closed."""
        self._step("finish")

    def give_up(self) -> None:
        """Enter STOPPED: the role failed to start."""
        self._step("give_up")

    def _step(self, name: str) -> None:
        try:
            self._machine.trigger(name)
        except MachineError as exc:
            raise InvariantError(
                f"life cycle step {name!r} is not allowed while {self.stage}"
            ) from exc
