"""Reads declarations from a TOML file and compares them with a configuration.

Operators keep the file in version control.  It has tables ``[profiles.NAME]`` and
``[workspaces.NAME]`` with the fields of the declarations.  A workspace without
``key_digests`` retains its current keys, so the file need not contain keys.  All
functions except ``load`` are pure.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field, fields, replace
from enum import Enum
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.control_messages import Edit, EditKind
from gooseberrydale.errors import INVALID_SETTING, Problem, problem
from gooseberrydale.version.declarations import Config, Profile, Workspace
from gooseberrydale.version.structuring import FieldFault, structure
from gooseberrydale.version.validation import profile_faults, workspace_faults

KEYS_FIELD = "key_digests"


@dataclass(frozen=True, slots=True)
class Declarations:
    """The contents of one file.

    ``keyless`` names the workspaces that the file gives no key digests for.
    """

    profiles: dict[str, Profile] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    keyless: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Difference:
    """Edits that make a configuration match a file, and a readable diff of them."""

    edits: tuple[Edit, ...]
    lines: tuple[str, ...]


def load(path: Path) -> Result[Declarations, tuple[Problem, ...]]:
    """Read the file at ``path``, or return every fault in it."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        fault = FieldFault("the file", f"can't be read ({exc.strerror})", "check it")
        return Err((_to_problem(path, fault),))
    except ValueError as exc:
        fault = FieldFault("the file", f"is not TOML ({exc})", "correct the syntax")
        return Err((_to_problem(path, fault),))
    return read(table).map_err(
        lambda faults: tuple(_to_problem(path, fault) for fault in faults)
    )


def read(table: dict[str, Any]) -> Result[Declarations, tuple[FieldFault, ...]]:
    """Read the declarations in a parsed file, or return every fault in it."""
    faults = list(_unknown_tables(table))
    profiles: dict[str, Profile] = {}
    workspaces: dict[str, Workspace] = {}
    for name, value in _named_tables(table, "profiles", faults):
        _read_declaration(Profile, "profiles", name, value, profiles, faults)
    for name, value in _named_tables(table, "workspaces", faults):
        _read_declaration(Workspace, "workspaces", name, value, workspaces, faults)
    for profile in profiles.values():
        faults.extend(profile_faults(profile))
    for workspace in workspaces.values():
        faults.extend(workspace_faults(workspace))
    if faults:
        return Err(tuple(faults))
    keyless = (n for n, v in table.get("workspaces", {}).items() if KEYS_FIELD not in v)
    return Ok(Declarations(profiles, workspaces, frozenset(keyless)))


def difference(
    config: Config, declared: Declarations, *, retire: bool = False
) -> Difference:
    """Return the edits that make ``config`` match ``declared``.

    With ``retire``, profiles and workspaces that ``declared`` lacks are retired.
    Profiles are applied before the workspaces that name them, and retired after.
    """
    wanted = {
        name: _with_keys(workspace, config, declared)
        for name, workspace in declared.workspaces.items()
    }
    edits: list[Edit] = []
    lines: list[str] = []
    for name, profile in declared.profiles.items():
        if config.profiles.get(name) != profile:
            edits.append(Edit(EditKind.APPLY_PROFILE, profile=profile))
            lines.extend(_change_lines("profile", config.profiles.get(name), profile))
    for name, workspace in wanted.items():
        if config.workspaces.get(name) != workspace:
            edits.append(Edit(EditKind.APPLY_WORKSPACE, workspace=workspace))
            old = config.workspaces.get(name)
            lines.extend(_change_lines("workspace", old, workspace))
    if retire:
        for name in config.workspaces.keys() - wanted.keys():
            edits.append(Edit(EditKind.RETIRE_WORKSPACE, name))
            lines.append(f"- workspace {name}")
        for name in config.profiles.keys() - declared.profiles.keys():
            edits.append(Edit(EditKind.RETIRE_PROFILE, name))
            lines.append(f"- profile {name}")
    return Difference(tuple(edits), tuple(lines))


def _with_keys(
    workspace: Workspace, config: Config, declared: Declarations
) -> Workspace:
    current = config.workspaces.get(workspace.name)
    if current is None or workspace.name not in declared.keyless:
        return workspace
    return replace(workspace, key_digests=current.key_digests)


def _change_lines(
    what: str, old: Profile | Workspace | None, new: Profile | Workspace
) -> Iterator[str]:
    yield f"{'+' if old is None else '~'} {what} {new.name}"
    for item in fields(new):
        after = getattr(new, item.name)
        before = None if old is None else getattr(old, item.name)
        if item.name in ("name", KEYS_FIELD) or before == after:
            continue
        if old is None:
            yield f"    {item.name}: {_field_text(after)}"
        else:
            yield f"    {item.name}: {_field_text(before)} -> {_field_text(after)}"
    if isinstance(new, Workspace):
        yield from _key_lines(old, new)


def _field_text(value: object) -> str:
    return repr(str(value) if isinstance(value, Enum) else value)


def _key_lines(old: object, new: Workspace) -> Iterator[str]:
    before = len(old.key_digests) if isinstance(old, Workspace) else 0
    old_digests = set(old.key_digests) if isinstance(old, Workspace) else set()
    added = len(set(new.key_digests) - old_digests)
    removed = before - len(old_digests & set(new.key_digests))
    if added or removed:
        yield f"    keys: {added} added, {removed} removed"


def _unknown_tables(table: dict[str, Any]) -> Iterator[FieldFault]:
    for name in sorted(table.keys() - {"profiles", "workspaces"}):
        remedy = "use [profiles.NAME] and [workspaces.NAME]"
        yield FieldFault(name, "is not a known table", remedy)


def _named_tables(
    table: dict[str, Any], group: str, faults: list[FieldFault]
) -> Iterator[tuple[str, Any]]:
    value = table.get(group, {})
    if not isinstance(value, dict):
        faults.append(FieldFault(group, "is not a table", f"write [{group}.NAME]"))
        return
    yield from value.items()


def _read_declaration(
    cls: Any,
    group: str,
    name: str,
    value: Any,
    target: dict[str, Any],
    faults: list[FieldFault],
) -> None:
    key = f"{group}.{name}"
    if isinstance(value, dict) and "name" in value:
        remedy = "remove it: the name is taken from the table header"
        faults.append(FieldFault(f"{key}.name", "is not a known key", remedy))
        return
    table = value | {"name": name} if isinstance(value, dict) else value
    match structure(table, cls):
        case Ok(declaration):
            target[name] = declaration
        case Err(inner):
            faults.extend(_prefix_key(key, fault) for fault in inner)


def _prefix_key(key: str, fault: FieldFault) -> FieldFault:
    return replace(fault, key=f"{key}.{fault.key}" if fault.key else key)


def _to_problem(path: Path, fault: FieldFault) -> Problem:
    return problem(
        INVALID_SETTING,
        file=path,
        key=fault.key,
        reason=fault.reason,
        remedy=fault.remedy,
    )
