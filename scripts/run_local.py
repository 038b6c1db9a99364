"""Start the product on this machine, send the first requests, serve on.

Usage: ``python scripts/run_local.py --port 8080``; Ctrl-C ends it.  Only the process
that it starts itself is ended.
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
    """Start all roles in one process; it logs to standard error."""
    command = [sys.executable, "-m", "gooseberrydale", "local", f"--port={port}"]
    return subprocess.Popen([*command, f"--ready-file={ready_file}"], cwd=ROOT)


def wait_until_ready(process: subprocess.Popen[bytes], ready_file: pathlib.Path) -> str:
    """Return the address that callers use; exit if the process does not serve."""
    end = time.monotonic() + START_BOUND_S
    while not ready_file.exists():
        code = process.poll()
        if code is not None:
            sys.exit(f"the product ended with code {code}; see its log above")
        if time.monotonic() > end:
            sys.exit(f"the product did not serve within {START_BOUND_S:g} s")
        time.sleep(POLL_S)
    addresses: dict[str, str] = json.loads(ready_file.read_text())
    return addresses["http"]


def serve(process: subprocess.Popen[bytes], ready_file: pathlib.Path) -> int:
    """Send the first requests, then wait for the end of the process."""
    url = f"http://{wait_until_ready(process, ready_file)}"
    command = [sys.executable, str(ROOT / "scripts/first_requests.py"), "--url", url]
    if subprocess.run(command).returncode != 0:
        return 1
    print(f"\nServing on {url} (profile 'example', key 'local'); Ctrl-C ends it.")
    sys.stdout.flush()
    return process.wait()


def interrupt(_number: int, _frame: object) -> None:
    """Treat SIGTERM as Ctrl-C."""
    raise KeyboardInterrupt


def main() -> int:
    """Return the exit code of the product."""
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
