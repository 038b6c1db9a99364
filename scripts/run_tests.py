"""Run every test suite and print one closing line, ``N passed, N failed``.

Runs pytest (units, randomised state machines) and behave (features on processes) beside
each other, reads their reports, and passes over only what KNOWN-RED.txt lists.
"""

from __future__ import annotations

import concurrent.futures
import pathlib
import subprocess
import sys
import tempfile
import threading
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3
FEATURE_GROUPS = 3

SUITE_BOUND_S = 1_800.0
"""The longest suite takes ten minutes on a busy machine; a run without an end tells
nothing at all."""

NOT_ENDED = 124
"""Exit code of a suite that was ended at its bound."""

_printing = threading.Lock()


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


def features_in_groups() -> list[list[str]]:
    """Feature files in groups that run beside each other."""
    names = sorted(str(path) for path in (ROOT / "features").glob("*.feature"))
    return [names[start::FEATURE_GROUPS] for start in range(FEATURE_GROUPS)]


def commands(reports: pathlib.Path) -> dict[pathlib.Path, list[str]]:
    """The suites by the folder that takes the report of each."""
    python, units = sys.executable, reports / "units"
    found = {units: [python, "-m", "pytest", f"--junitxml={units}/units.xml"]}
    behave = [python, "-m", "behave", "-f", "progress", "--no-capture", "--junit"]
    for number, files in enumerate(features_in_groups()):
        folder = reports / f"features-{number}"
        found[folder] = [*behave, "--junit-directory", str(folder), *files]
    return found


def run(
    command: list[str], folder: pathlib.Path, bound_s: float = SUITE_BOUND_S
) -> int:
    """Run one suite; its output is shown once it has ended, or was ended.

    The output goes to a file: the end of a pipe would be waited for as long as any
    process that a test left behind holds it open.
    """
    folder.mkdir()
    path = folder / "output.txt"
    with open(path, "wb") as output:
        suite = subprocess.Popen(
            command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT
        )
        try:
            code = suite.wait(bound_s)
        except subprocess.TimeoutExpired:
            suite.kill()
            suite.wait()
            code = NOT_ENDED
    with _printing:
        print("$", *command[2:], flush=True)
        sys.stdout.buffer.write(path.read_bytes())
        if code == NOT_ENDED:
            print(f"FAILED: the suite has not ended within {bound_s:.0f} s")
        sys.stdout.flush()
    return code


def main() -> int:
    """Return 0 only if every suite ran and only listed tests failed."""
    red = known_red()
    with tempfile.TemporaryDirectory() as tmp:
        suites = commands(pathlib.Path(tmp))
        with concurrent.futures.ThreadPoolExecutor(len(suites)) as pool:
            codes = list(pool.map(run, suites.values(), suites))
        reports = [outcomes(folder) for folder in suites]
    failed = [name for report in reports for name, ok in report.items() if not ok]
    passed = sum(len(report) for report in reports) - len(failed)
    unlisted = [name for name in failed if name not in red]
    for name in failed:
        print("known red:" if name in red else "FAILED:", name)
    broken = any(is_broken(c, r) for c, r in zip(codes, reports, strict=True))
    print(f"{passed} passed, {len(failed)} failed", flush=True)
    return 1 if unlisted or broken else 0


def is_broken(code: int, report: dict[str, bool]) -> bool:
    """Whether a suite ended in another way than by the outcomes of its tests."""
    if not report or code not in (0, 1):
        return True
    return code == 1 and all(report.values())


if __name__ == "__main__":
    sys.exit(main())
