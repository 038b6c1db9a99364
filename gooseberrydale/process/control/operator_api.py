"""The operators' HTTP interface: reads of the committed state, and changes.

Lives as long as the process.  Reads answer from this replica's state, which may
lag; with ``?from=leader`` only the leader answers them.  Changes go through the log
and are refused by a replica that does not lead.  Every path needs
an operator's token; attempts without one are audited.
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
    UNKNOWN_NAME,
    WRONG_OPERATOR_TOKEN,
    Problem,
    problem,
)
from gooseberrydale.process.control import operator_views as views
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.operator_auth import OperatorTokens
from gooseberrydale.request.fingerprint import shown
from gooseberrydale.version.acknowledgements import Acknowledgements
from gooseberrydale.version.change import joined
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Profile, Workspace
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.structuring import structure
from gooseberrydale.version.validation import NAME_PATTERN

STATUS_PATH = "/v1/status"
CATCH_UP_RETRY_AFTER_S = 1.0
MAX_BODY_BYTES = 4 * 1024 * 1024
AUDIT_ENTRIES_SHOWN = 100
WRONG_CHANGE_ID = problem(
    INVALID_FIELD, reason="change_id: use letters, digits and ._:/- (128 at most)"
)
MAX_NOTE_CHARS = 500
NOTE_INTERVAL_S = 1.0

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
    """Serves the operators; ``app`` is the ASGI application."""

    def __init__(
        self,
        state: ControlState,
        commit: GroupCommit,
        tokens: OperatorTokens,
        acknowledgements: Acknowledgements,
        upstreams: Callable[[], tuple[UpstreamRecord, ...]],
        replica_status: Callable[[], dict[str, Any]],
        ended_incarnations: EndedIncarnations,
    ) -> None:
        self._state = state
        self._commit = commit
        self._tokens = tokens
        self._acknowledgements = acknowledgements
        self._upstreams = upstreams
        self._replica_status = replica_status
        self._ended_incarnations = ended_incarnations
        self._noted_at = float("-inf")
        self._notes_left_out = 0
        self._notes: set[asyncio.Task[Any]] = set()
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
            operator = self._tokens.who(request.headers.get("authorization", ""))
            if operator is None:
                self._note_wrong_token(request)
                return refuse(problem(WRONG_OPERATOR_TOKEN))
            refused = self._refuse_reader(request)
            if refused is not None:
                return refuse(refused)
            return await handler(request, operator)

        return Route(path, serve, methods=[method])

    def _refuse_reader(self, request: Request) -> Problem | None:
        """Refuse a read that would show less than was committed or is asked for."""
        if request.query_params.get("from") == "leader":
            return self._commit.refuse_if_not_leading()
        is_state = request.method == "GET" and request.url.path != STATUS_PATH
        if is_state and not self._replica_status().get("caught_up", True):
            return problem(CATCHING_UP, retry_after_s=CATCH_UP_RETRY_AFTER_S)
        return None

    # Reads.

    async def _config(self, _request: Request, _operator: str) -> Response:
        return answer(views.config_table(self._state.config))

    async def _profiles(self, _request: Request, _operator: str) -> Response:
        config = self._state.config
        tables = views.profile_tables(config)
        return answer({"revision": config.revision, "profiles": tables})

    async def _profile(self, request: Request, _operator: str) -> Response:
        found = self._state.config.profiles.get(request.path_params["name"])
        return _found("profile", request, found)

    async def _workspaces(self, _request: Request, _operator: str) -> Response:
        config = self._state.config
        tables = views.workspace_tables(config)
        return answer({"revision": config.revision, "workspaces": tables})

    async def _workspace(self, request: Request, _operator: str) -> Response:
        found = self._state.config.workspaces.get(request.path_params["name"])
        return _found("workspace", request, found)

    async def _list_upstreams(self, _request: Request, _operator: str) -> Response:
        leaving = self._state.config.leaving
        tables = views.upstream_tables(self._upstreams(), leaving)
        return answer({"revision": self._state.config.revision, "upstreams": tables})

    async def _orders(self, _request: Request, _operator: str) -> Response:
        orders = sorted(self._state.orders.orders, key=lambda order: order.order_id)
        return answer({"orders": views.plain(orders)})

    async def _quarantined(self, _request: Request, _operator: str) -> Response:
        return answer(
            {"quarantined": views.quarantined_tables(self._ended_incarnations)}
        )

    async def _audit(self, request: Request, _operator: str) -> Response:
        asked = request.query_params.get("count", str(AUDIT_ENTRIES_SHOWN))
        if not (asked.isascii() and asked.isdigit()):
            reason = "count: write a whole number"
            return refuse(problem(INVALID_FIELD, reason=reason))
        return answer({"audit": views.plain(self._state.audit.newest(int(asked)))})

    async def _status(self, _request: Request, _operator: str) -> Response:
        now = asyncio.get_running_loop().time()
        revision = self._state.config.revision
        standings = self._acknowledgements.all(now)
        # A replica that does not lead may not know the newest revision.
        everywhere = (
            self._commit.refuse_if_not_leading() is None
            and self._acknowledgements.in_force_everywhere(revision, now)
        )
        table = {
            "revision": revision,
            "in_force_everywhere": everywhere,
            "processes": views.standing_tables(standings, revision, now),
            "control": self._replica_status(),
            "claims": len(self._state.claims),
            "orders_open": len(self._state.orders.issued()),
        }
        return answer(table)

    # Changes.

    async def _post_change(self, request: Request, operator: str) -> Response:
        match await _read(request, ChangeBody):
            case Ok(body):
                return await self._change(request, operator, body)
            case Err(refused):
                return await self._refuse_noted(request, operator, refused)

    async def _post_profile(self, request: Request, operator: str) -> Response:
        match await _read(request, ProfileBody):
            case Ok(body):
                edit = Edit(EditKind.APPLY_PROFILE, profile=body.profile)
                change = ChangeBody(body.change_id, body.base, (edit,), body.dry_run)
                return await self._change(request, operator, change)
            case Err(refused):
                return await self._refuse_noted(request, operator, refused)

    async def _post_workspace(self, request: Request, operator: str) -> Response:
        match await _read(request, WorkspaceBody):
            case Ok(body):
                edit = Edit(EditKind.APPLY_WORKSPACE, workspace=body.workspace)
                change = ChangeBody(body.change_id, body.base, (edit,), body.dry_run)
                return await self._change(request, operator, change)
            case Err(refused):
                return await self._refuse_noted(request, operator, refused)

    async def _change(
        self, request: Request, operator: str, body: ChangeBody
    ) -> Response:
        if self.draining:
            return refuse(problem(SHUTTING_DOWN))
        if not NAME_PATTERN.fullmatch(body.change_id):
            return await self._refuse_noted(request, operator, WRONG_CHANGE_ID)
        req = ChangeReq(body.change_id, body.base, operator, body.edits)
        if body.dry_run:
            return _change_answer(self._state.try_out(req), dry_run=True)
        match await self._commit.ask(req):
            case Ok(reply):
                return _change_answer(reply)
            case Err(refused):
                return refuse(refused)

    async def _post_order(self, request: Request, operator: str) -> Response:
        match await _read(request, OrderBody):
            case Ok(body):
                return await self._order(request, operator, body)
            case Err(refused):
                return await self._refuse_noted(request, operator, refused)

    async def _order(
        self, request: Request, operator: str, body: OrderBody
    ) -> Response:
        if self.draining:
            return refuse(problem(SHUTTING_DOWN))
        if not NAME_PATTERN.fullmatch(body.change_id):
            return await self._refuse_noted(request, operator, WRONG_CHANGE_ID)
        req = PlaceOrderReq(
            change_id=body.change_id,
            operator=operator,
            upstream=body.upstream,
            kind=body.kind,
            model=body.model,
            version=body.version,
            announced=any(r.name == body.upstream for r in self._upstreams()),
        )
        match await self._commit.ask(req):
            case Ok(reply) if reply.problem is None:
                return answer({"order": views.plain(reply.order)})
            case Ok(reply):
                return refuse(reply.problem)
            case Err(refused):
                return refuse(refused)

    async def _post_release(self, request: Request, operator: str) -> Response:
        match await _read(request, ReleaseBody):
            case Ok(body):
                return await self._release(operator, body.digest)
            case Err(refused):
                return await self._refuse_noted(request, operator, refused)

    async def _release(self, operator: str, digest: str) -> Response:
        """Let a quarantined request run again; all processes hear of it."""
        quarantined = self._ended_incarnations.quarantined()
        found = [one for one in quarantined if shown(one) == digest]
        if not found:
            what = "quarantined request"
            return refuse(problem(UNKNOWN_NAME, what=what, name=digest))
        match await self._commit.ask(NoteReq(operator, "release", digest, "accepted")):
            case Err(refused):
                return refuse(refused)
        now = asyncio.get_running_loop().time()
        for one in found:
            self._ended_incarnations.clear(one, now)
        return answer({"released": digest})

    async def _refuse_noted(
        self, request: Request, operator: str, refused: Problem
    ) -> Response:
        """Refuse a request that is malformed, and audit the attempt."""
        detail = f"{request.method} {request.url.path}: {refused.message}"
        note = NoteReq(operator, "malformed", detail[:MAX_NOTE_CHARS], refused.code)
        match await self._commit.ask(note):
            case Err(other) if other.code == NOT_LEADER.code:
                # The leader refuses it as well, and can commit the note.
                return refuse(other)
            case Err():
                logger.warning("refused to {}: {}", operator, detail)
        return refuse(refused)

    def _note_wrong_token(self, request: Request) -> None:
        """Audit the attempt; a flood of them is gathered into one entry a second."""
        now = asyncio.get_running_loop().time()
        if now - self._noted_at < NOTE_INTERVAL_S:
            self._notes_left_out += 1
            return
        self._noted_at = now
        host = request.client.host if request.client else "unknown"
        detail = f"{request.method} {request.url.path} from {host}"
        if self._notes_left_out:
            detail += f", after {self._notes_left_out} more attempts"
        self._notes_left_out = 0
        # A replica that does not lead can't commit the entry; then the log has it.
        logger.warning("operator token refused: {}", detail)
        note = NoteReq("", "authenticate", detail, WRONG_OPERATOR_TOKEN.code)
        task = asyncio.ensure_future(self._commit.ask(note))
        self._notes.add(task)
        task.add_done_callback(self._notes.discard)


def answer(table: Any, status: int = 200) -> Response:
    """Return ``table`` as JSON."""
    body = msgspec.json.encode(table)
    return Response(body, status, media_type="application/json")


def refuse(refused: Problem) -> Response:
    """Return a refusal as JSON, with Retry-After where coming back helps."""
    response = answer(views.problem_table(refused), refused.status)
    if refused.retry_after_s is not None:
        response.headers["retry-after"] = str(max(1, round(refused.retry_after_s)))
    return response


def _change_answer(reply: ChangeReply, *, dry_run: bool = False) -> Response:
    if reply.problem is not None:
        return refuse(reply.problem)
    return answer({"revision": reply.revision, "dry_run": dry_run})


def _found(what: str, request: Request, found: Any) -> Response:
    if found is None:
        name = request.path_params["name"]
        return refuse(problem(UNKNOWN_NAME, what=what, name=name))
    return answer(views.plain(found))


async def _read(request: Request, cls: type[T]) -> Result[T, Problem]:
    """Read the body as an instance of ``cls``, naming every fault."""
    data = bytearray()
    try:
        async for part in request.stream():
            data += part
            if len(data) > MAX_BODY_BYTES:
                return Err(problem(BODY_TOO_LARGE, limit=MAX_BODY_BYTES))
        table = msgspec.json.decode(data)
    except (msgspec.MsgspecError, ClientDisconnect) as exc:
        return Err(problem(INVALID_JSON, reason=exc))
    match structure(table, cls):
        case Ok(body):
            return Ok(body)
        case Err(faults):
            reason = joined([str(fault) for fault in faults])
            return Err(problem(INVALID_FIELD, reason=reason))
