"""Run every test suite and print one closing line, ``N passed, N failed``.

Runs pytest (units, randomised state machines) and behave (one feature per promise
of the product), reads both reports, and passes over only what KNOWN-RED.txt lists.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


def known_red() -> set[str]:
    """Names of tests that are listed as red, one a line before the first colon."""
    if not KNOWN_RED.exists():
        return set()
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    names = {line.split(":")[0].strip() for line in lines if line}
    if len(names) > KNOWN_RED_LIMIT:
        sys.exit(f"KNOWN-RED.txt lists {len(names)} tests; {KNOWN_RED_LIMIT} at most")
    return names


def outcomes(report_dir: pathlib.Path) -> dict[str, bool]:
    """Map each test that ran to whether it passed."""
    found: dict[str, bool] = {}
    for path in sorted(report_dir.rglob("*.xml")):
        for case in ElementTree.parse(path).iter("testcase"):
            name = f"{case.get('classname')} {case.get('name')}"
            bad = case.find("failure") is not None or case.find("error") is not None
            found[name] = not bad and case.find("skipped") is None
    return found


def run(command: list[str]) -> int:
    """Run one suite with its output shown."""
    print("$", " ".join(command[2:4]), flush=True)
    return subprocess.run(command, cwd=ROOT).returncode


def main() -> int:
    """Return 0 only if every suite ran and only listed tests failed."""
    red = known_red()
    with tempfile.TemporaryDirectory() as tmp:
        units, scenarios = pathlib.Path(tmp, "units"), pathlib.Path(tmp, "features")
        units.mkdir()
        python = sys.executable
        codes = [
            run([python, "-m", "pytest", f"--junitxml={units}/units.xml"]),
            run(
                [python, "-m", "behave", "-f", "progress", "--junit"]
                + ["--junit-directory", str(scenarios), "--no-capture"]
            ),
        ]
        reports = [outcomes(units), outcomes(scenarios)]
    failed = [n for r in reports for n, ok in r.items() if not ok]
    passed = sum(len(r) for r in reports) - len(failed)
    unlisted = [name for name in failed if name not in red]
    for name in failed:
        print("known red:" if name in red else "FAILED:", name)
    broken = any(c not in (0, 1) or (c and not r) for c, r in zip(codes, reports))
    if any(codes) and not failed:
        broken = True
    print(f"{passed} passed, {len(failed)} failed", flush=True)
    return 1 if unlisted or broken else 0


if __name__ == "__main__":
    sys.exit(main())
