"""Start all roles on this machine, send two example requests and go on serving.

Usage: ``python scripts/run_local.py --port 8080``; Ctrl-C stops the process that the
script started, and no other.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_BOUND_S = 60.0
POLL_S = 0.05


def start(port: int, ready_file: pathlib.Path) -> subprocess.Popen[bytes]:
    """Start all roles in one process, which logs to standard error."""
    command = [sys.executable, "-m", "gooseberrydale", "local", f"--port={port}"]
    return subprocess.Popen([*command, f"--ready-file={ready_file}"], cwd=ROOT)


def wait_until_ready(process: subprocess.Popen[bytes], ready_file: pathlib.Path) -> str:
    """Return the address for callers; exit with an error if the process fails."""
    end = time.monotonic() + START_BOUND_S
    while not ready_file.exists():
        code = process.poll()
        if code is not None:
            sys.exit(f"gooseberrydale exited with code {code}; see its log above")
        if time.monotonic() > end:
            sys.exit(
                f"gooseberrydale did not write {ready_file} within"
                f" {START_BOUND_S:g} s; see its log above"
            )
        time.sleep(POLL_S)
    addresses: dict[str, str] = json.loads(ready_file.read_text())
    return addresses["http"]


def serve(process: subprocess.Popen[bytes], ready_file: pathlib.Path) -> int:
    """Send the example requests, then wait until the process exits."""
    url = f"http://{wait_until_ready(process, ready_file)}"
    command = [sys.executable, str(ROOT / "scripts/first_requests.py"), "--url", url]
    if subprocess.run(command).returncode != 0:
        return 1
    print(f"\nServing on {url} (profile 'example', key 'local'); Ctrl-C stops it.")
    sys.stdout.flush()
    return process.wait()


def interrupt(_number: int, _frame: object) -> None:
    """Handle SIGTERM like Ctrl-C."""
    raise KeyboardInterrupt


def main() -> int:
    """Return the exit code; 0 after Ctrl-C."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=8080)
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, interrupt)
    with tempfile.TemporaryDirectory() as tmp:
        ready_file = pathlib.Path(tmp, "ready.json")
        process = start(args.port, ready_file)
        try:
            return serve(process, ready_file)
        except KeyboardInterrupt:
            return 0
        finally:
            if process.poll() is None:
                process.terminate()
            process.wait()


if __name__ == "__main__":
    sys.exit(main())
