"""The command line, run in a separate process."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path

import httpx2
import pytest

import gooseberrydale
from tests.fleet import Process, wait_until
from tests.test_cfg_file import ENTRY, FIVE_FAULTS, write_settings

TIMEOUT_S = 60.0
PORTS = 'rpc = "127.0.0.1:0"\ndrain_s = 0.5\n'
METRICS = '[metrics]\nhttp = "127.0.0.1:0"\n'
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
    return subprocess.run(argv, capture_output=True, text=True, timeout=TIMEOUT_S)


def test_version_prints_the_version() -> None:
    completed = run("version")
    assert (completed.returncode, completed.stdout) == (
        0,
        f"{gooseberrydale.__version__}\n",
    )


@pytest.mark.parametrize("command", ["check", "entry"])
def test_all_faults_of_the_settings_are_printed(tmp_path: Path, command: str) -> None:
    completed = run(command, "--cfg", str(write_settings(tmp_path, FIVE_FAULTS)))
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 5
    assert "entry.http: is 'localhost:8080', not an address" in completed.stderr


def test_check_of_valid_settings_finds_no_faults(tmp_path: Path) -> None:
    path = write_settings(tmp_path, ENTRY)
    completed = run("check", "--cfg", str(path))
    assert (completed.returncode, completed.stdout) == (0, f"{path}: no faults\n")


def test_unknown_command_fails() -> None:
    assert run("no-such-command").returncode == 2


def test_init_works_once_and_recover_needs_force(tmp_path: Path) -> None:
    (tmp_path / "token").write_text("fleet-token-of-this-test")
    path = str(write_settings(tmp_path, CONTROL))
    assert run("control", "recover", "--cfg", path).returncode == 1
    started = run("control", "init", "--cfg", path)
    assert started.returncode == 0, started.stderr
    again = run("control", "init", "--cfg", path)
    assert (again.returncode, again.stdout) == (1, "")
    dry_run = run("control", "recover", "--cfg", path)
    assert dry_run.returncode == 0 and "nothing was changed" in dry_run.stdout
    forced = run("control", "recover", "--cfg", path, "--force")
    assert forced.returncode == 0 and "only member now" in forced.stdout


def test_data_folder_of_a_running_replica_is_locked(tmp_path: Path) -> None:
    (tmp_path / "token").write_text("fleet-token-of-this-test")
    ports = 'rpc = "127.0.0.1:0"\nhttp = "127.0.0.1:0"\n'
    path = str(write_settings(tmp_path, CONTROL + ports))
    assert run("control", "init", "--cfg", path).returncode == 0
    argv = [sys.executable, "-m", "gooseberrydale", "control", "--cfg", path]
    ready = tmp_path / "ready.json"
    process = Process("c", [*argv, "--ready-file", str(ready)], tmp_path / "log")
    try:
        process.start()
        wait_until(ready.exists, "the replica does not serve")
        for flags in (("init",), ("recover",), ("recover", "--force")):
            completed = run("control", *flags, "--cfg", path)
            assert (completed.returncode, completed.stdout) == (1, ""), flags
            assert "is in use" in completed.stderr
        second = run("control", "--cfg", path)
        assert second.returncode == 3 and "is in use" in second.stderr
        process.terminate()
        assert process.wait() == 0
        assert run("control", "recover", "--cfg", path).returncode == 0
    finally:
        process.kill()


def test_control_commands_print_the_faults_of_the_settings(tmp_path: Path) -> None:
    path = str(write_settings(tmp_path, FIVE_FAULTS))
    for args in (("control",), ("control", "init"), ("control", "recover")):
        completed = run(*args, "--cfg", path)
        assert completed.returncode == 2 and "entry.http" in completed.stderr


def test_role_serves_at_the_addresses_in_its_ready_file_until_sigterm(
    tmp_path: Path,
) -> None:
    settings = write_settings(
        tmp_path, ENTRY.replace("[entry]", f"{METRICS}[entry]\n{PORTS}")
    )
    ready = tmp_path / "ready.json"
    argv = [sys.executable, "-m", "gooseberrydale", "entry"]
    flags = ["--cfg", str(settings), "--ready-file", str(ready)]
    process = Process("entry", [*argv, *flags], tmp_path / "log")
    try:
        process.start()
        wait_until(ready.exists, "the entry does not serve")
        addresses = json.loads(ready.read_text())
        for name, path in (("http", "/livez"), ("metrics", "/metrics")):
            answer = httpx2.get(f"http://{addresses[name]}{path}", trust_env=False)
            assert answer.status_code == 200, name
        process.terminate()
        assert process.wait() == 0
    finally:
        process.kill()
    last = json.loads(process.output().splitlines()[-1])
    assert (last["message"], last["name"]) == ("stopped", "entry-1")


def test_address_in_use_has_its_own_exit_code(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        text = ENTRY.replace("[entry]", f"[entry]\n{PORTS}")
        completed = run(
            "entry",
            "--cfg",
            str(write_settings(tmp_path, text.replace("127.0.0.1:0", address))),
        )
    assert completed.returncode == 3
    assert f"cannot listen on {address}" in completed.stderr


SIGHUP_ON_IMPORT = """
import os, signal, sys, threading
class ImportHook:
    def find_spec(self, name, path=None, target=None):
        if name == "gooseberrydale.process.cli":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, ImportHook())
import gooseberrydale.__main__
print("alive")
"""


def test_sighup_during_the_start_does_not_end_the_process() -> None:
    """The signal arrives during the first import, before a handler could be set."""
    completed = subprocess.run(
        [sys.executable, "-c", SIGHUP_ON_IMPORT],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert (completed.returncode, completed.stdout.strip()) == (0, "alive")
