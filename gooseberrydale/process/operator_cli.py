"""The operators' commands, as classes for ``fire``.

``fire`` derives commands and flags from the public names of these classes, and help
texts from their docstrings.  ``OperatorCommands`` is part of the product's command
line::

    gooseberrydale profile list --control http://10.0.0.1:8071 --token-file FILE
    gooseberrydale apply declarations.toml --wait
"""

from __future__ import annotations

import re
import secrets
import sys
from collections.abc import Callable
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import fire.core
from result import Err, Ok

from gooseberrydale.connection.control_messages import Edit, EditKind
from gooseberrydale.errors import UNKNOWN_NAME, problem
from gooseberrydale.process.operator_output import as_columns, as_fields
from gooseberrydale.process.operator_session import (
    PROCESS_COLUMNS,
    Command,
    CommandError,
    OperatorExit,
    Options,
    Session,
    parse_names,
)
from gooseberrydale.version.declaration_file import Declarations, difference, load
from gooseberrydale.version.declarations import Config, Profile, ProfileKind, Workspace
from gooseberrydale.version.key_index import key_digest
from gooseberrydale.version.quotas.quota import Quota, QuotaUnit

MIN_KEY_CHARS = 16
# fire reads a digest of decimal digits as a number and turns 00000000 into "0", a
# prefix that the digests of other keys may have.
MIN_DIGEST_CHARS = 8
DIGEST_PREFIX = re.compile(f"[0-9a-f]{{{MIN_DIGEST_CHARS},64}}")
NEW_KEY_BYTES = 32
PROFILE_COLUMNS = ("name", "kind", "pool", "model", "repeatable", "deadline_s")
WORKSPACE_COLUMNS = ("name", "share", "profiles", "keys")
UPSTREAM_COLUMNS = (
    "name",
    "pool",
    "zone",
    "ready",
    "leaving",
    "marked_leaving",
    "model",
    "weights_version",
    "software",
)
ORDER_COLUMNS = ("order_id", "number", "kind", "upstream", "model", "version", "state")
QUARANTINE_COLUMNS = ("digest", "ended")
AUDIT_COLUMNS = (
    "number",
    "wall_s",
    "operator",
    "action",
    "name",
    "outcome",
    "revision",
)


class _CommandGroup:
    """Base of the command groups: the shared flags, see :class:`Options`."""

    def __init__(
        self,
        *,
        control: Any = "",
        token_file: str = "",
        ca_file: str = "",
        json: bool = False,
        wait: bool = False,
        change_id: str = "",
        dry_run: bool = False,
        base: int | None = None,
        timeout_s: float = 10.0,
    ) -> None:
        self._options = Options(
            control=control,
            token_file=str(token_file),
            ca_file=str(ca_file),
            json=json,
            wait=wait,
            change_id=str(change_id),
            dry_run=dry_run,
            base=base,
            timeout_s=timeout_s,
        )

    def _list(self, path: str, key: str, columns: tuple[str, ...]) -> Command:
        async def act(session: Session) -> None:
            table = await session.get(path)
            session.print_result(as_columns(table[key], columns), table)

        return Command(self._options, act)

    def _show(self, path: str) -> Command:
        async def act(session: Session) -> None:
            table = await session.get(path)
            session.print_result(as_fields(table), table)

        return Command(self._options, act)

    def _edit(self, make_edit: Callable[[Config], Edit]) -> Command:
        async def act(session: Session) -> None:
            config = await session.config()
            await session.change(config.revision, [make_edit(config)])

        return Command(self._options, act)


class ProfileCommands(_CommandGroup):
    """List, show, apply and retire profiles."""

    def list(self) -> Command:
        """Show all profiles."""
        return self._list("/v1/profiles", "profiles", PROFILE_COLUMNS)

    def show(self, name: str) -> Command:
        """Show the profile NAME."""
        return self._show(f"/v1/profiles/{name}")

    def apply(
        self,
        name: str,
        kind: str | None = None,
        pool: str | None = None,
        model: str | None = None,
        repeatable: bool | None = None,
        priority: int | None = None,
        deadline_s: float | None = None,
        waste_weight: float | None = None,
    ) -> Command:
        """Create or change the profile NAME; only the given flags change it."""
        given = {
            "kind": None if kind is None else _parse_kind(kind),
            "pool": None if pool is None else str(pool),
            "model": None if model is None else str(model),
            "repeatable": repeatable,
            "priority": priority,
            "deadline_s": None if deadline_s is None else float(deadline_s),
            "waste_weight": None if waste_weight is None else float(waste_weight),
        }
        changes: dict[str, Any] = {k: v for k, v in given.items() if v is not None}
        default = Profile(name=str(name), kind=ProfileKind.COMPLETION, pool="")

        def make_edit(config: Config) -> Edit:
            profile = replace(config.profiles.get(str(name), default), **changes)
            return Edit(EditKind.APPLY_PROFILE, profile=profile)

        return self._edit(make_edit)

    def retire(self, name: str) -> Command:
        """Retire the profile NAME."""
        return self._edit(lambda _: Edit(EditKind.RETIRE_PROFILE, str(name)))


class WorkspaceCommands(_CommandGroup):
    """List, show, apply and retire workspaces, and manage their API keys."""

    def list(self) -> Command:
        """Show all workspaces."""

        async def act(session: Session) -> None:
            table = await session.get("/v1/workspaces")
            rows = [w | {"keys": len(w["key_digests"])} for w in table["workspaces"]]
            session.print_result(as_columns(rows, WORKSPACE_COLUMNS), table)

        return Command(self._options, act)

    def show(self, name: str) -> Command:
        """Show the workspace NAME with the digests of its keys."""
        return self._show(f"/v1/workspaces/{name}")

    def apply(
        self,
        name: str,
        share: float | None = None,
        profiles: Any = None,
        quota_per_s: float | None = None,
        quota_burst: float | None = None,
        quota_unit: str | None = None,
    ) -> Command:
        """Create or change the workspace NAME; only the given flags change it.

        A QUOTA_PER_S of 0 removes the quota.  QUOTA_UNIT is requests or tokens.
        """
        changes: dict[str, Any] = {}
        if share is not None:
            changes["share"] = float(share)
        if profiles is not None:
            changes["profiles"] = parse_names(profiles)
        given = {
            "per_s": None if quota_per_s is None else float(quota_per_s),
            "burst": None if quota_burst is None else float(quota_burst),
            "unit": None if quota_unit is None else _parse_unit(quota_unit),
        }
        quota: dict[str, Any] = {k: v for k, v in given.items() if v is not None}

        def make_edit(config: Config) -> Edit:
            current = config.workspaces.get(str(name), Workspace(name=str(name)))
            workspace = replace(current, **changes)
            if quota:
                changed = replace(current.quota or Quota(0.0, 0.0), **quota)
                workspace = replace(workspace, quota=changed if changed.per_s else None)
            return Edit(EditKind.APPLY_WORKSPACE, workspace=workspace)

        return self._edit(make_edit)

    def retire(self, name: str) -> Command:
        """Retire the workspace NAME; its keys are refused from then on."""
        return self._edit(lambda _: Edit(EditKind.RETIRE_WORKSPACE, str(name)))

    def add_key(self, name: str, key_file: str = "") -> Command:
        """Add the API key in KEY_FILE ("-" for standard input) to the workspace NAME.

        Without a file a new key is generated and printed.  It can't be shown again, as
        only its digest is stored.  A key can't be given as an argument, since other
        users of the machine can see the arguments of a process.
        """

        async def act(session: Session) -> None:
            key = _read_key(key_file) if key_file else _new_key()
            digest = key_digest(key)
            await _change_keys(session, str(name), lambda digests: (*digests, digest))
            if not key_file and not session.options.dry_run:
                print(key)

        return Command(self._options, act)

    def remove_key(self, name: str, digest: str) -> Command:
        """Remove the key whose digest begins with DIGEST from the workspace NAME.

        Give at least 8 digits of DIGEST; ``show`` prints whole digests.
        """
        prefix = str(digest)

        async def act(session: Session) -> None:
            await _change_keys(
                session, str(name), lambda digests: _remove_digest(digests, prefix)
            )

        return Command(self._options, act)


class UpstreamCommands(_CommandGroup):
    """List upstreams, take them out of service, and place orders for them."""

    def list(self) -> Command:
        """Show all upstreams that are announced or marked as leaving."""
        return self._list("/v1/upstreams", "upstreams", UPSTREAM_COLUMNS)

    def leave(self, name: str, undo: bool = False) -> Command:
        """Let the upstream NAME end its requests and take no new ones, or UNDO that."""
        kind = EditKind.UNMARK_LEAVING if undo else EditKind.MARK_LEAVING
        return self._edit(lambda _: Edit(kind, str(name)))

    def order(self, name: str, kind: str, model: str, version: str = "") -> Command:
        """Order NAME to KIND: load_weights, load_adapter or change_role."""

        async def act(session: Session) -> None:
            await session.order(str(name), str(kind), str(model), str(version))

        return Command(self._options, act)

    def orders(self) -> Command:
        """Show the open orders and the newest closed ones."""
        return self._list("/v1/orders", "orders", ORDER_COLUMNS)


class RequestCommands(_CommandGroup):
    """List and release quarantined requests, under which upstreams terminated."""

    def quarantined(self) -> Command:
        """Show quarantined requests, and how many upstreams terminated under each.

        A request in quarantine is sent to no upstream.  Neither is one whose prompt has
        all the parts of a line that begins with "part-".
        """

        async def act(session: Session) -> None:
            table = await session.get("/v1/quarantined")
            quarantined = table["quarantined"]
            rows = [row | {"ended": len(row["ended"])} for row in quarantined]
            session.print_result(as_columns(rows, QUARANTINE_COLUMNS), table)

        return Command(self._options, act)

    def release(self, digest: str) -> Command:
        """Let the request, or prompts with the parts, named DIGEST run again."""

        async def act(session: Session) -> None:
            await session.release(str(digest))

        return Command(self._options, act)


class OperatorCommands:
    """The operators' commands by name; the product's command line inherits them."""

    profile = ProfileCommands
    workspace = WorkspaceCommands
    upstream = UpstreamCommands
    request = RequestCommands

    def audit(self, count: int = 100, **options: Any) -> Command:
        """Show the newest COUNT entries of the audit trail, newest first."""

        async def act(session: Session) -> None:
            table = await session.get(f"/v1/audit?count={int(count)}")
            session.print_result(as_columns(table["audit"], AUDIT_COLUMNS), table)

        return Command(_parse_options(options), act)

    def status(self, **options: Any) -> Command:
        """Show the revision in force at each process, and the control replicas."""

        async def act(session: Session) -> None:
            table = await session.get("/v1/status")
            if session.options.wait:
                table = await session.wait(table["revision"])
            head = {k: v for k, v in table.items() if k != "processes"}
            rows = as_columns(table["processes"], PROCESS_COLUMNS)
            session.print_result(f"{as_fields(head)}\n\n{rows}", table)

        return Command(_parse_options(options), act)

    def apply(self, file: str, retire: bool = False, **options: Any) -> Command:
        """Show how FILE differs from the declarations in force, then apply it.

        With RETIRE, profiles and workspaces that are not in FILE are retired.
        """

        async def act(session: Session) -> None:
            declared = _load_declarations(Path(str(file)))
            config = await session.config()
            changes = difference(config, declared, retire=retire)
            if not changes.edits:
                session.print_result(f"no difference from revision {config.revision}")
                return
            session.print_result("\n".join(changes.lines))
            await session.change(config.revision, changes.edits)

        return Command(_parse_options(options), act)


def _parse_options(given: dict[str, Any]) -> Options:
    accepted = {item.name for item in fields(Options)}
    unknown = sorted(given.keys() - accepted)
    if unknown:
        text = f"unknown flag --{unknown[0]}; use one of {', '.join(sorted(accepted))}"
        raise fire.core.FireError(text)
    return Options(**given)


def _load_declarations(path: Path) -> Declarations:
    match load(path):
        case Ok(declared):
            return declared
        case Err(faults):
            lines = (fault.message for fault in faults)
            raise CommandError(OperatorExit.USAGE, *lines)


def _parse_kind(value: str) -> ProfileKind:
    try:
        return ProfileKind(str(value))
    except ValueError:
        listed = ", ".join(ProfileKind)
        text = f"unknown profile kind {value!r}; use one of {listed}"
        raise fire.core.FireError(text) from None


async def _change_keys(
    session: Session,
    name: str,
    change: Callable[[tuple[str, ...]], tuple[str, ...]],
) -> None:
    config = await session.config()
    workspace = config.workspaces.get(name)
    if workspace is None:
        refusal = problem(UNKNOWN_NAME, what="workspace", name=name)
        raise CommandError(OperatorExit.REFUSED, refusal.message)
    digests = tuple(dict.fromkeys(change(workspace.key_digests)))
    changed = replace(workspace, key_digests=digests)
    edit = Edit(EditKind.APPLY_WORKSPACE, workspace=changed)
    await session.change(config.revision, [edit])


def _remove_digest(digests: tuple[str, ...], prefix: str) -> tuple[str, ...]:
    if DIGEST_PREFIX.fullmatch(prefix) is None:
        reason = (
            f"{prefix!r} is not a digest prefix; give at least {MIN_DIGEST_CHARS}"
            " hexadecimal digits"
        )
        raise CommandError(OperatorExit.USAGE, reason)
    remaining = tuple(digest for digest in digests if not digest.startswith(prefix))
    if remaining == digests:
        refusal = problem(UNKNOWN_NAME, what="key", name=prefix)
        raise CommandError(OperatorExit.REFUSED, refusal.message)
    return remaining


def _parse_unit(text: str) -> QuotaUnit:
    try:
        return QuotaUnit(text)
    except ValueError:
        listed = " or ".join(QuotaUnit)
        reason = f"unknown quota unit {text!r}; use {listed}"
        raise CommandError(OperatorExit.USAGE, reason) from None


def _new_key() -> str:
    return secrets.token_urlsafe(NEW_KEY_BYTES)


def _read_key(key_file: str) -> str:
    try:
        text = sys.stdin.read() if key_file == "-" else Path(str(key_file)).read_text()
    except OSError as exc:
        reason = f"{key_file} can't be read ({exc.strerror}); check the path"
        raise CommandError(OperatorExit.USAGE, reason)
    key = text.strip()
    if len(key) < MIN_KEY_CHARS:
        reason = (
            f"the key has under {MIN_KEY_CHARS} characters; use a longer, random one"
        )
        raise CommandError(OperatorExit.USAGE, reason)
    return key
