"""Requests that the control replicas commit, and their replies.

The same messages travel from entries and sidecars to control and stand in the
replicated log: a log entry is one :class:`Command`, a group of encoded requests
with the proposer's wall time.  All requests are idempotent, so that a sender may
repeat one whose answer was lost.  A reply with ``problem`` changed nothing; its
``leader`` is the gRPC address of the replica to ask instead, empty if unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale.connection.codec import message
from gooseberrydale.errors import Problem
from gooseberrydale.version.declarations import Document, Profile, Workspace


@message
@dataclass(frozen=True, slots=True)
class Command:
    """One log entry: requests applied in order at ``wall_s`` (Unix seconds).

    ``cluster`` is the id of the proposer's cluster; it changes when a cluster is
    recovered from one disk.
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
    """Reply to a request that answers nothing but whether it was taken."""

    problem: Problem | None = None
    leader: str = ""


# Changes of the declarations.


class EditKind(StrEnum):
    """What one edit does."""

    APPLY_PROFILE = "apply_profile"
    RETIRE_PROFILE = "retire_profile"
    APPLY_WORKSPACE = "apply_workspace"
    RETIRE_WORKSPACE = "retire_workspace"
    MARK_LEAVING = "mark_leaving"
    UNMARK_LEAVING = "unmark_leaving"


@message
@dataclass(frozen=True, slots=True)
class Edit:
    """One edit; ``name`` is what is retired, marked or unmarked."""

    kind: EditKind
    name: str = ""
    profile: Profile | None = None
    workspace: Workspace | None = None


@message
@dataclass(frozen=True, slots=True)
class ChangeReq:
    """Edits that take effect together, if ``base`` is the revision in force."""

    change_id: str
    base: int
    operator: str
    edits: tuple[Edit, ...]


@message
@dataclass(frozen=True, slots=True)
class ChangeReply:
    """``revision`` is the one that the change made, or the one in force."""

    revision: int = 0
    problem: Problem | None = None
    leader: str = ""


# Whole documents, and the weights that models are served with.


@message
@dataclass(frozen=True, slots=True)
class DeclareReq:
    """Put a document in force unless one with a number as high is."""

    document: Document


@message
@dataclass(frozen=True, slots=True)
class NameWeightsReq:
    """Serve ``model`` with ``version``, unless a later one was named."""

    model: str
    version: int


@message
@dataclass(frozen=True, slots=True)
class ReadDocumentReq:
    """Ask for the document in force; read through the log, so never an older one."""


@message
@dataclass(frozen=True, slots=True)
class DocumentReply:
    """The document in force when the request was committed, None if there is none."""

    document: Document | None = None
    problem: Problem | None = None
    leader: str = ""


# Orders to upstreams.


class OrderKind(StrEnum):
    """What an upstream is told to do."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderState(StrEnum):
    """Where an order stands; the last three are final."""

    PENDING = "pending"
    ISSUED = "issued"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


@message
@dataclass(frozen=True, slots=True)
class Order:
    """One order.

    ``order_id`` counts orders as placed.  ``number`` is the fencing number, given
    when the order is issued; 0 before.  ``deadline_s`` is in committed time.
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
    """An operator's order; ``change_id`` names it for resends.

    ``announced`` is whether the proposing leader knew the upstream.  It is part of
    the entry, since what is announced differs from replica to replica.
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
    """The order as placed."""

    order: Order | None = None
    problem: Problem | None = None
    leader: str = ""


@message
@dataclass(frozen=True, slots=True)
class ReportOrderReq:
    """The upstream has carried out the order under ``number``, or refused it."""

    number: int
    upstream: str
    done: bool
    detail: str = ""


@message
@dataclass(frozen=True, slots=True)
class ReadFenceReq:
    """Ask a quorum for the highest fencing number issued to ``upstream``."""

    upstream: str


@message
@dataclass(frozen=True, slots=True)
class FenceReply:
    """The highest fencing number issued to the upstream; 0 if none was."""

    number: int = 0
    problem: Problem | None = None
    leader: str = ""


@message
@dataclass(frozen=True, slots=True)
class OrderReq:
    """An issued order on its way from the leader to a sidecar.

    The sidecar refuses a number below the highest it knows; under an equal number
    it does not start again but answers with the state of that order.
    """

    number: int
    kind: OrderKind
    upstream: str
    model: str = ""
    version: str = ""


@message
@dataclass(frozen=True, slots=True)
class OrderReply:
    """``finished`` is False while the upstream still works on the order."""

    number: int
    finished: bool
    problem: Problem | None = None


# Claims of calls that may not be repeated.


@message
@dataclass(frozen=True, slots=True)
class Holder:
    """The one attempt that may run: request, attempt, and the sidecar's incarnation.

    ``record_seq`` is the sidecar's announcement that the attempt is based on.
    """

    request_id: str
    attempt: int
    sidecar: str
    address: str
    incarnation: str
    record_seq: int = 0


class ClaimState(StrEnum):
    """Where the claimed call stands; the last two are final."""

    RUNNING = "running"
    FINISHED = "finished"
    OUTCOME_UNKNOWN = "outcome_unknown"


@message
@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """What is committed about one Idempotency-Key of one workspace.

    ``digest`` is the digest of the body.  ``answer_kept`` is False if the answer
    was too large to keep; then status and headers alone are known.
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
    """Claim a key for one attempt, before that attempt is dispatched."""

    workspace: str
    key: str
    digest: bytes
    holder: Holder


@message
@dataclass(frozen=True, slots=True)
class MoveReq:
    """Hand a claim to another attempt.

    ``tombstone`` states that the sidecar of ``old`` has confirmed that ``old``
    never ran and never will.
    """

    workspace: str
    key: str
    old: Holder
    new: Holder
    tombstone: bool


@message
@dataclass(frozen=True, slots=True)
class ReleaseReq:
    """Give a claim up after a confirmed tombstone, so that the key is free."""

    workspace: str
    key: str
    holder: Holder
    tombstone: bool


@message
@dataclass(frozen=True, slots=True)
class FinishReq:
    """Record the answer of the claimed call, or that its outcome is unknown."""

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
    """Reply to claim, move, release and finish.

    ``granted`` allows the holder named in the request to be dispatched.  Otherwise
    ``record`` is what is committed, or ``problem`` says why nothing was done.
    """

    granted: bool = False
    record: ClaimRecord | None = None
    problem: Problem | None = None
    leader: str = ""


# Upkeep, proposed by the leader itself.


@message
@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the replicated state; they are part of it.

    Replicas may run with different settings for a while, so the settings take
    effect only through the log.  Times are seconds, sizes bytes.
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
    """Put other bounds in force."""

    limits: Limits


@message
@dataclass(frozen=True, slots=True)
class TickReq:
    """Let committed time pass, so that deadlines and expiries take effect."""


@message
@dataclass(frozen=True, slots=True)
class NoteReq:
    """Write an entry into the audit trail that is no change, such as a bad token."""

    operator: str
    action: str
    detail: str
    outcome: str
