"""Tables for the JSON answers to operators, built from the committed state.

All functions are pure.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem
from gooseberrydale.request.fingerprint import fingerprint_text
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.acknowledgements import RevisionStatus
from gooseberrydale.version.declarations import Config, Profile, Workspace
from gooseberrydale.version.ended_incarnations import EndedIncarnations

Table = dict[str, Any]


def to_builtins(value: Any) -> Any:
    """Convert a message to dictionaries, lists and scalars."""
    return msgspec.to_builtins(value)


def problem_table(refused: Problem) -> Table:
    """Return the table of a refusal."""
    table: Table = to_builtins(refused)
    return table


def config_table(config: Config) -> Table:
    """Return all declarations of one revision."""
    return {
        "revision": config.revision,
        "profiles": profile_tables(config),
        "workspaces": workspace_tables(config),
        "leaving": sorted(config.leaving),
    }


def profile_tables(config: Config) -> list[Table]:
    """Return the profiles, sorted by name."""
    return [_by_name(config.profiles, name) for name in sorted(config.profiles)]


def workspace_tables(config: Config) -> list[Table]:
    """Return the workspaces, sorted by name; API keys appear as digests."""
    return [_by_name(config.workspaces, name) for name in sorted(config.workspaces)]


def _by_name(
    declarations: dict[str, Profile] | dict[str, Workspace], name: str
) -> Table:
    table: Table = to_builtins(declarations[name])
    return table


def quarantined_tables(ended_incarnations: EndedIncarnations) -> list[Table]:
    """Return the quarantined requests and parts of prompts, with the incarnations that
    ended running them."""
    requests = [
        (fingerprint_text(request), ended_incarnations.blamed_for(request))
        for request in sorted(ended_incarnations.quarantined())
    ]
    parts = [
        (parts_text(sorted(group.parts)), group.ended)
        for group in ended_incarnations.harmful_parts
    ]
    return [
        {"digest": digest, "ended": list(ended)}
        for digest, ended in (*requests, *sorted(parts))
    ]


def upstream_tables(
    records: tuple[UpstreamRecord, ...], leaving: frozenset[str]
) -> list[Table]:
    """Return announced upstreams, and unannounced ones that are marked as leaving."""
    announced = {record.name: record for record in records}
    names = sorted(announced.keys() | leaving)
    return [_upstream_table(name, announced.get(name), leaving) for name in names]


def _upstream_table(
    name: str, record: UpstreamRecord | None, leaving: frozenset[str]
) -> Table:
    table: Table = {"name": name, "announced": record is not None}
    if record is not None:
        table |= to_builtins(record)
    # The mark was set by operators; the sidecar may not have received it yet.
    table["marked_leaving"] = name in leaving
    return table


def process_tables(
    statuses: list[RevisionStatus], revision: int, now: float
) -> list[Table]:
    """Return each process with the revision in force there; ``now`` is loop time."""
    return [
        {
            "role": process.role,
            "name": process.name,
            "zone": process.zone,
            "revision": process.revision,
            "behind": process.revision < revision,
            "heard_s_ago": round(max(0.0, now - process.received_at), 1),
        }
        for process in statuses
    ]
