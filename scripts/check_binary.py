"""Check a built binary: it runs, it is one process, and it stops when told to.

Usage: ``python scripts/check_binary.py dist/gooseberrydale.pyz``.  It starts the
binary on a loopback port and ends only what it started.
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

BOUND_S = 60.0
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
    """Fail unless the binary prints this version."""
    done = subprocess.run(
        [*argv, "version"], env=env, capture_output=True, text=True, timeout=BOUND_S
    )
    if done.stdout.strip() != gooseberrydale.__version__:
        sys.exit(f"version printed {done.stdout!r}: {done.stderr}")


def check_one_process(
    argv: list[str], env: dict[str, str], folder: pathlib.Path
) -> None:
    """Fail unless an entry from the binary serves in one process and stops."""
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
            sys.exit(f"the binary runs as {1 + len(children)} processes")
        process.terminate()
        code = process.wait(BOUND_S)
        if code != 0:
            sys.exit(f"the entry ended with code {code}")
    finally:
        if process.poll() is None:
            process.kill()


def wait_for(path: pathlib.Path, process: subprocess.Popen[bytes]) -> None:
    """Return once the file is there; fail if the process ends or takes too long."""
    end = time.monotonic() + BOUND_S
    while not path.exists():
        if process.poll() is not None or time.monotonic() > end:
            sys.exit("the binary does not serve")
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
    print(f"{binary.name}: version and one process checked")


if __name__ == "__main__":
    main()
