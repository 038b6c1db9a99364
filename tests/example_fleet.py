"""Starts a deployment of examples/ on loopback, as its operators would.

Its files are used unchanged, except that the addresses of the instances are replaced by
loopback addresses.  Secrets are written next to the files.
"""

from __future__ import annotations

import pathlib
import re
import sys
import tomllib

from tests.fleet import OPERATOR_TOKEN, ROOT, Fleet, wait_until

EXAMPLES = ROOT / "examples"
ADDRESS = re.compile(r"\b10\.\d+\.\d+\.\d+\b")
FIRST_REPLICA = "control-1"
SERVICE_KIND = "service"


class ExampleFleet(Fleet):
    """All processes of one deployment, named after their settings files."""

    def __init__(self, folder: pathlib.Path, deployment: str) -> None:
        super().__init__(folder, ())
        self._source = EXAMPLES / deployment
        for path in sorted((self._source / "settings").glob("*.toml")):
            self._add(path)

    def apply_declarations(self) -> str:
        """Apply the declarations with the operators' command and its ``--wait``."""
        wait_until(self.control_healthy, "control replicas are missing")
        declarations = str(self._source / "declarations.toml")
        return self.cli("apply", declarations, "--wait", *self.operator_args())

    def add_key(self, workspace: str) -> str:
        """Create an API key for a workspace and return it."""
        printed = self.cli("workspace", "add_key", workspace, *self.operator_args())
        return printed.strip().splitlines()[-1]

    def _add(self, path: pathlib.Path) -> None:
        name = path.stem
        text = ADDRESS.sub(lambda match: self.host(match[0]), path.read_text())
        self.cfg_path(name).write_text(text)
        table = tomllib.loads(text)
        role = next(r for r in ("control", "entry", "sidecar") if r in table)
        if role == "sidecar":
            self._add_example_upstream(name, table["sidecar"])
        else:
            names = self.controls if role == "control" else self.entries
            names.append(name)
            listener = table[role]["http"].rpartition(":")[0]
            self._hosts[name] = listener
        self._add_role(name, role)

    def _add_example_upstream(self, name: str, sidecar: dict[str, str]) -> None:
        host, port = sidecar["upstream"].removeprefix("http://").split(":")
        self._hosts[f"upstream-{name}"] = host
        is_service = sidecar["kind"] == SERVICE_KIND
        argv = [sys.executable, "-m", "gooseberrydale.example"]
        argv += ["service"] if is_service else ["engine", "--model", sidecar["model"]]
        argv += ["--host", host, "--port", port]
        self._add_process(f"upstream-{name}", argv)


def started(folder: pathlib.Path, deployment: str) -> ExampleFleet:
    """Write the secrets, start all processes, and return the fleet."""
    fleet = ExampleFleet(folder, deployment)
    (folder / "fleet.token").write_text("fleet-token-of-an-example-deployment")
    (folder / "operator-token").write_text(OPERATOR_TOKEN)
    fleet.start()
    return fleet
