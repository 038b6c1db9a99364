"""The operators' HTTP interface: reads of the committed state, and changes.

Reads are answered from this replica's state, which may lag behind the leader's; with
``?from=leader`` only the leader answers them. Changes are committed through the log,
and a replica that doesn't lead refuses them. Every path needs an operator's token;
attempts without one are recorded in the audit log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from loguru import logger
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.connection.control_messages import (
    ChangeReply,
    ChangeReq,
    Edit,
    EditKind,
    NoteReq,
    OrderKind,
    PlaceOrderReq,
)
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import (
    BODY_TOO_LARGE,
    CATCHING_UP,
    INVALID_FIELD,
    INVALID_JSON,
    NOT_LEADER,
    SHUTTING_DOWN,
    TOO_MANY_VALUES,
    UNKNOWN_NAME,
    WRONG_OPERATOR_TOKEN,
    Problem,
    problem,
)
from gooseberrydale.process.cfg import MAX_BODY_VALUES, MAX_CONTROL_BODY_BYTES
from gooseberrydale.process.control import operator_views as views
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.operator_auth import OperatorTokens
from gooseberrydale.request.fingerprint import fingerprint_text
from gooseberrydale.request.json_values import has_more_values
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.acknowledgements import Acknowledgements
from gooseberrydale.version.change import join_faults
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Profile, Workspace
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.structuring import structure
from gooseberrydale.version.validation import NAME_PATTERN

STATUS_PATH = "/v1/status"
CATCH_UP_RETRY_AFTER_S = 1.0
DEFAULT_AUDIT_COUNT = 100
INVALID_CHANGE_ID = problem(
    INVALID_FIELD, reason="change_id: use letters, digits and ._:/- (128 at most)"
)
MAX_AUDIT_DETAIL_CHARS = 500
WRONG_TOKEN_AUDIT_INTERVAL_S = 1.0

T = TypeVar("T")
Handler = Callable[[Request, str], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class ChangeBody:
    """Body of ``POST /v1/changes``; with ``dry_run`` nothing is committed."""

    change_id: str
    base: int
    edits: tuple[Edit, ...]
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class ProfileBody:
    """Body of ``POST /v1/profiles``."""

    change_id: str
    base: int
    profile: Profile
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class WorkspaceBody:
    """Body of ``POST /v1/workspaces``."""

    change_id: str
    base: int
    workspace: Workspace
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of ``POST /v1/orders``."""

    change_id: str
    upstream: str
    kind: OrderKind
    model: str
    version: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseBody:
    """Body of ``POST /v1/quarantined/release``."""

    digest: str


class OperatorApi:
    """HTTP interface for operators; ``app`` is the ASGI application."""

    def __init__(
        self,
        state: ControlState,
        commit: GroupCommit,
        tokens: OperatorTokens,
        acknowledgements: Acknowledgements,
        upstreams: Callable[[], tuple[UpstreamRecord, ...]],
        replica_status: Callable[[], dict[str, Any]],
        ended_incarnations: EndedIncarnations,
        max_body_bytes: int = MAX_CONTROL_BODY_BYTES,
        max_body_values: int = MAX_BODY_VALUES,
    ) -> None:
        self._state = state
        self._commit = commit
        self._tokens = tokens
        self._acknowledgements = acknowledgements
        self._upstreams = upstreams
        self._replica_status = replica_status
        self._ended_incarnations = ended_incarnations
        self._max_body_bytes = max_body_bytes
        self._max_body_values = max_body_values
        self._audited_at = float("-inf")
        self._unaudited_attempts = 0
        self._audit_tasks: set[asyncio.Task[Any]] = set()
        self.draining = False
        self.app = Starlette(routes=self._routes())

    def _routes(self) -> list[Route]:
        return [
            self._route("GET", "/v1/config", self._config),
            self._route("GET", "/v1/profiles", self._profiles),
            self._route("GET", "/v1/profiles/{name:path}", self._profile),
            self._route("GET", "/v1/workspaces", self._workspaces),
            self._route("GET", "/v1/workspaces/{name:path}", self._workspace),
            self._route("GET", "/v1/upstreams", self._list_upstreams),
            self._route("GET", "/v1/orders", self._orders),
            self._route("GET", "/v1/quarantined", self._quarantined),
            self._route("GET", "/v1/audit", self._audit),
            self._route("GET", STATUS_PATH, self._status),
            self._route("POST", "/v1/changes", self._post_change),
            self._route("POST", "/v1/profiles", self._post_profile),
            self._route("POST", "/v1/workspaces", self._post_workspace),
            self._route("POST", "/v1/orders", self._post_order),
            self._route("POST", "/v1/quarantined/release", self._post_release),
        ]

    def _route(self, method: str, path: str, handler: Handler) -> Route:
        async def serve(request: Request) -> Response:
            operator = self._tokens.operator_of(
                request.headers.get("authorization", "")
            )
            if operator is None:
                self._audit_wrong_token(request)
                return problem_response(problem(WRONG_OPERATOR_TOKEN))
            refused = self._refuse_read(request)
            if refused is not None:
                return problem_response(refused)
            return await handler(request, operator)

        return Route(path, serve, methods=[method])

    def _refuse_read(self, request: Request) -> Problem | None:
        """Refuse a read that this replica might answer with outdated state.

        That is a read from the leader if this replica doesn't lead, and any read of the
        state before the replica has caught up with the log.
        """
        if request.query_params.get("from") == "leader":
            return self._commit.refuse_if_not_leading()
        is_state = request.method == "GET" and request.url.path != STATUS_PATH
        if is_state and not self._replica_status().get("caught_up", True):
            return problem(CATCHING_UP, retry_after_s=CATCH_UP_RETRY_AFTER_S)
        return None

    # Handlers of reads.

    async def _config(self, _request: Request, _operator: str) -> Response:
        return json_response(views.config_table(self._state.config))

    async def _profiles(self, _request: Request, _operator: str) -> Response:
        config = self._state.config
        tables = views.profile_tables(config)
        return json_response({"revision": config.revision, "profiles": tables})

    async def _profile(self, request: Request, _operator: str) -> Response:
        profile = self._state.config.profiles.get(request.path_params["name"])
        return self._lookup_response("profile", request, profile)

    async def _workspaces(self, _request: Request, _operator: str) -> Response:
        config = self._state.config
        tables = views.workspace_tables(config)
        return json_response({"revision": config.revision, "workspaces": tables})

    async def _workspace(self, request: Request, _operator: str) -> Response:
        workspace = self._state.config.workspaces.get(request.path_params["name"])
        return self._lookup_response("workspace", request, workspace)

    def _lookup_response(self, what: str, request: Request, value: Any) -> Response:
        """Return what was found; only the leader knows that a name doesn't exist."""
        if value is not None:
            return json_response(views.to_builtins(value))
        refused = self._commit.refuse_if_not_leading()
        name = request.path_params["name"]
        unknown = problem(UNKNOWN_NAME, what=what, name=name)
        return problem_response(unknown if refused is None else refused)

    async def _list_upstreams(self, _request: Request, _operator: str) -> Response:
        leaving = self._state.config.leaving
        tables = views.upstream_tables(self._upstreams(), leaving)
        return json_response(
            {"revision": self._state.config.revision, "upstreams": tables}
        )

    async def _orders(self, _request: Request, _operator: str) -> Response:
        orders = sorted(self._state.orders.orders, key=lambda order: order.order_id)
        return json_response({"orders": views.to_builtins(orders)})

    async def _quarantined(self, _request: Request, _operator: str) -> Response:
        return json_response(
            {"quarantined": views.quarantined_tables(self._ended_incarnations)}
        )

    async def _audit(self, request: Request, _operator: str) -> Response:
        count = request.query_params.get("count", str(DEFAULT_AUDIT_COUNT))
        if not (count.isascii() and count.isdigit()):
            reason = "count: must be a whole number, such as 100"
            return problem_response(problem(INVALID_FIELD, reason=reason))
        return json_response(
            {"audit": views.to_builtins(self._state.audit.newest(int(count)))}
        )

    async def _status(self, _request: Request, _operator: str) -> Response:
        now = asyncio.get_running_loop().time()
        revision = self._state.config.revision
        statuses = self._acknowledgements.all(now)
        # A replica that doesn't lead may lack the newest revision.
        in_force_everywhere = (
            self._commit.refuse_if_not_leading() is None
            and self._acknowledgements.in_force_everywhere(revision, now)
        )
        table = {
            "revision": revision,
            "in_force_everywhere": in_force_everywhere,
            "processes": views.process_tables(statuses, revision, now),
            "control": self._replica_status(),
            "claims": len(self._state.claims),
            "orders_open": len(self._state.orders.issued()),
        }
        return json_response(table)

    async def _read_body(
        self, request: Request, body_type: type[T]
    ) -> Result[T, Problem]:
        """Parse the body as a ``body_type``; the problem names every fault."""
        data = bytearray()
        try:
            async for chunk in request.stream():
                data += chunk
                if len(data) > self._max_body_bytes:
                    return Err(problem(BODY_TOO_LARGE, limit=self._max_body_bytes))
            msgspec.json.decode(data, type=msgspec.Raw)
            if has_more_values(data, self._max_body_values):
                return Err(problem(TOO_MANY_VALUES, limit=self._max_body_values))
            table = msgspec.json.decode(data)
        except (msgspec.MsgspecError, ClientDisconnect) as exc:
            return Err(problem(INVALID_JSON, reason=exc))
        match structure(table, body_type):
            case Ok(body):
                return Ok(body)
            case Err(faults):
                reason = join_faults([str(fault) for fault in faults])
                return Err(problem(INVALID_FIELD, reason=reason))

    # Handlers of changes.

    async def _post_change(self, request: Request, operator: str) -> Response:
        match await self._read_body(request, ChangeBody):
            case Ok(body):
                return await self._change(request, operator, body)
            case Err(refused):
                return await self._refuse_and_audit(request, operator, refused)

    async def _post_profile(self, request: Request, operator: str) -> Response:
        match await self._read_body(request, ProfileBody):
            case Ok(body):
                edit = Edit(EditKind.APPLY_PROFILE, profile=body.profile)
                change = ChangeBody(body.change_id, body.base, (edit,), body.dry_run)
                return await self._change(request, operator, change)
            case Err(refused):
                return await self._refuse_and_audit(request, operator, refused)

    async def _post_workspace(self, request: Request, operator: str) -> Response:
        match await self._read_body(request, WorkspaceBody):
            case Ok(body):
                edit = Edit(EditKind.APPLY_WORKSPACE, workspace=body.workspace)
                change = ChangeBody(body.change_id, body.base, (edit,), body.dry_run)
                return await self._change(request, operator, change)
            case Err(refused):
                return await self._refuse_and_audit(request, operator, refused)

    async def _change(
        self, request: Request, operator: str, body: ChangeBody
    ) -> Response:
        if self.draining:
            return problem_response(problem(SHUTTING_DOWN))
        if not NAME_PATTERN.fullmatch(body.change_id):
            return await self._refuse_and_audit(request, operator, INVALID_CHANGE_ID)
        req = ChangeReq(body.change_id, body.base, operator, body.edits)
        if body.dry_run:
            return _change_response(self._state.preview(req), dry_run=True)
        match await self._commit.submit(req):
            case Ok(reply):
                return _change_response(reply)
            case Err(refused):
                return problem_response(refused)

    async def _post_order(self, request: Request, operator: str) -> Response:
        match await self._read_body(request, OrderBody):
            case Ok(body):
                return await self._order(request, operator, body)
            case Err(refused):
                return await self._refuse_and_audit(request, operator, refused)

    async def _order(
        self, request: Request, operator: str, body: OrderBody
    ) -> Response:
        if self.draining:
            return problem_response(problem(SHUTTING_DOWN))
        if not NAME_PATTERN.fullmatch(body.change_id):
            return await self._refuse_and_audit(request, operator, INVALID_CHANGE_ID)
        req = PlaceOrderReq(
            change_id=body.change_id,
            operator=operator,
            upstream=body.upstream,
            kind=body.kind,
            model=body.model,
            version=body.version,
            announced=any(record.name == body.upstream for record in self._upstreams()),
        )
        match await self._commit.submit(req):
            case Ok(reply) if reply.problem is None:
                return json_response({"order": views.to_builtins(reply.order)})
            case Ok(reply):
                return problem_response(reply.problem)
            case Err(refused):
                return problem_response(refused)

    async def _post_release(self, request: Request, operator: str) -> Response:
        match await self._read_body(request, ReleaseBody):
            case Ok(body):
                return await self._release(operator, body.digest)
            case Err(refused):
                return await self._refuse_and_audit(request, operator, refused)

    async def _release(self, operator: str, digest: str) -> Response:
        """Allow a quarantined request to run again, in all processes.

        ``digest`` names the request, or parts of prompts.
        """
        ended = self._ended_incarnations
        matching = [
            request
            for request in ended.quarantined()
            if fingerprint_text(request) == digest
        ]
        parts = [
            group.parts
            for group in ended.harmful_parts
            if parts_text(sorted(group.parts)) == digest
        ]
        if not (matching or parts):
            what = "quarantined request"
            return problem_response(problem(UNKNOWN_NAME, what=what, name=digest))
        match await self._commit.submit(
            NoteReq(operator, "release", digest, "accepted")
        ):
            case Err(refused):
                return problem_response(refused)
        now = asyncio.get_running_loop().time()
        for request in matching:
            ended.clear(request, now)
        for group in parts:
            ended.clear_parts(group, now)
        return json_response({"released": digest})

    async def _refuse_and_audit(
        self, request: Request, operator: str, refused: Problem
    ) -> Response:
        """Refuse a malformed request and record the attempt in the audit log."""
        detail = f"{request.method} {request.url.path}: {refused.message}"
        audit_entry = NoteReq(
            operator, "malformed", detail[:MAX_AUDIT_DETAIL_CHARS], refused.code
        )
        match await self._commit.submit(audit_entry):
            case Err(commit_error) if commit_error.code == NOT_LEADER.code:
                # The caller retries at the leader, which refuses the request too and
                # can commit the audit entry.
                return problem_response(commit_error)
            case Err():
                logger.warning(
                    "refused a malformed request of operator {}: {}", operator, detail
                )
        return problem_response(refused)

    def _audit_wrong_token(self, request: Request) -> None:
        """Record an attempt without a valid token, with at most one audit entry a
        second.

        Each entry states how many attempts before it were left out.
        """
        now = asyncio.get_running_loop().time()
        if now - self._audited_at < WRONG_TOKEN_AUDIT_INTERVAL_S:
            self._unaudited_attempts += 1
            return
        self._audited_at = now
        host = request.client.host if request.client else "unknown"
        detail = f"{request.method} {request.url.path} from {host}"
        if self._unaudited_attempts:
            detail += f", after {self._unaudited_attempts} more attempts"
        self._unaudited_attempts = 0
        # A replica that doesn't lead can't commit the audit entry; its process log then
        # holds the only record.
        logger.warning("refused a request with a wrong operator token: {}", detail)
        audit_entry = NoteReq("", "authenticate", detail, WRONG_OPERATOR_TOKEN.code)
        task = asyncio.ensure_future(self._commit.submit(audit_entry))
        self._audit_tasks.add(task)
        task.add_done_callback(self._audit_tasks.discard)


def json_response(table: Any, status: int = 200) -> Response:
    """Return ``table`` as a JSON response."""
    body = msgspec.json.encode(table)
    return Response(body, status, media_type="application/json")


def problem_response(refused: Problem) -> Response:
    """Return a refusal as a JSON response, with Retry-After if a retry may succeed."""
    response = json_response(views.problem_table(refused), refused.status)
    if refused.retry_after_s is not None:
        response.headers["retry-after"] = str(max(1, round(refused.retry_after_s)))
    return response


def _change_response(reply: ChangeReply, *, dry_run: bool = False) -> Response:
    if reply.problem is not None:
        return problem_response(reply.problem)
    return json_response({"revision": reply.revision, "dry_run": dry_run})
