"""run_tests ends and reports a result even if a suite hangs or leaves processes."""

from __future__ import annotations

import sys
import time

import pytest

from scripts.run_tests import TIMEOUT_EXIT_CODE, ended_abnormally, run_suite

LEAVES_A_PROCESS = """
import subprocess, sys
subprocess.Popen([sys.executable, "-c", "import time; time.sleep(8)"])
print("ended")
"""


def test_a_process_left_running_does_not_delay_the_end_of_a_suite(tmp_path, capfd):
    started = time.monotonic()
    command = [sys.executable, "-c", LEAVES_A_PROCESS]
    assert run_suite(command, tmp_path / "suite", bound_s=30.0) == 0
    assert time.monotonic() < started + 6.0
    assert "ended" in capfd.readouterr().out


def test_a_suite_that_hangs_is_killed_and_reported_as_ended_abnormally(tmp_path, capfd):
    command = [sys.executable, "-c", "import time; time.sleep(60)"]
    code = run_suite(command, tmp_path / "suite", bound_s=0.5)
    assert code == TIMEOUT_EXIT_CODE
    assert ended_abnormally(code, {"a test": True})
    assert "has not ended" in capfd.readouterr().out


@pytest.mark.parametrize("code", [0, 3])
def test_the_exit_code_of_a_suite_is_returned(tmp_path, code):
    command = [sys.executable, "-c", f"raise SystemExit({code})"]
    assert run_suite(command, tmp_path / "suite") == code
