"""Applies edits to the declarations and caches the reply to each change id.

Part of the replicated control state.  A change is compare-and-set: it takes effect
only on the revision that it was made for.  The reply is stored with the change id
and a digest of the content, so a resent change gets its first reply, and another
change under the same id is refused.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from gooseberrydale.connection.codec import encode, message
from gooseberrydale.connection.control_messages import (
    ChangeReply,
    ChangeReq,
    Edit,
    EditKind,
    PlaceOrderReq,
)
from gooseberrydale.errors import (
    INVALID_DECLARATION,
    REVISION_CONFLICT,
    REVISION_FROM_FUTURE,
    Problem,
    problem,
)
from gooseberrydale.version.declarations import Config, Workspace
from gooseberrydale.version.validation import (
    NAME_PATTERN,
    config_faults,
    profile_faults,
    workspace_faults,
)

MAX_EDITS = 4_096
MAX_LEAVING = 10_000
MAX_SHOWN_FAULTS = 50
SHOWN_DIGEST_CHARS = 8


@message
@dataclass(frozen=True, slots=True)
class Remembered:
    """The reply that was given to a change id, as an encoded message.

    ``content`` is the digest of the request that got it.
    """

    change_id: str
    content: bytes
    reply: bytes


class ReplyCache:
    """The most recent change ids with their replies."""

    def __init__(self, items: tuple[Remembered, ...] = ()) -> None:
        self._items = {item.change_id: item for item in items}

    @property
    def items(self) -> tuple[Remembered, ...]:
        """All cached replies, oldest first."""
        return tuple(self._items.values())

    def get(self, change_id: str) -> Remembered | None:
        """Return the cached reply to ``change_id``, if any."""
        return self._items.get(change_id)

    def add(self, item: Remembered, keep: int) -> None:
        """Store a reply and drop the oldest ones beyond ``keep``.

        A change whose reply was dropped can't be applied twice, because its base
        revision is no longer in force.
        """
        self._items[item.change_id] = item
        while len(self._items) > keep:
            del self._items[next(iter(self._items))]


def content_digest(req: ChangeReq | PlaceOrderReq) -> bytes:
    """Digest of a request's content, including its operator.

    The base revision is left out: an operator who resends a change after a lost
    reply has often read the configuration again, which may already contain that
    change.  Whether an order's upstream was announced at the time is left out, too.
    """
    if isinstance(req, ChangeReq):
        req = replace(req, base=0)
    else:
        req = replace(req, announced=True)
    return hashlib.sha256(encode(req)).digest()


def evaluate(config: Config, req: ChangeReq) -> Result[Config, Problem]:
    """Return ``config`` with ``req`` applied, or why it is refused."""
    if req.base > config.revision:
        return Err(
            problem(REVISION_FROM_FUTURE, base=req.base, current=config.revision)
        )
    if req.base < config.revision:
        return Err(problem(REVISION_CONFLICT, base=req.base, current=config.revision))
    return apply_edits(config, req.edits)


def apply_edits(config: Config, edits: tuple[Edit, ...]) -> Result[Config, Problem]:
    """Return the next revision with all edits applied, or refuse them all."""
    if not 0 < len(edits) <= MAX_EDITS:
        reason = f"a change has 1 to {MAX_EDITS} edits, not {len(edits)}"
        return Err(problem(INVALID_DECLARATION, reason=reason))
    draft = _Draft(config)
    for edit in edits:
        draft.apply(edit)
    changed = draft.config()
    faults = draft.faults + [str(fault) for fault in config_faults(changed)]
    if faults:
        return Err(problem(INVALID_DECLARATION, reason=join_faults(faults)))
    return Ok(changed)


def join_faults(faults: list[str]) -> str:
    """Join faults to one text of at most ``MAX_SHOWN_FAULTS`` faults."""
    shown_faults = faults[:MAX_SHOWN_FAULTS]
    omitted = len(faults) - len(shown_faults)
    if omitted:
        shown_faults.append(f"and {omitted} omitted")
    return "; ".join(shown_faults)


def current_text(config: Config, edit: Edit) -> str:
    """The current content of the object that ``edit`` changes, as JSON text.

    Empty if ``config`` does not contain it.
    """
    name = edit_name(edit)
    if edit.kind in (EditKind.APPLY_PROFILE, EditKind.RETIRE_PROFILE):
        profile = config.profiles.get(name)
        return "" if profile is None else msgspec.json.encode(profile).decode()
    if edit.kind in (EditKind.APPLY_WORKSPACE, EditKind.RETIRE_WORKSPACE):
        return _current_workspace(config, name)
    return "leaving" if name in config.leaving else ""


def requested_text(edit: Edit) -> str:
    """The content that ``edit`` requests, as JSON text; empty for a removal."""
    if edit.kind is EditKind.APPLY_PROFILE and edit.profile is not None:
        return msgspec.json.encode(edit.profile).decode()
    if edit.kind is EditKind.APPLY_WORKSPACE and edit.workspace is not None:
        return _workspace_text(edit.workspace)
    return "leaving" if edit.kind is EditKind.MARK_LEAVING else ""


def edit_name(edit: Edit) -> str:
    """The name of the profile, workspace or upstream that ``edit`` changes."""
    if edit.profile is not None:
        return edit.profile.name
    if edit.workspace is not None:
        return edit.workspace.name
    return edit.name


def refusal_reply(config: Config, refused: Problem) -> ChangeReply:
    """The reply to a change that was refused."""
    return ChangeReply(revision=config.revision, problem=refused)


def _current_workspace(config: Config, name: str) -> str:
    workspace = config.workspaces.get(name)
    return "" if workspace is None else _workspace_text(workspace)


def _workspace_text(workspace: Workspace) -> str:
    # The audit trail shows only a prefix of each key digest: enough to tell keys
    # apart, too little to look one up.
    digests = tuple(digest[:SHOWN_DIGEST_CHARS] for digest in workspace.key_digests)
    return msgspec.json.encode(replace(workspace, key_digests=digests)).decode()


class _Draft:
    """A mutable copy of the declarations to which edits are applied in order."""

    def __init__(self, config: Config) -> None:
        self._base = config
        self._profiles = dict(config.profiles)
        self._workspaces = dict(config.workspaces)
        self._leaving = set(config.leaving)
        self.faults: list[str] = []
        self._appliers: dict[EditKind, Callable[[Edit], None]] = {
            EditKind.APPLY_PROFILE: self._apply_profile,
            EditKind.RETIRE_PROFILE: self._retire_profile,
            EditKind.APPLY_WORKSPACE: self._apply_workspace,
            EditKind.RETIRE_WORKSPACE: self._retire_workspace,
            EditKind.MARK_LEAVING: self._mark_leaving,
            EditKind.UNMARK_LEAVING: self._unmark_leaving,
        }

    def apply(self, edit: Edit) -> None:
        self._appliers[edit.kind](edit)

    def config(self) -> Config:
        return replace(
            self._base,
            revision=self._base.revision + 1,
            profiles=self._profiles,
            workspaces=self._workspaces,
            leaving=frozenset(self._leaving),
        )

    def _apply_profile(self, edit: Edit) -> None:
        if edit.profile is None:
            self.faults.append("apply_profile: the edit has no profile; set one")
            return
        self.faults.extend(map(str, profile_faults(edit.profile)))
        self._profiles[edit.profile.name] = edit.profile

    def _retire_profile(self, edit: Edit) -> None:
        if self._profiles.pop(edit.name, None) is None:
            self.faults.append(f"there is no profile {edit.name!r}; list the profiles")

    def _apply_workspace(self, edit: Edit) -> None:
        if edit.workspace is None:
            self.faults.append("apply_workspace: the edit has no workspace; set one")
            return
        self.faults.extend(map(str, workspace_faults(edit.workspace)))
        self._workspaces[edit.workspace.name] = edit.workspace

    def _retire_workspace(self, edit: Edit) -> None:
        if self._workspaces.pop(edit.name, None) is None:
            self.faults.append(
                f"there is no workspace {edit.name!r}; list the workspaces"
            )

    def _mark_leaving(self, edit: Edit) -> None:
        if not NAME_PATTERN.fullmatch(edit.name):
            self.faults.append(
                f"mark_leaving: {edit.name!r} is not a valid upstream name"
            )
        if len(self._leaving) >= MAX_LEAVING:
            self.faults.append(
                f"{MAX_LEAVING} upstreams are marked as leaving; unmark some first"
            )
        self._leaving.add(edit.name)

    def _unmark_leaving(self, edit: Edit) -> None:
        if edit.name not in self._leaving:
            self.faults.append(
                f"upstream {edit.name!r} is not marked as leaving; list the upstreams"
            )
        self._leaving.discard(edit.name)
