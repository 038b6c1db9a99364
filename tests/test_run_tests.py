"""The test command ends, whatever its suites and what they start do."""

from __future__ import annotations

import sys
import time

import pytest

from scripts.run_tests import NOT_ENDED, is_broken, run

LEAVES_A_PROCESS = """
import subprocess, sys
subprocess.Popen([sys.executable, "-c", "import time; time.sleep(8)"])
print("ended")
"""


def test_a_process_left_behind_does_not_hold_the_run_up(tmp_path, capfd):
    began = time.monotonic()
    command = [sys.executable, "-c", LEAVES_A_PROCESS]
    assert run(command, tmp_path / "suite", bound_s=30.0) == 0
    assert time.monotonic() < began + 6.0
    assert "ended" in capfd.readouterr().out


def test_a_suite_without_an_end_is_ended_and_counts_as_broken(tmp_path, capfd):
    command = [sys.executable, "-c", "import time; time.sleep(60)"]
    code = run(command, tmp_path / "suite", bound_s=0.5)
    assert code == NOT_ENDED
    assert is_broken(code, {"a test": True})
    assert "has not ended" in capfd.readouterr().out


@pytest.mark.parametrize("code", [0, 3])
def test_the_code_of_a_suite_is_kept(tmp_path, code):
    command = [sys.executable, "-c", f"raise SystemExit({code})"]
    assert run(command, tmp_path / "suite") == code
