"""Checks declarations and reports all faults at once, each with a remedy.

Pure functions over one revision of the configuration.  Operators' tools call them
before they send a change; the control state calls them again before it commits it.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterator

from gooseberrydale.version.declarations import Config, Profile, ProfileKind, Workspace
from gooseberrydale.version.quotas.quota import QUOTA_REMEDY, quota_faults
from gooseberrydale.version.structuring import FieldFault

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
NAME_REMEDY = "use letters, digits and ._:/- (128 at most)"
MAX_DEADLINE_S = 86_400.0
MAX_PRIORITY = 1_000


def profile_faults(profile: Profile) -> Iterator[FieldFault]:
    """Yield the faults of a single profile."""
    key = f"profiles.{profile.name}"
    if not NAME_PATTERN.fullmatch(profile.name):
        yield _invalid_field(key, "name", NAME_REMEDY)
    if not NAME_PATTERN.fullmatch(profile.pool):
        yield _invalid_field(key, "pool", "name the pool of upstreams that serves it")
    if profile.kind is ProfileKind.COMPLETION and not profile.model:
        yield _invalid_field(
            key, "model", "name the model that the pool's upstreams serve"
        )
    if not _within(profile.deadline_s, 0.0, MAX_DEADLINE_S) or not profile.deadline_s:
        remedy = f"write seconds above 0, {MAX_DEADLINE_S:g} at most"
        yield _invalid_field(key, "deadline_s", remedy)
    if not _within(profile.waste_weight, 0.0, math.inf):
        yield _invalid_field(key, "waste_weight", "write a finite number of 0 or more")
    if abs(profile.priority) > MAX_PRIORITY:
        remedy = f"write a whole number from -{MAX_PRIORITY} to {MAX_PRIORITY}"
        yield _invalid_field(key, "priority", remedy)


def workspace_faults(workspace: Workspace) -> Iterator[FieldFault]:
    """Yield the faults of a single workspace."""
    key = f"workspaces.{workspace.name}"
    if not NAME_PATTERN.fullmatch(workspace.name):
        yield _invalid_field(key, "name", NAME_REMEDY)
    if not _within(workspace.share, 0.0, math.inf) or not workspace.share:
        yield _invalid_field(key, "share", "write a finite number above 0")
    for field, _ in () if workspace.quota is None else quota_faults(workspace.quota):
        yield _invalid_field(key, f"quota.{field}", QUOTA_REMEDY)
    for digest in workspace.key_digests:
        if not DIGEST_PATTERN.fullmatch(digest):
            yield _invalid_field(
                key, "key_digests", "write SHA-256 digests as 64 hex digits"
            )


def config_faults(config: Config) -> Iterator[FieldFault]:
    """Yield the faults that concern several declarations together."""
    yield from _unknown_profiles(config)
    yield from _shared_keys(config)


def _unknown_profiles(config: Config) -> Iterator[FieldFault]:
    for workspace in config.workspaces.values():
        for name in workspace.profiles:
            if name not in config.profiles:
                yield FieldFault(
                    f"workspaces.{workspace.name}.profiles",
                    f"names the profile {name!r}, which does not exist",
                    "apply that profile first or take it off the list",
                )


def _shared_keys(config: Config) -> Iterator[FieldFault]:
    owners: dict[str, str] = {}
    for workspace in config.workspaces.values():
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                yield FieldFault(
                    f"workspaces.{workspace.name}.key_digests",
                    f"holds a key of workspace {owner!r}",
                    "give each workspace different keys",
                )


def _invalid_field(key: str, name: str, remedy: str) -> FieldFault:
    return FieldFault(f"{key}.{name}", "is not valid", remedy)


def _within(value: float, low: float, high: float) -> bool:
    return math.isfinite(value) and low <= value <= high
