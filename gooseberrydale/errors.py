"""All errors that the router reports, with their codes and message texts.

Every error that a process returns to a caller, an operator or another process is a
:class:`Problem` built from one of the kinds below.  Each message says what the
recipient can do about it.  Modules without I/O return problems inside
``result.Err``; only the outermost layer turns them into HTTP or gRPC responses.
"""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class ErrorKind:
    """The code, HTTP status and message template of one kind of error.

    The template's placeholders are named as in ``str.format``.  Codes are part of the
    interface: clients match them.
    """

    code: str
    status: int
    template: str


@dataclass(frozen=True, slots=True)
class Problem:
    """One error, ready to be returned.

    ``not_run`` is True only if the work is known never to have started, False
    if it is known to have run, and None if the outcome is unknown.
    ``retry_after_s`` is the time after which a retry may succeed, in seconds; None if
    a retry does not help.
    """

    code: str
    status: int
    message: str
    not_run: bool | None = True
    retry_after_s: float | None = None

    def with_outcome(self, not_run: bool | None) -> Problem:
        """Return a copy of this problem with ``not_run`` replaced."""
        return replace(self, not_run=not_run)


def problem(
    kind: ErrorKind,
    /,
    *,
    not_run: bool | None = True,
    retry_after_s: float | None = None,
    **fields: object,
) -> Problem:
    """Build a problem of ``kind``; ``fields`` fill its template's placeholders."""
    return Problem(
        code=kind.code,
        status=kind.status,
        message=kind.template.format(**fields),
        not_run=not_run,
        retry_after_s=retry_after_s,
    )


class ProblemError(Exception):
    """Raises a :class:`Problem` where a ``Result`` can't be returned."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.message)
        self.problem = problem


class InvariantError(AssertionError):
    """An invariant of the program is violated, which means a bug.

    No code recovers from it: if a task raises it, the runner stops the process.
    """


# Errors of callers: authentication and invalid requests.
MISSING_KEY = ErrorKind(
    "missing_key", 401, "No API key was sent; send 'Authorization: Bearer KEY'."
)
INVALID_KEY = ErrorKind(
    "invalid_key",
    401,
    "The API key is unknown; ask your operator for a key of your workspace.",
)
UNKNOWN_PROFILE = ErrorKind(
    "unknown_profile",
    404,
    "Profile {profile!r} does not exist or this workspace may not use it;"
    " GET /v1/models lists the profiles that it may use.",
)
WRONG_PROFILE_KIND = ErrorKind(
    "wrong_profile_kind",
    400,
    "Profile {profile!r} is of kind {kind!r}; send the request to {path}.",
)
INVALID_JSON = ErrorKind(
    "invalid_json", 400, "The body is not valid JSON in UTF-8 ({reason}); correct it."
)
INVALID_FIELD = ErrorKind(
    "invalid_field", 400, "The body does not match the interface: {reason}; correct it."
)
TOO_MANY_VALUES = ErrorKind(
    "too_many_values",
    400,
    "The body has over {limit} strings, objects and arrays; send fewer, or join them.",
)
BODY_TOO_LARGE = ErrorKind(
    "body_too_large",
    413,
    "The body is over the limit of {limit} bytes; send a smaller one.",
)
BODY_TIMEOUT = ErrorKind(
    "body_timeout",
    408,
    "The body did not arrive within {limit_s:g} s; send it again without pauses.",
)

INVALID_HTTP = ErrorKind(
    "invalid_http", 400, "The request is not valid HTTP/1.1; correct the client."
)
HEAD_TOO_LARGE = ErrorKind(
    "head_too_large",
    431,
    "The request's head is over the limit of {limit} bytes; send fewer headers.",
)
HEAD_TIMEOUT = ErrorKind(
    "head_timeout",
    408,
    "The request's head did not arrive within {limit_s:g} s; send it without pauses.",
)
NO_ROUTE = ErrorKind(
    "no_route",
    404,
    "There is no {method} {path}; use /v1/chat/completions, /v1/completions,"
    " /v1/models or /services/PROFILE/PATH.",
)
WRONG_METHOD = ErrorKind(
    "wrong_method", 405, "{path} does not accept {method}; use another method."
)
NOT_READY = ErrorKind(
    "not_ready",
    503,
    "This entry has no configuration yet; retry after the given time.",
)
CONFIG_UNCONFIRMED = ErrorKind(
    "config_unconfirmed",
    503,
    "The configuration in force here doesn't allow this request, but it may be out of"
    " date; send the request again after the given time, or to another process.",
)
STREAM_HANDED_OVER = ErrorKind(
    "stream_handed_over",
    503,
    "This entry is shutting down and another one continues the answer; send the"
    " request again with the last event's id as Last-Event-ID.",
)
STREAM_TAKEN_OVER = ErrorKind(
    "stream_taken_over",
    409,
    "The answer was requested on a newer connection and continues there; read it"
    " there, or send the request again with Last-Event-ID.",
)
STREAM_INCOMPLETE = ErrorKind(
    "stream_incomplete",
    502,
    "The answer ends here before it is complete; send the request again if it may be"
    " repeated.",
)

NO_DECLARED_ROUTE = ErrorKind(
    "no_declared_route",
    404,
    "No route is declared for host {host!r} and this path; check both.",
)
UNKNOWN_CALLER_KEY = ErrorKind(
    "unknown_caller_key",
    401,
    "The key is missing or belongs to no workspace; ask your operator for one.",
)
INVALID_HEADER = ErrorKind(
    "invalid_header", 400, "The header {name!r} is not valid: {reason}; correct it."
)
BODY_UNREADABLE = ErrorKind(
    "body_unreadable", 400, "The body ended before it was complete; send it again."
)
WAITED_TOO_LONG = ErrorKind(
    "waited_too_long",
    504,
    "The upstream did not answer before the deadline of this request; the request may"
    " have run.",
)
UPSTREAM_ANSWER_INVALID = ErrorKind(
    "upstream_answer_invalid",
    502,
    "The upstream's answer was invalid or incomplete ({reason}); the request may have"
    " run.",
)
RESPONSE_TOO_LONG = ErrorKind(
    "response_too_long",
    502,
    "The {part} of the response exceeds {limit} bytes; repair the upstream.",
)
UPSTREAMS_REFUSE = ErrorKind(
    "upstreams_refuse",
    503,
    "The upstreams of pool {pool!r} accept no more work at present; retry after the"
    " given time.",
)
ENDS_UPSTREAMS = ErrorKind(
    "ends_upstreams",
    503,
    "{count} upstreams terminated while they ran this request, so it is not sent to"
    " another one; change it, or ask your operator about {digest}.",
)
ENDED_UPSTREAMS = ErrorKind(
    "ended_upstreams",
    502,
    "The request was sent, and {count} upstreams terminated while they ran it; change"
    " it, or ask your operator about {digest}.",
)
PART_ENDS_UPSTREAMS = ErrorKind(
    "part_ends_upstreams",
    503,
    "{count} upstreams terminated while they ran requests with a part of this prompt,"
    " so it is not sent to another one; change it, or ask your operator about"
    " {digest}.",
)
PART_ENDED_UPSTREAMS = ErrorKind(
    "part_ended_upstreams",
    502,
    "The request was sent, and {count} upstreams terminated while they ran requests"
    " with a part of this prompt; change it, or ask your operator about {digest}.",
)
OVER_QUOTA = ErrorKind(
    "over_quota",
    429,
    "Workspace {workspace!r} is over its quota, and this request costs {cost}; retry"
    " after the given time, or ask your operator for a higher quota.",
)
GATEWAY_OVERLOADED = ErrorKind(
    "gateway_overloaded",
    503,
    "This gateway has more requests than it can answer in time; send the request to"
    " another one after the given time.",
)
CLIENTS_HOLD_TOO_MUCH = ErrorKind(
    "clients_hold_too_much",
    503,
    "This process holds too many bytes of unfinished requests to read this one; send it"
    " again after the given time, whole and without pauses.",
)
NO_ROOM = ErrorKind(
    "no_room",
    503,
    "The upstreams of pool {pool!r} have no capacity to answer in time; retry after"
    " the given time.",
)

# Errors of the request path.
NO_UPSTREAM = ErrorKind(
    "no_upstream",
    503,
    "No upstream of pool {pool!r} is ready; retry after the given time.",
)
UNKNOWN_ORIGIN = ErrorKind(
    "unknown_origin",
    503,
    "It is not known which upstreams can continue this stream; send the request again"
    " without Last-Event-Id to start a new one.",
)
SOFTWARE_GONE = ErrorKind(
    "software_gone",
    503,
    "No upstream of pool {pool!r} serves software version {software!r}, which began"
    " this stream; send the request again without Last-Event-Id to start a new one.",
)
QUEUE_FULL = ErrorKind(
    "queue_full",
    429,
    "The queue of the upstream is full; retry after the given time.",
)
DEADLINE_TOO_CLOSE = ErrorKind(
    "deadline_too_close",
    429,
    "The expected wait of {wait_s:.2f} s exceeds the deadline of {deadline_s:.2f} s;"
    " retry after the given time.",
)
DEADLINE_PASSED = ErrorKind(
    "deadline_passed",
    504,
    "The deadline passed before the answer was complete; retry after the given time"
    " or allow a longer deadline.",
)
RETRY_BUDGET_SPENT = ErrorKind(
    "retry_budget_spent",
    503,
    "The retry budget is exhausted because many upstreams fail; retry after the given"
    " time.",
)
UPSTREAM_LEAVING = ErrorKind(
    "upstream_leaving",
    503,
    "Upstream {upstream!r} is leaving and accepts no new work; send it to another one.",
)
UPSTREAM_FAILED = ErrorKind(
    "upstream_failed",
    502,
    "The upstream failed while it processed the request; send the request again"
    " if it may be repeated.",
)
ANSWER_TOO_LARGE = ErrorKind(
    "answer_too_large",
    502,
    "The answer has more than {limit} bytes, the most that is held of one; ask for it"
    " in parts.",
)
ANSWERS_HOLD_TOO_MUCH = ErrorKind(
    "answers_hold_too_much",
    503,
    "This process holds too many bytes of unfinished answers to keep this one; send the"
    " request again after the given time if it may be repeated.",
)
UPSTREAM_UNREACHABLE = ErrorKind(
    "upstream_unreachable",
    503,
    "The upstream could not be reached; retry after the given time.",
)
WRONG_INCARNATION = ErrorKind(
    "wrong_incarnation",
    409,
    "The sidecar runs as incarnation {actual}, not {wanted}; refresh the view and"
    " dispatch again.",
)
TOMBSTONED = ErrorKind(
    "tombstoned",
    409,
    "Attempt {attempt} of request {request_id} was cancelled before it started; do"
    " not send it again.",
)
DUPLICATE_ATTEMPT = ErrorKind(
    "duplicate_attempt",
    409,
    "Attempt {attempt} of request {request_id} was already accepted; attach to it.",
)
STALE_DISPATCH = ErrorKind(
    "stale_dispatch",
    409,
    "The dispatch is based on announcement {seq}, which is over {limit_s:g} s old;"
    " refresh the view and dispatch again.",
)
UNKNOWN_STREAM = ErrorKind(
    "unknown_stream",
    404,
    "Stream {request_id} is not stored here at offset {offset}; send the request again"
    " if it may be repeated.",
)
STREAM_UNCONFIRMED = ErrorKind(
    "stream_unconfirmed",
    503,
    "The upstream of stream {request_id} is not known here, but this process may be out"
    " of touch with control; attach again after the given time, or at another process.",
)
SHUTTING_DOWN = ErrorKind(
    "shutting_down",
    503,
    "This process is shutting down and accepts no new work; send it to another one.",
)
OUTCOME_UNKNOWN = ErrorKind(
    "outcome_unknown",
    502,
    "The request was sent but its outcome is unknown; check with the service before"
    " you send it again.",
)
INTERNAL = ErrorKind(
    "internal",
    500,
    "The router failed on this request; report the request id to your operator.",
)

# Errors of claims: the records by which calls that may not be repeated run only once.
KEY_REUSED = ErrorKind(
    "idempotency_key_reused",
    422,
    "This Idempotency-Key was used with another body before; use a new key.",
)
CLAIM_UNAVAILABLE = ErrorKind(
    "claim_unavailable",
    503,
    "The claim could not be committed; retry after the given time with the same key.",
)
KEY_TOO_LONG = ErrorKind(
    "idempotency_key_too_long",
    400,
    "The Idempotency-Key is over {limit} characters; send a shorter one.",
)
CLAIMS_FULL = ErrorKind(
    "claims_full",
    503,
    "No more claims can be stored; retry after the given time or ask your operator to"
    " raise the limits of claims.",
)
CLAIM_MOVED = ErrorKind(
    "claim_moved",
    409,
    "Claim {key!r} is held by attempt {attempt} of request {request_id}; read the"
    " record and follow that attempt.",
)
UNKNOWN_CLAIM = ErrorKind(
    "unknown_claim",
    404,
    "There is no claim {key!r}; it may have expired, claim the key again before"
    " dispatch.",
)
TOMBSTONE_MISSING = ErrorKind(
    "tombstone_missing",
    409,
    "The sidecar has not confirmed that attempt {attempt} of request {request_id}"
    " can't run; cancel it there first.",
)
ANSWER_NOT_KEPT = ErrorKind(
    "answer_not_kept",
    409,
    "The call ran and ended with status {status}, but its answer was too large to"
    " store; read the result from the service.",
)

# Errors between processes and towards operators.
WRONG_FLEET_TOKEN = ErrorKind(
    "wrong_fleet_token",
    401,
    "The fleet token is missing or wrong; set the same 'fleet_token_file' on every"
    " process.",
)
WRONG_OPERATOR_TOKEN = ErrorKind(
    "wrong_operator_token",
    401,
    "The operator token is missing or wrong; pass --token-file with a listed token.",
)
MESH_NO_HELLO = ErrorKind(
    "mesh_no_hello",
    400,
    "A mesh session began with {got} instead of Hello; run the same major version on"
    " all processes.",
)
REPLACED_INCARNATION = ErrorKind(
    "replaced_incarnation",
    409,
    "Upstream {name!r} was announced by incarnation {later}, which is newer than this"
    " one, {own}; give each sidecar a unique name, and check that the clock of this"
    " instance was not set back.",
)
NOT_LEADER = ErrorKind(
    "not_leader", 421, "This replica is not the leader; send the change to {leader}."
)
CATCHING_UP = ErrorKind(
    "catching_up",
    503,
    "This replica has just started and has not yet received the committed state; ask"
    " another one, or retry after the given time.",
)
NO_QUORUM = ErrorKind(
    "no_quorum",
    503,
    "No quorum of control replicas answered, so the change may or may not be"
    " committed; send it again with the same change id.",
)
DISK_FULL = ErrorKind(
    "disk_full",
    507,
    "The disk of {folder} is full; free space there, the replica resumes by itself.",
)
DISK_DAMAGED = ErrorKind(
    "disk_damaged",
    500,
    "{file} is corrupt in data that was already synced ({reason}); treat the disk as"
    " failed: empty the data folder and restart, the leader replaces this replica.",
)
DISK_FAILED = ErrorKind(
    "disk_failed",
    500,
    "Writing {file} failed ({reason}); replace the disk, empty the data folder and"
    " restart, the leader replaces this replica.",
)
ALREADY_STARTED = ErrorKind(
    "already_started",
    409,
    "The data folder {folder} already holds a log; init is for the first start only.",
)
FOLDER_IN_USE = ErrorKind(
    "folder_in_use",
    409,
    "The data folder {folder} is in use by a running process; stop that process first.",
)
NOTHING_TO_RECOVER = ErrorKind(
    "nothing_to_recover",
    409,
    "The data folder {folder} holds no log; run recover on a replica with an intact"
    " disk.",
)
REVISION_CONFLICT = ErrorKind(
    "revision_conflict",
    409,
    "The change is based on revision {base}, but {current} is in force; show the"
    " difference and apply the change again.",
)
REVISION_FROM_FUTURE = ErrorKind(
    "revision_from_future",
    409,
    "The change is based on revision {base}, but the last committed one is {current};"
    " read the configuration again.",
)
CHANGE_ID_REUSED = ErrorKind(
    "change_id_reused",
    409,
    "Change id {change_id!r} was used for another change; use a new change id.",
)
INVALID_DOCUMENT = ErrorKind(
    "invalid_document", 400, "The document can't be applied: {reason}; correct it."
)
INVALID_DECLARATION = ErrorKind(
    "invalid_declaration", 422, "The declaration is not valid: {reason}; correct it."
)
UNKNOWN_NAME = ErrorKind(
    "unknown_name", 404, "There is no {what} {name!r}; list them to see the names."
)
STALE_FENCING_NUMBER = ErrorKind(
    "stale_fencing_number",
    409,
    "The order has fencing number {number}, but {current} was already received; read"
    " the orders again.",
)
WEIGHTS_NOT_LOADED = ErrorKind(
    "weights_not_loaded",
    502,
    "The weights could not be read ({reason}); the old ones stay loaded, send the"
    " order again.",
)
ORDER_REFUSED = ErrorKind(
    "order_refused",
    502,
    "The upstream answered order {number} with status {status}; read its log and send"
    " the order again.",
)
ORDERS_FULL = ErrorKind(
    "orders_full",
    429,
    "{limit} orders are waiting already; retry after the given time.",
)
NOT_PROPOSABLE = ErrorKind(
    "not_proposable",
    400,
    "Control accepts no {what} on this interface; use the operators' interface.",
)
CONTROL_UNREACHABLE = ErrorKind(
    "control_unreachable",
    503,
    "No control replica answered ({reason}); check the addresses and send the same"
    " change id again.",
)
INVALID_SETTING = ErrorKind("invalid_setting", 2, "{file}: {key}: {reason}; {remedy}.")
