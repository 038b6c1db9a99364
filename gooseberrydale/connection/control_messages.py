"""Requests that the control replicas commit, and the replies to them.

Entries and sidecars send these messages to the control replicas, which also store them
in the replicated log: a log entry is one :class:`Command`, a group of encoded requests
with the wall time of the proposer.  All requests are idempotent; a sender may repeat
one if the reply was lost.  If ``problem`` is set in a reply, the request changed
nothing, and ``leader`` is the gRPC address of the replica to call instead, empty if
unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem
from gooseberrydale.version.declarations import Document, Profile, Workspace


@message
@dataclass(frozen=True, slots=True)
class Command:
    """One log entry: requests that are applied in order, as of ``wall_s``.

    ``wall_s`` is the proposer's clock in Unix seconds.  ``cluster`` is the id of the
    proposer's cluster; it changes when a cluster is recovered from one disk.
    """

    wall_s: float
    requests: tuple[bytes, ...]
    cluster: str = ""


@message
@dataclass(frozen=True, slots=True)
class CommandReply:
    """The encoded replies to the requests of one command, in order."""

    replies: tuple[bytes, ...]


@message
@dataclass(frozen=True, slots=True)
class Ack:
    """Reply that states only whether a request was accepted."""

    problem: Problem | None = None
    leader: str = ""


# Changes of the declarations.


class EditKind(StrEnum):
    """The kinds of edits of the declarations."""

    APPLY_PROFILE = "apply_profile"
    RETIRE_PROFILE = "retire_profile"
    APPLY_WORKSPACE = "apply_workspace"
    RETIRE_WORKSPACE = "retire_workspace"
    MARK_LEAVING = "mark_leaving"
    UNMARK_LEAVING = "unmark_leaving"


@message
@dataclass(frozen=True, slots=True)
class Edit:
    """One edit of the declarations.

    ``name`` is the profile or workspace to retire, or the upstream to mark or unmark as
    leaving.
    """

    kind: EditKind
    name: str = ""
    profile: Profile | None = None
    workspace: Workspace | None = None


@message
@dataclass(frozen=True, slots=True)
class ChangeReq:
    """Asks for edits that take effect together, if ``base`` is the current revision."""

    change_id: str
    base: int
    operator: str
    edits: tuple[Edit, ...]


@message
@dataclass(frozen=True, slots=True)
class ChangeReply:
    """Reply to a :class:`ChangeReq`.

    ``revision`` is the one that the change created, or the current one if the change
    was refused.
    """

    revision: int = 0
    problem: Problem | None = None
    leader: str = ""


# Complete configuration documents, and the weights versions of models.


@message
@dataclass(frozen=True, slots=True)
class DeclareReq:
    """Activates a document unless the current one has the same or a higher number.

    ``isolated`` and ``sharing`` are the workspaces in it by whether they share cached
    prefixes with others; proposers of releases without cache epochs leave them out.
    """

    document: Document
    isolated: tuple[str, ...] | None = None
    sharing: tuple[str, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class NameWeightsReq:
    """Sets the weights version of ``model``, unless a newer one has been set."""

    model: str
    version: int


@message
@dataclass(frozen=True, slots=True)
class DepartReq:
    """Records that an upstream leaves; ``record`` is its announcement of that."""

    record: UpstreamRecord


@message
@dataclass(frozen=True, slots=True)
class ServeSoftwareReq:
    """Lists a software version that upstreams of ``pool`` run, or removes it."""

    pool: str
    software: str
    in_service: bool = True


@message
@dataclass(frozen=True, slots=True)
class ReadDocumentReq:
    """Reads the current document through the log, which rules out an outdated one."""


@message
@dataclass(frozen=True, slots=True)
class DocumentReply:
    """The current document at the time of the commit, None if there is none."""

    document: Document | None = None
    problem: Problem | None = None
    leader: str = ""


# Orders to upstreams.


class OrderKind(StrEnum):
    """The operations that an upstream can be ordered to execute."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderState(StrEnum):
    """The state of an order; ``DONE``, ``FAILED`` and ``LOST`` are final."""

    PENDING = "pending"
    ISSUED = "issued"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


@message
@dataclass(frozen=True, slots=True)
class Order:
    """An order to one upstream, with its state.

    ``order_id`` numbers the orders in the sequence in which they were placed.
    ``number`` is the fencing number, assigned when the order is issued; 0 before.
    ``placed_s`` and ``deadline_s`` are in committed time, which advances with the
    ``wall_s`` of log entries.
    """

    order_id: int
    kind: OrderKind
    upstream: str
    model: str
    version: str
    operator: str
    placed_s: float
    state: OrderState = OrderState.PENDING
    number: int = 0
    deadline_s: float = 0.0
    detail: str = ""


@message
@dataclass(frozen=True, slots=True)
class PlaceOrderReq:
    """Places an order for an operator; a resend has the same ``change_id``.

    ``announced`` states whether the proposing leader had received an announcement of
    the upstream.  The flag is stored in the log entry since the received announcements
    differ between replicas, and all replicas must decide alike.
    """

    change_id: str
    operator: str
    upstream: str
    kind: OrderKind
    model: str = ""
    version: str = ""
    announced: bool = True


@message
@dataclass(frozen=True, slots=True)
class PlaceOrderReply:
    """Reply to a :class:`PlaceOrderReq`: the order that was placed."""

    order: Order | None = None
    problem: Problem | None = None
    leader: str = ""


@message
@dataclass(frozen=True, slots=True)
class ReportOrderReq:
    """Reports that the upstream has executed the order ``number``, or refused it."""

    number: int
    upstream: str
    done: bool
    detail: str = ""


@message
@dataclass(frozen=True, slots=True)
class ReadFenceReq:
    """Reads the highest fencing number issued to ``upstream`` from a quorum."""

    upstream: str


@message
@dataclass(frozen=True, slots=True)
class FenceReply:
    """Reply to a :class:`ReadFenceReq`; ``number`` is 0 if none was issued."""

    number: int = 0
    problem: Problem | None = None
    leader: str = ""


@message
@dataclass(frozen=True, slots=True)
class OrderReq:
    """Sends an issued order from the leader to a sidecar.

    The sidecar refuses a number below the highest that it has received.  For an equal
    number it does not execute the order again but replies with its state.
    """

    number: int
    kind: OrderKind
    upstream: str
    model: str = ""
    version: str = ""


@message
@dataclass(frozen=True, slots=True)
class OrderReply:
    """Reply to an :class:`OrderReq`.

    ``finished`` is False while the upstream is still executing the order.
    """

    number: int
    finished: bool
    problem: Problem | None = None


# Claims on calls that must not run twice, by Idempotency-Key.


@message
@dataclass(frozen=True, slots=True)
class Holder:
    """The one attempt that may run a claimed call.

    ``incarnation`` is that of the sidecar.  ``record_seq`` is the ``seq`` of the
    sidecar's announcement that the attempt is based on (0: not stated).
    """

    request_id: str
    attempt: int
    sidecar: str
    address: str
    incarnation: str
    record_seq: int = 0


class ClaimState(StrEnum):
    """The state of a claimed call; all but ``RUNNING`` are final."""

    RUNNING = "running"
    FINISHED = "finished"
    OUTCOME_UNKNOWN = "outcome_unknown"


@message
@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The committed state of one Idempotency-Key of one workspace.

    ``digest`` is the digest of the request body.  ``answer_kept`` is False if the body
    of the answer was too large to store; only its status and headers are available
    then.
    """

    workspace: str
    key: str
    digest: bytes
    holder: Holder
    expires_s: float
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    answer_kept: bool = True


@message
@dataclass(frozen=True, slots=True)
class ClaimReq:
    """Claims a key for one attempt, before that attempt is dispatched."""

    workspace: str
    key: str
    digest: bytes
    holder: Holder


@message
@dataclass(frozen=True, slots=True)
class MoveReq:
    """Moves a claim from one attempt to another.

    ``tombstone`` states that the sidecar of ``old`` has confirmed that ``old`` has
    not run and never will.
    """

    workspace: str
    key: str
    old: Holder
    new: Holder
    tombstone: bool


@message
@dataclass(frozen=True, slots=True)
class ReleaseReq:
    """Releases a claim after a confirmed tombstone; the key can be claimed again."""

    workspace: str
    key: str
    holder: Holder
    tombstone: bool


@message
@dataclass(frozen=True, slots=True)
class FinishReq:
    """Records the answer of the claimed call, or that its outcome is unknown."""

    workspace: str
    key: str
    holder: Holder
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    outcome_unknown: bool = False


@message
@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to requests that claim, move, release or finish.

    If ``granted`` is True, the holder named in the request may be dispatched.
    Otherwise ``record`` is the committed claim, or ``problem`` states why the request
    changed nothing.
    """

    granted: bool = False
    record: ClaimRecord | None = None
    problem: Problem | None = None
    leader: str = ""


# Maintenance, proposed by the leader itself.


@message
@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the replicated state, which are part of that state themselves.

    Replicas may run with different settings for a while, so changed settings take
    effect only through the log.  Times are in seconds, sizes in bytes.
    """

    audit_entries: int = 10_000
    change_ids: int = 10_000
    orders: int = 1_000
    loads_at_once: int = 2
    order_deadline_s: float = 150.0
    claims: int = 30_000
    claims_per_workspace: int = 15_000
    claim_ttl_s: float = 43_200.0
    claim_body_bytes: int = 65_536
    claim_total_bytes: int = 8 * 1024 * 1024


@message
@dataclass(frozen=True, slots=True)
class SetLimitsReq:
    """Replaces the bounds of the replicated state."""

    limits: Limits


@message
@dataclass(frozen=True, slots=True)
class TickReq:
    """Advances committed time, which lets deadlines and expiries take effect."""


@message
@dataclass(frozen=True, slots=True)
class NoteReq:
    """Adds an audit entry for an event that is not a change, such as a bad token."""

    operator: str
    action: str
    detail: str
    outcome: str
