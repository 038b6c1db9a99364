"""The command line, run as a process of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

import gooseberrydale
from tests.test_cfg_file import ENTRY, FIVE_FAULTS, write

BOUND_S = 60.0
CONTROL = """
[node]
name = "control-1"

[fleet]
token_file = "token"

[control]
data_dir = "data"
"""


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


def test_a_cluster_is_started_once_and_recovered_only_by_force(tmp_path: Path) -> None:
    (tmp_path / "token").write_text("fleet-token-of-this-test")
    path = str(write(tmp_path, CONTROL))
    assert run("control", "recover", "--cfg", path).returncode == 1
    started = run("control", "init", "--cfg", path)
    assert started.returncode == 0, started.stderr
    again = run("control", "init", "--cfg", path)
    assert (again.returncode, again.stdout) == (1, "")
    asked = run("control", "recover", "--cfg", path)
    assert asked.returncode == 0 and "nothing was changed" in asked.stdout
    forced = run("control", "recover", "--cfg", path, "--force")
    assert forced.returncode == 0 and "only member now" in forced.stdout


def test_control_names_the_faults_of_its_settings(tmp_path: Path) -> None:
    path = str(write(tmp_path, FIVE_FAULTS))
    for args in (("control",), ("control", "init"), ("control", "recover")):
        done = run(*args, "--cfg", path)
        assert done.returncode == 2 and "entry.http" in done.stderr
