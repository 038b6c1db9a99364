"""Checks of declarations; every fault is found at once, each with its remedy.

Pure functions over one version of the configuration.  Operators' tools run them
before a change is sent, the control state runs them again before it commits.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterator

from gooseberrydale.version.declarations import Config, Profile, ProfileKind, Workspace

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_DEADLINE_S = 86_400.0
MAX_PRIORITY = 1_000


def profile_faults(profile: Profile) -> list[str]:
    """Return what is wrong with a profile taken alone."""
    where = f"profile {profile.name!r}"
    return list(_profile_faults(profile, where))


def _profile_faults(profile: Profile, where: str) -> Iterator[str]:
    if not NAME_PATTERN.fullmatch(profile.name):
        yield f"{where}: name: use letters, digits and ._:/- (128 at most)"
    if not NAME_PATTERN.fullmatch(profile.pool):
        yield f"{where}: pool: name the pool of upstreams that serves it"
    if profile.kind is ProfileKind.COMPLETION and not profile.model:
        yield f"{where}: model: name the model that the upstreams of the pool serve"
    if not _within(profile.deadline_s, 0.0, MAX_DEADLINE_S) or not profile.deadline_s:
        yield f"{where}: deadline_s: set seconds above 0, {MAX_DEADLINE_S:g} at most"
    if not _within(profile.waste_weight, 0.0, math.inf):
        yield f"{where}: waste_weight: set a finite number of 0 or more"
    if abs(profile.priority) > MAX_PRIORITY:
        yield f"{where}: priority: set one from -{MAX_PRIORITY} to {MAX_PRIORITY}"


def workspace_faults(workspace: Workspace) -> list[str]:
    """Return what is wrong with a workspace taken alone."""
    where = f"workspace {workspace.name!r}"
    return list(_workspace_faults(workspace, where))


def _workspace_faults(workspace: Workspace, where: str) -> Iterator[str]:
    if not NAME_PATTERN.fullmatch(workspace.name):
        yield f"{where}: name: use letters, digits and ._:/- (128 at most)"
    if not _within(workspace.share, 0.0, math.inf) or not workspace.share:
        yield f"{where}: share: set a finite number above 0"
    for digest in workspace.key_digests:
        if not DIGEST_PATTERN.fullmatch(digest):
            yield f"{where}: key_digests: give SHA-256 digests as 64 hex digits"


def config_faults(config: Config) -> list[str]:
    """Return what is wrong with all declarations together."""
    return [*_unknown_profiles(config), *_shared_keys(config)]


def _unknown_profiles(config: Config) -> Iterator[str]:
    for workspace in config.workspaces.values():
        for name in workspace.profiles:
            if name not in config.profiles:
                yield (
                    f"workspace {workspace.name!r}: profiles: there is no profile"
                    f" {name!r}; apply it first or take it off the list"
                )


def _shared_keys(config: Config) -> Iterator[str]:
    owners: dict[str, str] = {}
    for workspace in config.workspaces.values():
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                yield (
                    f"workspace {workspace.name!r}: key_digests: a key belongs to"
                    f" {owner!r} already; give each workspace keys of its own"
                )


def _within(value: float, low: float, high: float) -> bool:
    return math.isfinite(value) and low <= value <= high
