"""The replicated state of the control role: a deterministic state machine.

Every replica applies the same log entries in the same order and so has the same
state.  It reads no clock: the current time is the highest wall time in any committed
entry, so a deadline passes on all replicas at the same entry.  The limits on its
size are part of the state and change only through the log.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.codec import CodecError, decode, encode, message
from gooseberrydale.connection.control_messages import (
    Ack,
    ChangeReply,
    ChangeReq,
    ClaimRecord,
    ClaimReq,
    Command,
    CommandReply,
    DeclareReq,
    DepartReq,
    DocumentReply,
    FenceReply,
    FinishReq,
    Limits,
    MoveReq,
    NameWeightsReq,
    NoteReq,
    Order,
    PlaceOrderReply,
    PlaceOrderReq,
    ReadDocumentReq,
    ReadFenceReq,
    ReleaseReq,
    ReportOrderReq,
    ServeSoftwareReq,
    SetLimitsReq,
    TickReq,
)
from gooseberrydale.errors import CHANGE_ID_REUSED, InvariantError, Problem, problem
from gooseberrydale.version.audit import ACCEPTED, RESENT, AuditEntry, AuditTrail
from gooseberrydale.version.cache_epoch import CacheEpoch
from gooseberrydale.version.change import (
    Remembered,
    ReplyCache,
    content_digest,
    current_text,
    edit_name,
    evaluate,
    refusal_reply,
    requested_text,
)
from gooseberrydale.version.claims import ClaimTable
from gooseberrydale.version.declarations import Config, Document, Profile, Workspace
from gooseberrydale.version.departed import Departed, Departure
from gooseberrydale.version.orders import OrderTable
from gooseberrydale.version.served_software import with_version, without_version

NUMBERS_SKIPPED_AFTER_RECOVERY = 1_000_000


@message
@dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """The complete state after the entry at ``index`` was applied."""

    index: int
    now_s: float
    limits: Limits
    revision: int
    profiles: tuple[Profile, ...]
    workspaces: tuple[Workspace, ...]
    leaving: tuple[str, ...]
    remembered: tuple[Remembered, ...]
    audit: tuple[AuditEntry, ...]
    audit_last: int
    orders: tuple[Order, ...]
    order_last_id: int
    order_last_number: int
    fences: dict[str, int]
    claims: tuple[ClaimRecord, ...]
    cluster: str = ""
    document: Document | None = None
    weights: dict[str, int] = field(default_factory=dict)
    departures: tuple[Departure, ...] = ()
    # None in snapshots of releases that had no epochs.
    cache_sharing: tuple[str, ...] | None = None
    software: dict[str, tuple[str, ...]] = field(default_factory=dict)


class ControlState:
    """The committed declarations, departures, orders, claims and audit trail."""

    def __init__(
        self, config: Config | None = None, limits: Limits | None = None
    ) -> None:
        self.index = 0
        self.now_s = 0.0
        self.limits = limits or Limits()
        self.config = config or Config()
        self.replies = ReplyCache()
        self.audit = AuditTrail()
        self.orders = OrderTable()
        self.claims = ClaimTable()
        self.departed = Departed()
        self.cache_epoch = CacheEpoch()
        self.cluster = ""
        self._handlers: dict[type[Any], Callable[[Any], Any]] = {
            ChangeReq: self._change,
            DeclareReq: self._declare,
            NameWeightsReq: self._name_weights,
            DepartReq: self._depart,
            ServeSoftwareReq: self._serve_software,
            ReadDocumentReq: self._read_document,
            PlaceOrderReq: self._place_order,
            ReportOrderReq: self._report_order,
            ReadFenceReq: self._read_fence,
            ClaimReq: self._claim,
            MoveReq: self._move,
            ReleaseReq: self._release,
            FinishReq: self._finish,
            SetLimitsReq: self._set_limits,
            TickReq: self._advance_time,
            NoteReq: self._add_note,
        }

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed :class:`Command`; return a :class:`CommandReply`.

        Raises InvariantError for an entry that was already applied or that this
        release can't decode: skipping it would make this replica diverge.
        """
        if index <= self.index:
            raise InvariantError(f"log entry {index} applied after entry {self.index}")
        entry = _decode_command(index, command)
        requests = [_decode_request(index, data) for data in entry.requests]
        self.index = index
        self.now_s = max(self.now_s, entry.wall_s)
        self._skip_numbers_after_recovery(entry.cluster)
        self.claims.expire(self.now_s)
        self.orders.advance(self.now_s, self.limits)
        self.departed = self.departed.expire(self.now_s)
        replies = tuple(encode(self._handle(req)) for req in requests)
        return encode(CommandReply(replies))

    def snapshot(self) -> bytes:
        """Encode the complete state; equal states give equal bytes."""
        return encode(
            ControlSnapshot(
                index=self.index,
                now_s=self.now_s,
                limits=self.limits,
                revision=self.config.revision,
                profiles=tuple(self.config.profiles.values()),
                workspaces=tuple(self.config.workspaces.values()),
                leaving=tuple(sorted(self.config.leaving)),
                remembered=self.replies.items,
                audit=self.audit.entries,
                audit_last=self.audit.last,
                orders=self.orders.orders,
                order_last_id=self.orders.last_id,
                order_last_number=self.orders.last_number,
                fences=self.orders.fences,
                claims=self.claims.records,
                cluster=self.cluster,
                document=self.config.document,
                weights=self.config.weights,
                departures=self.departed.departures,
                cache_sharing=_sorted_or_none(self.cache_epoch.sharing),
                software=self.config.software,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; an older snapshot is an error."""
        snapshot = decode(data)
        if not isinstance(snapshot, ControlSnapshot):
            raise InvariantError(
                "the snapshot holds no control state; check the data folder"
            )
        if snapshot.index < self.index:
            raise InvariantError(
                f"snapshot {snapshot.index} is older than applied entry {self.index}"
            )
        self.index = snapshot.index
        self.now_s = snapshot.now_s
        self.limits = snapshot.limits
        self._set_config(_snapshot_config(snapshot))
        self.replies = ReplyCache(snapshot.remembered)
        self.audit = AuditTrail(snapshot.audit, snapshot.audit_last)
        self.orders = OrderTable(
            snapshot.orders,
            snapshot.order_last_id,
            snapshot.order_last_number,
            snapshot.fences,
        )
        self.claims = ClaimTable(snapshot.claims)
        self.departed = Departed(snapshot.departures)
        self.cache_epoch = _snapshot_epoch(snapshot)
        self.cluster = snapshot.cluster

    def preview(self, req: ChangeReq) -> ChangeReply:
        """Return the reply that ``req`` would get now, without applying it."""
        match evaluate(self.config, req):
            case Ok(changed):
                return ChangeReply(revision=changed.revision)
            case Err(refused):
                return refusal_reply(self.config, refused)

    def next_due_s(self) -> float | None:
        """Committed time at which the next order or claim expires, if any."""
        times = (self.orders.next_deadline_s(), self.claims.next_expiry_s())
        return min((time for time in times if time is not None), default=None)

    def _skip_numbers_after_recovery(self, cluster: str) -> None:
        """Skip numbers if the log was recovered as another cluster.

        The recovery may have lost changes and orders that are in force elsewhere;
        their numbers must not be reused for other content.
        """
        if cluster and self.cluster and cluster != self.cluster:
            revision = self.config.revision + NUMBERS_SKIPPED_AFTER_RECOVERY
            self._set_config(replace(self.config, revision=revision))
            self.orders.skip_numbers(NUMBERS_SKIPPED_AFTER_RECOVERY)
        self.cluster = cluster or self.cluster

    def _handle(self, req: Any) -> Any:
        return self._handlers[type(req)](req)

    def _change(self, req: ChangeReq) -> ChangeReply:
        cached = self._cached_reply(req)
        if isinstance(cached, Err):
            self._audit_change(req, self.config, cached.err_value.code)
            return refusal_reply(self.config, cached.err_value)
        if cached.ok_value is not None:
            self._audit_change(req, self.config, RESENT)
            reply: ChangeReply = decode(cached.ok_value)
            return reply
        reply = self._try_change(req)
        self._cache_reply(req, reply)
        return reply

    def _try_change(self, req: ChangeReq) -> ChangeReply:
        before = self.config
        match evaluate(before, req):
            case Ok(changed):
                self._set_config(changed)
                self._audit_change(req, before, ACCEPTED)
                return ChangeReply(revision=changed.revision)
            case Err(refused):
                self._audit_change(req, before, refused.code)
                return refusal_reply(before, refused)

    def _declare(self, req: DeclareReq) -> Ack:
        """Put a document in force unless one with its number or a higher one is."""
        current = self.config.document
        if current is not None and req.document.number <= current.number:
            return Ack()
        self.cache_epoch = self.cache_epoch.after(
            req.isolated, req.sharing, self.config.revision + 1
        )
        document = replace(req.document, cache_epoch=self.cache_epoch.number)
        self._commit_next_revision(document=document)
        self._audit_declared("declare", f"document {req.document.number}")
        return Ack()

    def _name_weights(self, req: NameWeightsReq) -> Ack:
        if req.version <= self.config.weights.get(req.model, 0):
            return Ack()
        self._commit_next_revision(
            weights={**self.config.weights, req.model: req.version}
        )
        self._audit_declared("name_weights", f"{req.model} {req.version}")
        return Ack()

    def _depart(self, req: DepartReq) -> Ack:
        self.departed = self.departed.add(req.record, self.now_s)
        return Ack()

    def _serve_software(self, req: ServeSoftwareReq) -> Ack:
        edit = with_version if req.in_service else without_version
        software = edit(self.config.software, req.pool, req.software)
        if software != self.config.software:
            self._commit_next_revision(software=software)
        return Ack()

    def _read_document(self, _req: ReadDocumentReq) -> DocumentReply:
        return DocumentReply(document=self.config.document)

    def _commit_next_revision(self, **changed: Any) -> None:
        revision = self.config.revision + 1
        self._set_config(replace(self.config, revision=revision, **changed))

    def _audit_declared(self, action: str, name: str) -> None:
        self.audit.add(
            keep=self.limits.audit_entries,
            wall_s=self.now_s,
            operator="",
            action=action,
            name=name,
            outcome=ACCEPTED,
            revision=self.config.revision,
        )

    def _set_config(self, config: Config) -> None:
        check_revision(self.config.revision, config.revision)
        self.config = config

    def _audit_change(self, req: ChangeReq, before: Config, outcome: str) -> None:
        for edit in req.edits:
            self.audit.add(
                keep=self.limits.audit_entries,
                wall_s=self.now_s,
                operator=req.operator,
                change_id=req.change_id,
                action=str(edit.kind),
                name=edit_name(edit),
                before=current_text(before, edit),
                after=requested_text(edit),
                outcome=outcome,
                revision=self.config.revision,
            )

    def _cached_reply(
        self, req: ChangeReq | PlaceOrderReq
    ) -> Result[bytes | None, Problem]:
        """The cached reply, None for a new id, or why the id can't be used."""
        cached = self.replies.get(req.change_id)
        if cached is None:
            return Ok(None)
        if cached.content != content_digest(req):
            return Err(problem(CHANGE_ID_REUSED, change_id=req.change_id))
        return Ok(cached.reply)

    def _cache_reply(self, req: ChangeReq | PlaceOrderReq, reply: Any) -> None:
        item = Remembered(req.change_id, content_digest(req), encode(reply))
        self.replies.add(item, self.limits.change_ids)

    def _place_order(self, req: PlaceOrderReq) -> PlaceOrderReply:
        cached = self._cached_reply(req)
        if isinstance(cached, Err):
            self._audit_order(req, cached.err_value.code)
            return PlaceOrderReply(problem=cached.err_value)
        if cached.ok_value is not None:
            self._audit_order(req, RESENT)
            reply: PlaceOrderReply = decode(cached.ok_value)
            return reply
        reply = self._try_order(req)
        self._cache_reply(req, reply)
        return reply

    def _try_order(self, req: PlaceOrderReq) -> PlaceOrderReply:
        match self.orders.place(req, self.now_s, self.limits):
            case Ok(order):
                self._audit_order(req, ACCEPTED)
                self.orders.advance(self.now_s, self.limits)
                return PlaceOrderReply(order=order)
            case Err(refused):
                self._audit_order(req, refused.code)
                return PlaceOrderReply(problem=refused)

    def _audit_order(self, req: PlaceOrderReq, outcome: str) -> None:
        self.audit.add(
            keep=self.limits.audit_entries,
            wall_s=self.now_s,
            operator=req.operator,
            change_id=req.change_id,
            action=str(req.kind),
            name=req.upstream,
            after=f"{req.model} {req.version}".strip(),
            outcome=outcome,
            revision=self.config.revision,
        )

    def _report_order(self, req: ReportOrderReq) -> Ack:
        refused = self.orders.report(req)
        self.orders.advance(self.now_s, self.limits)
        return Ack(problem=refused)

    def _read_fence(self, req: ReadFenceReq) -> FenceReply:
        return FenceReply(number=self.orders.fence(req.upstream))

    def _claim(self, req: ClaimReq) -> Any:
        return self.claims.claim(req, self.now_s, self.limits)

    def _move(self, req: MoveReq) -> Any:
        return self.claims.move(req, self.now_s, self.limits)

    def _release(self, req: ReleaseReq) -> Any:
        return self.claims.release(req)

    def _finish(self, req: FinishReq) -> Any:
        return self.claims.finish(req, self.now_s, self.limits)

    def _set_limits(self, req: SetLimitsReq) -> Ack:
        self.limits = req.limits
        self.orders.advance(self.now_s, self.limits)
        return Ack()

    def _advance_time(self, _req: TickReq) -> Ack:
        return Ack()

    def _add_note(self, req: NoteReq) -> Ack:
        self.audit.add(
            keep=self.limits.audit_entries,
            wall_s=self.now_s,
            operator=req.operator,
            action=req.action,
            after=req.detail,
            outcome=req.outcome,
            revision=self.config.revision,
        )
        return Ack()


def check_revision(current: int, new: int) -> None:
    """Raise InvariantError if the revision would decrease."""
    if new < current:
        raise InvariantError(f"revision would decrease from {current} to {new}")


def _snapshot_config(snapshot: ControlSnapshot) -> Config:
    return Config(
        revision=snapshot.revision,
        profiles={profile.name: profile for profile in snapshot.profiles},
        workspaces={workspace.name: workspace for workspace in snapshot.workspaces},
        leaving=frozenset(snapshot.leaving),
        document=snapshot.document,
        weights=snapshot.weights,
        software=snapshot.software,
    )


def _sorted_or_none(names: frozenset[str] | None) -> tuple[str, ...] | None:
    return None if names is None else tuple(sorted(names))


def _snapshot_epoch(snapshot: ControlSnapshot) -> CacheEpoch:
    if snapshot.document is None:
        return CacheEpoch()
    names = snapshot.cache_sharing
    sharing = None if names is None else frozenset(names)
    return CacheEpoch(snapshot.document.cache_epoch, sharing)


def _decode_command(index: int, data: bytes) -> Command:
    entry = _decode_request(index, data)
    if not isinstance(entry, Command):
        raise InvariantError(
            f"log entry {index} is not a Command; check the data folder"
        )
    return entry


def _decode_request(index: int, data: bytes) -> Any:
    try:
        return decode(data)
    except CodecError as exc:
        raise InvariantError(
            f"log entry {index} can't be decoded; upgrade this replica"
        ) from exc
