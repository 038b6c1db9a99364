"""The runner: order of a role's incarnation, and what each exit code says."""

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

UNNOTICED_S = 2.0


class FakeRole:
    """Notes its calls; a test replaces what it does in each of them."""

    def __init__(self, start: str = "", close: str = "") -> None:
        self.calls: list[str] = []
        self.addresses = {"http": "127.0.0.1:4711"}
        self._do = {"start": start, "close": close}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self.calls.append("start")
        await self._act(self._do["start"] or "signal soon")

    async def close(self) -> None:
        self.calls.append("close")
        await self._act(self._do["close"])

    async def _act(self, what: str) -> None:
        loop = asyncio.get_running_loop()
        match what:
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
                loop.call_later(UNNOTICED_S, os.kill, os.getpid(), signal.SIGTERM)

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
def test_a_role_is_always_closed_and_the_code_says_how_it_went(
    role: FakeRole, code: ExitCode, calls: list[str]
) -> None:
    assert run_role(lambda: role) == code
    assert role.calls == calls


def test_a_role_that_finds_faults_in_its_files_is_a_fault_of_settings() -> None:
    def make() -> FakeRole:
        raise ProblemError(problem(INVALID_JSON, reason="for this test"))

    assert run_role(make) == ExitCode.INVALID_SETTINGS


def test_the_ready_file_holds_the_bound_addresses(tmp_path: Path) -> None:
    path = tmp_path / "ready.json"
    run_role(FakeRole, path)
    assert json.loads(path.read_text()) == {"http": "127.0.0.1:4711"}
    assert os.listdir(tmp_path) == ["ready.json"]


def test_no_ready_file_is_written_if_the_start_fails(tmp_path: Path) -> None:
    run_role(lambda: FakeRole(start="fault"), tmp_path / "ready.json")
    assert os.listdir(tmp_path) == []


def test_a_process_told_to_stop_does_not_serve_again() -> None:
    incarnation = LifeCycle()
    incarnation.begin_serving()
    incarnation.begin_draining()
    with pytest.raises(InvariantError):
        incarnation.begin_serving()
    assert incarnation.stage == Stage.DRAINING
