"""What operators are shown: the committed state as plain tables for JSON.

Pure functions over the state of one moment.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem
from gooseberrydale.request.fingerprint import shown
from gooseberrydale.version.acknowledgements import Standing
from gooseberrydale.version.declarations import Config, Profile, Workspace
from gooseberrydale.version.ended_incarnations import EndedIncarnations

Table = dict[str, Any]


def plain(value: Any) -> Any:
    """Return a message as dictionaries, lists and scalars."""
    return msgspec.to_builtins(value)


def problem_table(refused: Problem) -> Table:
    """A refusal as operators get it."""
    table: Table = plain(refused)
    return table


def config_table(config: Config) -> Table:
    """All declarations of one revision."""
    return {
        "revision": config.revision,
        "profiles": profile_tables(config),
        "workspaces": workspace_tables(config),
        "leaving": sorted(config.leaving),
    }


def profile_tables(config: Config) -> list[Table]:
    """The profiles by name."""
    return [_by_name(config.profiles, name) for name in sorted(config.profiles)]


def workspace_tables(config: Config) -> list[Table]:
    """The workspaces by name; keys show as digests."""
    return [_by_name(config.workspaces, name) for name in sorted(config.workspaces)]


def _by_name(things: dict[str, Profile] | dict[str, Workspace], name: str) -> Table:
    table: Table = plain(things[name])
    return table


def quarantined_tables(ended_incarnations: EndedIncarnations) -> list[Table]:
    """The requests that are sent nowhere, each with the incarnations that ended under
    it."""
    return [
        {
            "digest": shown(request),
            "ended": list(ended_incarnations.blamed_for(request)),
        }
        for request in sorted(ended_incarnations.quarantined())
    ]


def upstream_tables(
    records: tuple[UpstreamRecord, ...], leaving: frozenset[str]
) -> list[Table]:
    """Announced upstreams, and those that are marked as leaving but not heard of."""
    heard = {record.name: record for record in records}
    names = sorted(heard.keys() | leaving)
    return [_upstream_table(name, heard.get(name), leaving) for name in names]


def _upstream_table(
    name: str, record: UpstreamRecord | None, leaving: frozenset[str]
) -> Table:
    table: Table = {"name": name, "announced": record is not None}
    if record is not None:
        table |= plain(record)
    # The mark is what operators said; the sidecar may not have learned of it yet.
    table["marked_leaving"] = name in leaving
    return table


def standing_tables(
    standings: list[Standing], revision: int, now: float
) -> list[Table]:
    """Processes with the revision in force there; ``now`` in loop time."""
    return [
        {
            "role": standing.role,
            "name": standing.name,
            "zone": standing.zone,
            "revision": standing.revision,
            "behind": standing.revision < revision,
            "heard_s_ago": round(max(0.0, now - standing.heard_at), 1),
        }
        for standing in standings
    ]
