"""Handlers of callers' requests: authenticate, validate, and run them.

One :class:`CallHandlers` per process; each request runs in the task of its connection.
"""

from __future__ import annotations

import asyncio
from typing import TypeVar

from result import Err, Result
from starlette.requests import Request
from starlette.types import Send

from gooseberrydale.errors import (
    CONFIG_UNCONFIRMED,
    INVALID_KEY,
    NOT_READY,
    STREAM_UNCONFIRMED,
    UNKNOWN_PROFILE,
    UNKNOWN_STREAM,
    WRONG_PROFILE_KIND,
    Problem,
    ProblemError,
    problem,
)
from gooseberrydale.process.entry.call import Call, CallInfo
from gooseberrydale.request.attached import AttachedAnswer, AttachTarget
from gooseberrydale.request.body import (
    CHAT_PATH,
    CompletionBody,
    parse_completion,
    read_body,
)
from gooseberrydale.request.claim_gate import ClaimStore, OpenGate
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.event_id import EventId, parse_event_id
from gooseberrydale.request.job import AnswerSource, Job
from gooseberrydale.request.keyed import KeyedAnswer
from gooseberrydale.request.prompt import prompt_parts, prompt_pieces
from gooseberrydale.request.runner import Runner
from gooseberrydale.version.declarations import (
    Config,
    Profile,
    ProfileKind,
    Workspace,
)
from gooseberrydale.version.key_index import KeyIndex

T = TypeVar("T")

IDEMPOTENCY_KEY = "idempotency-key"
LAST_EVENT_ID = "last-event-id"
RETRY_AFTER_S = 1.0
PRIVATE_HEADERS = {
    "accept-encoding",
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
}


class CallHandlers:
    """Handlers of the HTTP paths that run work or attach to running work."""

    def __init__(self, deps: Deps, claims: ClaimStore) -> None:
        self._deps = deps
        self._claims = claims
        self._keys = KeyIndex(deps.store.config)
        self._open: set[Call] = set()

    @property
    def config(self) -> Config:
        """The current configuration."""
        return self._deps.store.config

    def hand_over(self) -> None:
        """End all open calls, so that callers can continue at another entry."""
        for call in tuple(self._open):
            call.hand_over()

    async def authenticate(self, req: Request) -> Workspace:
        """Return the workspace of the caller's key.

        Raises :class:`ProblemError` without a configuration or if the key is invalid.
        """
        await self._deps.startup_grace.wait_for(lambda: self.config.revision > 0)
        if self.config.revision == 0:
            raise ProblemError(problem(NOT_READY, retry_after_s=RETRY_AFTER_S))
        if self._keys.config is not self.config:
            self._keys = KeyIndex(self.config)
        workspace = self._keys.workspace(req.headers.get("authorization", ""))
        if isinstance(workspace, Err) and workspace.err_value.code == INVALID_KEY.code:
            raise self.denied(workspace.err_value)
        return _unwrap(workspace)

    def denied(self, refused: Problem) -> ProblemError:
        """Return the error to raise if the configuration doesn't allow a request.

        It is ``refused`` if that is known to be the newest configuration.  Otherwise a
        newer one may allow the request.
        """
        if self._is_current():
            return ProblemError(refused)
        unconfirmed = problem(CONFIG_UNCONFIRMED, retry_after_s=RETRY_AFTER_S)
        return ProblemError(unconfirmed)

    def _is_current(self) -> bool:
        """Whether nothing newer than this entry's configuration can bind it."""
        age_s = self._deps.confirmed.age_s(self.config.revision, _now())
        return age_s <= self._deps.cfg.config_bound_s

    def _unknown_stream(self, event: EventId) -> ProblemError:
        """Return the error to raise if a stream's upstream is not known.

        Announcements come from control as confirmations do: an entry that has received
        none of late may lack the upstream.
        """
        kind, retry_after_s = UNKNOWN_STREAM, None
        if not self._is_current():
            kind, retry_after_s = STREAM_UNCONFIRMED, RETRY_AFTER_S
        return ProblemError(
            problem(
                kind,
                not_run=None,
                retry_after_s=retry_after_s,
                request_id=event.request_id,
                offset=event.offset + 1,
            )
        )

    async def completion(self, req: Request, send: Send) -> None:
        """Run a chat or text completion.

        With a Last-Event-ID header, attach to the stream that it names instead.
        """
        workspace = await self.authenticate(req)
        body = await self._read_body(req)
        max_values = self._deps.cfg.max_body_values
        completion = _unwrap(parse_completion(req.url.path, body, max_values))
        profile = self._profile(workspace, completion.model, ProfileKind.COMPLETION)
        if LAST_EVENT_ID in req.headers:
            await self._attach(req, send, workspace, profile)
            return
        job = _completion_job(req, workspace, profile, completion)
        # The objects of a decoded body take far more than its bytes.
        del body, completion
        await self._run(job, req, send)

    async def service(self, req: Request, send: Send) -> None:
        """Forward a request to a service profile."""
        workspace = await self.authenticate(req)
        name = req.path_params["profile"]
        profile = self._profile(workspace, name, ProfileKind.SERVICE)
        body = await self._read_body(req)
        job = Job(
            request_id=req.state.request_id,
            workspace=workspace.name,
            profile=profile,
            method=req.method,
            path=_service_path(req),
            body=body,
            headers=_public_headers(req),
            idempotency_key=_claim_key(req, profile),
        )
        await self._run(job, req, send)

    async def attach(self, req: Request, send: Send) -> None:
        """Attach to a running stream; the Last-Event-ID header alone names it."""
        workspace = await self.authenticate(req)
        await self._attach(req, send, workspace, None)

    async def _attach(
        self, req: Request, send: Send, workspace: Workspace, profile: Profile | None
    ) -> None:
        last_event = _unwrap(parse_event_id(req.headers.get(LAST_EVENT_ID, "")))
        await self._deps.startup_grace.wait_for(
            lambda: self._is_upstream_known(last_event)
        )
        record = self._deps.directory.get(last_event.upstream, _now())
        if record is None or record.incarnation != last_event.incarnation:
            raise self._unknown_stream(last_event)
        name = profile.name if profile else self._only_profile(workspace, record.pool)
        target = AttachTarget(
            endpoint=record,
            upstream=record.name,
            request_id=last_event.request_id,
            offset=last_event.offset + 1,
            workspace=workspace.name,
            profile=name,
        )
        info = CallInfo(last_event.request_id, name, may_resend=True)
        await self._serve(AttachedAnswer(self._deps, target), info, req, send)

    async def _run(self, job: Job, req: Request, send: Send) -> None:
        may_resend = job.profile.repeatable or bool(job.idempotency_key)
        info = CallInfo(job.request_id, job.profile.name, may_resend)
        await self._serve(self._answer_source(job), info, req, send)

    def _answer_source(self, job: Job) -> AnswerSource:
        if job.idempotency_key:
            return KeyedAnswer(self._deps, job, self._claims)
        return Runner(self._deps, job, OpenGate())

    async def _serve(
        self, source: AnswerSource, info: CallInfo, req: Request, send: Send
    ) -> None:
        call = Call(source, info, self._deps.instruments, req, send)
        self._open.add(call)
        try:
            await call.serve()
        finally:
            self._open.discard(call)

    async def _read_body(self, req: Request) -> bytes:
        cfg = self._deps.cfg
        return _unwrap(await read_body(req, cfg.max_body_bytes, cfg.body_timeout_s))

    def _profile(self, workspace: Workspace, name: str, kind: ProfileKind) -> Profile:
        profile = self.config.profiles.get(name)
        if profile is None or not may_call(workspace, profile):
            raise self.denied(problem(UNKNOWN_PROFILE, profile=name))
        if profile.kind is not kind:
            is_service = profile.kind is ProfileKind.SERVICE
            path = f"/services/{name}/PATH" if is_service else CHAT_PATH
            raise self.denied(
                problem(
                    WRONG_PROFILE_KIND, profile=name, kind=profile.kind.value, path=path
                )
            )
        return profile

    def _only_profile(self, workspace: Workspace, pool: str) -> str:
        """The name of the profile of ``pool`` that the workspace may call.

        Empty unless there is exactly one.
        """
        profiles = self.config.profiles.values()
        names = [p.name for p in profiles if p.pool == pool and may_call(workspace, p)]
        return names[0] if len(names) == 1 else ""

    def _is_upstream_known(self, last_event: EventId) -> bool:
        record = self._deps.directory.get(last_event.upstream, _now())
        return record is not None and record.incarnation == last_event.incarnation


def may_call(workspace: Workspace, profile: Profile) -> bool:
    """Whether ``workspace`` may call ``profile``; an empty list allows all profiles."""
    return not workspace.profiles or profile.name in workspace.profiles


def _unwrap(result: Result[T, Problem]) -> T:
    if isinstance(result, Err):
        raise ProblemError(result.err_value)
    return result.ok_value


def _now() -> float:
    return asyncio.get_running_loop().time()


def _completion_job(
    req: Request, workspace: Workspace, profile: Profile, completion: CompletionBody
) -> Job:
    return Job(
        request_id=req.state.request_id,
        workspace=workspace.name,
        profile=profile,
        method=req.method,
        path=req.url.path,
        body=completion.for_model(profile.model),
        headers=(("content-type", "application/json"),),
        stream=completion.stream,
        idempotency_key=_claim_key(req, profile),
        single_text=completion.single_text,
        wants_usage=completion.wants_usage,
        pieces=prompt_pieces(req.url.path, completion.raw),
        parts=prompt_parts(req.url.path, completion.raw, profile.model),
        max_new_tokens=completion.max_new_tokens,
    )


def _claim_key(req: Request, profile: Profile) -> str:
    """The key under which a request is claimed; repeatable requests need no claim."""
    return "" if profile.repeatable else req.headers.get(IDEMPOTENCY_KEY, "")


def _service_path(req: Request) -> str:
    """The path below the profile's name, as the caller sent it, with its query."""
    raw: bytes = req.scope.get("raw_path") or req.scope["path"].encode()
    path = "/" + raw.decode("latin-1").split("/", 3)[3]
    query = req.scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _public_headers(req: Request) -> tuple[tuple[str, str], ...]:
    pairs = req.headers.items()
    return tuple((n, v) for n, v in pairs if n.lower() not in PRIVATE_HEADERS)
