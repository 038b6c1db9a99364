"""Check a built binary: it runs as a single process and stops on SIGTERM.

Usage: ``python scripts/check_binary.py dist/gooseberrydale.pyz``.  It starts the
binary on a loopback port and stops only processes that it started.
"""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile
import time

import psutil

import gooseberrydale

TIMEOUT_S = 60.0
POLL_S = 0.05
SETTINGS = """
[node]
name = "entry-1"
[fleet]
token_file = "fleet.token"
controls = ["127.0.0.1:1"]
[entry]
http = "127.0.0.1:0"
rpc = "127.0.0.1:0"
drain_s = 1.0
"""


def check_version(argv: list[str], env: dict[str, str]) -> None:
    """Exit with an error unless the binary prints the version of this source tree."""
    done = subprocess.run(
        [*argv, "version"], env=env, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    if done.stdout.strip() != gooseberrydale.__version__:
        sys.exit(
            f"version printed {done.stdout!r}, expected"
            f" {gooseberrydale.__version__!r}: {done.stderr}"
        )


def check_one_process(
    argv: list[str], env: dict[str, str], folder: pathlib.Path
) -> None:
    """Exit with an error unless an entry serves in one process and stops."""
    (folder / "fleet.token").write_text("a token for this check")
    settings = folder / "entry.toml"
    settings.write_text(SETTINGS)
    ready = folder / "ready.json"
    flags = ["entry", "--cfg", str(settings), "--ready-file", str(ready)]
    process = subprocess.Popen([*argv, *flags], env=env)
    try:
        wait_for(ready, process)
        children = psutil.Process(process.pid).children(recursive=True)
        if children:
            for child in children:
                child.kill()
            sys.exit(f"the binary runs as {1 + len(children)} processes, expected 1")
        process.terminate()
        code = process.wait(TIMEOUT_S)
        if code != 0:
            sys.exit(f"the entry exited with code {code} on SIGTERM, expected 0")
    finally:
        if process.poll() is None:
            process.kill()


def wait_for(path: pathlib.Path, process: subprocess.Popen[bytes]) -> None:
    """Wait for the file; exit with an error if the process ends or takes too long."""
    end = time.monotonic() + TIMEOUT_S
    while not path.exists():
        if process.poll() is not None or time.monotonic() > end:
            sys.exit(
                f"the entry exited, or did not write {path} within {TIMEOUT_S:g} s"
            )
        time.sleep(POLL_S)


def main() -> None:
    """Run all checks on the binary named on the command line."""
    binary = pathlib.Path(sys.argv[1]).resolve()
    argv = [sys.executable, str(binary)]
    with tempfile.TemporaryDirectory() as tmp:
        folder = pathlib.Path(tmp)
        env = {**os.environ, "SHIV_ROOT": str(folder / "unpacked")}
        check_version(argv, env)
        check_one_process(argv, env, folder)
    print(f"{binary.name}: version, single process and shutdown checked")


if __name__ == "__main__":
    main()
