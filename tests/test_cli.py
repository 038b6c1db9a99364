"""The command line, run as a process of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

import gooseberrydale
from tests.test_cfg_file import ENTRY, FIVE_FAULTS, write

BOUND_S = 60.0


def run(*args: str) -> subprocess.CompletedProcess[str]:
    argv = [sys.executable, "-m", "gooseberrydale", *args]
    return subprocess.run(argv, capture_output=True, text=True, timeout=BOUND_S)


def test_version_prints_the_version() -> None:
    done = run("version")
    assert (done.returncode, done.stdout) == (0, f"{gooseberrydale.__version__}\n")


@pytest.mark.parametrize("command", ["check", "entry"])
def test_faults_of_the_settings_are_all_printed(tmp_path: Path, command: str) -> None:
    done = run(command, "--cfg", str(write(tmp_path, FIVE_FAULTS)))
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 5
    assert "entry.http: is 'localhost:8080', not an address" in done.stderr


def test_check_of_sound_settings_says_so(tmp_path: Path) -> None:
    path = write(tmp_path, ENTRY)
    done = run("check", "--cfg", str(path))
    assert (done.returncode, done.stdout) == (0, f"{path}: no faults\n")


def test_an_unknown_command_fails() -> None:
    assert run("no-such-command").returncode == 2
