"""The runner: a role's life cycle and the exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from gooseberrydale.errors import INVALID_JSON, InvariantError, ProblemError, problem
from gooseberrydale.process.life_cycle import LifeCycle, Stage
from gooseberrydale.process.runner import ExitCode, run_role

# Stops the process if the broken invariant did not.
FALLBACK_STOP_S = 2.0


class FakeRole:
    """Records its calls; a test sets what each of them does."""

    def __init__(self, start: str = "", close: str = "") -> None:
        self.calls: list[str] = []
        self.addresses = {"http": "127.0.0.1:4711"}
        self._actions = {"start": start, "close": close}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self.calls.append("start")
        await self._act(self._actions["start"] or "signal soon")

    async def close(self) -> None:
        self.calls.append("close")
        await self._act(self._actions["close"])

    async def _act(self, action: str) -> None:
        loop = asyncio.get_running_loop()
        match action:
            case "taken address":
                raise OSError("address in use")
            case "fault":
                raise RuntimeError("a fault of the role")
            case "signal soon":
                loop.call_later(0.01, os.kill, os.getpid(), signal.SIGTERM)
            case "signal and hang":
                os.kill(os.getpid(), signal.SIGTERM)
                await loop.create_future()
            case "broken invariant in a task":
                loop.create_task(self._break())
                loop.call_later(FALLBACK_STOP_S, os.kill, os.getpid(), signal.SIGTERM)

    async def _break(self) -> None:
        raise InvariantError("two leaders in one term")


@pytest.mark.parametrize(
    ("role", "code", "calls"),
    [
        (FakeRole(), ExitCode.OK, ["start", "close"]),
        (FakeRole(start="taken address"), ExitCode.NOT_STARTED, ["start", "close"]),
        (FakeRole(start="fault"), ExitCode.NOT_STARTED, ["start", "close"]),
        (FakeRole(start="signal and hang"), ExitCode.OK, ["start", "close"]),
        (FakeRole(close="fault"), ExitCode.NOT_DRAINED, ["start", "close"]),
        (
            FakeRole(start="broken invariant in a task"),
            ExitCode.INVARIANT_BROKEN,
            ["start", "close"],
        ),
    ],
)
def test_role_is_always_closed_and_exit_code_matches(
    role: FakeRole, code: ExitCode, calls: list[str]
) -> None:
    assert run_role(lambda: role) == code
    assert role.calls == calls


def test_fault_in_a_file_named_by_settings_exits_with_invalid_settings() -> None:
    def make() -> FakeRole:
        raise ProblemError(problem(INVALID_JSON, reason="for this test"))

    assert run_role(make) == ExitCode.INVALID_SETTINGS


def test_ready_file_contains_the_bound_addresses(tmp_path: Path) -> None:
    path = tmp_path / "ready.json"
    run_role(FakeRole, path)
    assert json.loads(path.read_text()) == {"http": "127.0.0.1:4711"}
    assert os.listdir(tmp_path) == ["ready.json"]


def test_failed_start_writes_no_ready_file(tmp_path: Path) -> None:
    run_role(lambda: FakeRole(start="fault"), tmp_path / "ready.json")
    assert os.listdir(tmp_path) == []


def test_draining_process_can_not_serve_again() -> None:
    life_cycle = LifeCycle()
    life_cycle.begin_serving()
    life_cycle.begin_draining()
    with pytest.raises(InvariantError):
        life_cycle.begin_serving()
    assert life_cycle.stage == Stage.DRAINING
