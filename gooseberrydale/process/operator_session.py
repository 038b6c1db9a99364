"""What all operators' commands share: options, changes, waiting, exit codes.

A command returns a :class:`Command`; once its arguments have been checked, it is run
with a :class:`Session`, which talks to control and prints the results.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok

from gooseberrydale.connection.control_messages import Edit
from gooseberrydale.errors import (
    CONTROL_UNREACHABLE,
    NO_QUORUM,
    NOT_LEADER,
    Problem,
)
from gooseberrydale.process.operator_client import OperatorClient, Target
from gooseberrydale.process.operator_output import as_columns, as_json
from gooseberrydale.version.declarations import Config, Profile, Workspace

CONTROL_VARIABLE = "GOOSEBERRYDALE_CONTROL"
TOKEN_FILE_VARIABLE = "GOOSEBERRYDALE_TOKEN_FILE"
POLL_INTERVAL_S = 0.2
CHANGE_ID_BYTES = 8
NO_ANSWER_CODES = (CONTROL_UNREACHABLE.code, NO_QUORUM.code, NOT_LEADER.code)
PROCESS_COLUMNS = ("role", "name", "zone", "revision", "behind", "heard_s_ago")


class OperatorExit(IntEnum):
    """Exit codes of the operators' commands.

    REFUSED: control refused the command, or it names an unknown object.  USAGE: an
    argument, setting or file is invalid.  NO_ANSWER: no replica could answer.
    NOT_IN_FORCE: a change is committed, but not in force at every process in time.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    NO_ANSWER = 3
    NOT_IN_FORCE = 4


@dataclass(frozen=True, slots=True)
class Options:
    """Flags that all operators' commands share.

    ``control`` lists the URLs of the replicas.  ``base`` is the revision that a change
    is based on, by default the newest.  ``change_id`` identifies a change, so that it
    can be sent again without being applied twice.  ``timeout_s`` bounds each request,
    and the wait for a revision to be in force.
    """

    control: Any = ""
    token_file: str = ""
    ca_file: str = ""
    json: bool = False
    wait: bool = False
    change_id: str = ""
    dry_run: bool = False
    base: int | None = None
    timeout_s: float = 10.0


class CommandError(Exception):
    """Ends a command with exit code ``code``; ``lines`` go to standard error."""

    def __init__(self, code: OperatorExit, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


class Session:
    """Sends the requests of one command to control and prints the results."""

    def __init__(self, options: Options, client: OperatorClient) -> None:
        self.options = options
        self._client = client

    async def get(self, path: str) -> Any:
        """Return the JSON object at ``path``; raises CommandError on a refusal."""
        return _unwrap(await self._client.get(path))

    async def config(self) -> Config:
        """Return the newest committed declarations, from the leader."""
        table = _unwrap(await self._client.get_from_leader("/v1/config"))
        return parse_config(table)

    async def change(self, base: int, edits: Sequence[Edit]) -> None:
        """Send one change and print its revision; with ``--wait``, wait for it.

        ``base`` is the revision that ``edits`` were made from.
        """
        change_id = self.options.change_id or secrets.token_hex(CHANGE_ID_BYTES)
        body = {
            "change_id": change_id,
            "base": base if self.options.base is None else self.options.base,
            "edits": [msgspec.to_builtins(edit) for edit in edits],
            "dry_run": self.options.dry_run,
        }
        reply = await self._send("/v1/changes", body)
        revision = reply["revision"]
        if self.options.dry_run:
            self.print_result(f"would become revision {revision}", reply)
            return
        self.print_result(
            f"revision {revision} committed", reply | {"change_id": change_id}
        )
        if self.options.wait:
            await self.wait(revision)

    async def order(self, upstream: str, kind: str, model: str, version: str) -> None:
        """Place an order for an upstream and print it."""
        body = {
            "change_id": self.options.change_id or secrets.token_hex(CHANGE_ID_BYTES),
            "upstream": upstream,
            "kind": kind,
            "model": model,
            "version": version,
        }
        reply = await self._send("/v1/orders", body)
        self.print_result(f"order {reply['order']['order_id']} placed", reply)

    async def release(self, digest: str) -> None:
        """Let a quarantined request run again."""
        reply = _unwrap(
            await self._client.post("/v1/quarantined/release", {"digest": digest})
        )
        self.print_result(f"{reply['released']} may run again", reply)

    async def wait(self, revision: int) -> Any:
        """Return the status once ``revision`` is in force at every process.

        Raises CommandError with NOT_IN_FORCE after ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.options.timeout_s
        while True:
            status = await self.get("/v1/status")
            if status["revision"] >= revision and status["in_force_everywhere"]:
                self.print_result(f"revision {revision} in force everywhere")
                return status
            if loop.time() + POLL_INTERVAL_S >= deadline:
                raise CommandError(
                    OperatorExit.NOT_IN_FORCE, *_describe_not_in_force(status)
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    def print_result(self, text: str, table: Any = None) -> None:
        """Print ``text``; with ``--json``, print ``table`` instead if there is one."""
        if not self.options.json:
            print(text)
        elif table is not None:
            print(as_json(table))

    async def _send(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        result = await self._client.post(path, body)
        if result.is_err() and result.unwrap_err().code in NO_ANSWER_CODES:
            refusal = result.unwrap_err().message
            hint = f"pass --change-id {body['change_id']} to send the same change again"
            raise CommandError(OperatorExit.NO_ANSWER, refusal, hint)
        table: dict[str, Any] = _unwrap(result)
        return table


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command; ``act`` carries it out in a session.

    Nothing is sent to control before that.
    """

    options: Options
    act: Callable[[Session], Awaitable[None]]


def run_command(result: Any) -> Any:
    """Carry out the command that a fire component returned.

    Pass this to fire as ``serialize``, which is called after all arguments have been
    accepted.  If the commands acted as soon as fire called them, a mistyped
    ``--dry-run`` would be reported only after the change was made.  Exits the process
    with the command's code if it fails.
    """
    if not isinstance(result, Command):
        return result
    try:
        asyncio.run(_run(result))
    except CommandError as exc:
        for line in exc.lines:
            print(line, file=sys.stderr)
        sys.exit(exc.code)
    return None


async def _run(command: Command) -> None:
    async with OperatorClient(_target(command.options)) as client:
        await command.act(Session(command.options, client))


def parse_config(table: dict[str, Any]) -> Config:
    """Return the declarations in a response to ``GET /v1/config``."""
    profiles = msgspec.convert(table["profiles"], list[Profile])
    workspaces = msgspec.convert(table["workspaces"], list[Workspace])
    return Config(
        revision=table["revision"],
        profiles={profile.name: profile for profile in profiles},
        workspaces={workspace.name: workspace for workspace in workspaces},
        leaving=frozenset(table["leaving"]),
    )


def parse_names(value: Any) -> tuple[str, ...]:
    """Return the names in a flag's value; fire turns ``a,b`` into a tuple."""
    if isinstance(value, list | tuple):
        return tuple(str(item).strip() for item in value)
    return tuple(name.strip() for name in str(value).split(",") if name.strip())


def _target(options: Options) -> Target:
    urls = parse_names(options.control or os.environ.get(CONTROL_VARIABLE, ""))
    if not urls:
        remedy = f"pass --control URL[,URL...] or set {CONTROL_VARIABLE}"
        raise CommandError(OperatorExit.USAGE, f"no control replica is given; {remedy}")
    token_file = options.token_file or os.environ.get(TOKEN_FILE_VARIABLE, "")
    if not token_file:
        remedy = f"pass --token-file FILE or set {TOKEN_FILE_VARIABLE}"
        raise CommandError(OperatorExit.USAGE, f"no operator token is given; {remedy}")
    token = _read_secret(Path(token_file))
    return Target(urls, token, options.ca_file, float(options.timeout_s))


def _read_secret(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        text = f"{path} can't be read ({exc.strerror}); check the path"
        raise CommandError(OperatorExit.USAGE, text) from exc


def _unwrap(result: Any) -> Any:
    match result:
        case Ok(table):
            return table
        case Err(refusal):
            raise CommandError(_exit_code(refusal), refusal.message)


def _exit_code(refusal: Problem) -> OperatorExit:
    if refusal.code in NO_ANSWER_CODES:
        return OperatorExit.NO_ANSWER
    return OperatorExit.REFUSED


def _describe_not_in_force(status: dict[str, Any]) -> tuple[str, ...]:
    behind = [process for process in status["processes"] if process["behind"]]
    text = f"revision {status['revision']} is committed but not in force everywhere"
    if not behind:
        return (
            f"{text}: some processes have not reported to control yet;"
            " check again with the status command",
        )
    return (
        f"{text}; these processes are behind, check them:",
        as_columns(behind, PROCESS_COLUMNS),
    )
