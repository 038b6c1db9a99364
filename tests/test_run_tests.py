"""run_tests ends and reports a result even if a suite hangs or leaves processes."""

from __future__ import annotations

import sys
import time

import pytest

from scripts.run_tests import (
    KNOWN_RED,
    TIMEOUT_EXIT_CODE,
    ended_abnormally,
    failure_messages,
    listed_tests,
    run_suite,
)

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


ENTRY = (
    "tests.test_a test_b[1]: pytest tests/test_a.py, seed 7; seen once: late; issue 2"
)


def test_each_listed_test_has_a_command_a_seed_what_was_seen_and_an_issue():
    """Guards against tests that are passed over and that nobody can run again."""
    listed_tests(KNOWN_RED.read_text() if KNOWN_RED.exists() else "")
    other = ENTRY.replace("test_b[1]", "test_c").replace("seed 7", "no seed")
    assert listed_tests(f"{ENTRY}\n\n{other}\n") == {
        "tests.test_a test_b[1]",
        "tests.test_a test_c",
    }


@pytest.mark.parametrize(
    "line",
    [
        "tests.test_a test_b[1]",
        ENTRY.replace(": pytest tests/test_a.py", ":"),
        ENTRY.replace(", seed 7", ""),
        ENTRY.replace("; seen once: late", ""),
        ENTRY.replace("; issue 2", ""),
        ENTRY.replace("issue 2", "issue"),
        f"{ENTRY}\n{ENTRY}",
    ],
)
def test_an_incomplete_entry_is_refused(line):
    with pytest.raises(ValueError):
        listed_tests(line)


def test_the_message_of_each_failure_is_read_from_the_report(tmp_path):
    """Guards against failures in CI whose reason is in the part that is cut off."""
    (tmp_path / "units.xml").write_text(
        '<testsuite><testcase classname="a" name="b"><error message="no port"/>'
        '</testcase><testcase classname="a" name="c"/>'
        '<testcase classname="a" name="d"><failure>a trace</failure></testcase>'
        "</testsuite>"
    )
    assert failure_messages(tmp_path) == {"a b": "no port", "a d": "a trace"}
