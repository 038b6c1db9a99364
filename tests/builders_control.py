"""Builders of requests, commands and state of the control role, for tests."""

from __future__ import annotations

from typing import Any

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import (
    ChangeReq,
    ClaimReq,
    Command,
    Edit,
    EditKind,
    FinishReq,
    Holder,
    MoveReq,
    OrderKind,
    PlaceOrderReq,
    ReleaseReq,
)
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace

DIGEST = "ab" * 32


def profile(name: str = "summary", **fields: Any) -> Profile:
    values = {"kind": ProfileKind.COMPLETION, "pool": "engines", "model": "m1"}
    return Profile(name=name, **(values | fields))


def apply_profile(name: str = "summary", **fields: Any) -> Edit:
    return Edit(EditKind.APPLY_PROFILE, profile=profile(name, **fields))


def apply_workspace(name: str = "fraser", **fields: Any) -> Edit:
    return Edit(EditKind.APPLY_WORKSPACE, workspace=Workspace(name=name, **fields))


def change(
    *edits: Edit, change_id: str = "c1", base: int = 0, operator: str = "ana"
) -> ChangeReq:
    return ChangeReq(change_id, base, operator, edits or (apply_profile(),))


def order(
    upstream: str = "e1",
    change_id: str = "o1",
    kind: OrderKind = OrderKind.LOAD_WEIGHTS,
) -> PlaceOrderReq:
    return PlaceOrderReq(change_id, "ana", upstream, kind, "m1", "v2")


def holder(request_id: str = "r1", attempt: int = 1, sidecar: str = "s1") -> Holder:
    return Holder(request_id, attempt, sidecar, "127.0.0.1:1", f"{sidecar}-incarnation")


def claim(key: str = "k1", body: bytes = b"d1", by: Holder | None = None) -> ClaimReq:
    return ClaimReq("fraser", key, body, by or holder())


def move(old: Holder, new: Holder, *, tombstone: bool = True) -> MoveReq:
    return MoveReq("fraser", "k1", old, new, tombstone)


def release(by: Holder | None = None, *, tombstone: bool = True) -> ReleaseReq:
    return ReleaseReq("fraser", "k1", by or holder(), tombstone)


def finish(by: Holder | None = None, body: bytes = b"sold", **fields: Any) -> FinishReq:
    return FinishReq("fraser", "k1", by or holder(), 200, body=body, **fields)


def command(*requests: Any, wall_s: float = 0.0, cluster: str = "") -> bytes:
    return encode(Command(wall_s, tuple(encode(req) for req in requests), cluster))


def run(
    state: ControlState, *requests: Any, wall_s: float = 0.0, cluster: str = ""
) -> list[Any]:
    """Apply requests to ``state`` as one entry and return their replies."""
    entry = command(*requests, wall_s=wall_s, cluster=cluster)
    answer = state.apply(state.index + 1, entry)
    return [decode(reply) for reply in decode(answer).replies]
