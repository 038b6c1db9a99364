"""Builds the call to the upstream for a dispatched attempt.

It does no I/O; it only reads the state of the upstream that was observed last.
"""

from __future__ import annotations

from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.connection.upstream_reply import Headers
from gooseberrydale.errors import Problem
from gooseberrydale.process.cfg import SidecarCfg
from gooseberrydale.process.sidecar.upstream_run import Call
from gooseberrydale.request.prompt import cache_root, piece_key
from gooseberrydale.request.upstream_body import (
    CHAT_PATH,
    TEXT_PATH,
    CompletionBody,
    completion_body,
)
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import ProfileKind
from gooseberrydale.version.upstream_state import UpstreamState

COMPLETION_PATHS = (CHAT_PATH, TEXT_PATH)
# Headers of callers that a model engine does not need, or that would change the format
# of its answer.
_ENGINE_DROPPED_HEADERS = frozenset(
    {"authorization", "accept-encoding", "content-type", "accept", "cookie"}
)
# Upper bounds on the times of a working engine: a factor on the expected prefill time,
# the time per token, and the time of an answer without a limit on its tokens.
PREFILL_SLACK = 3.0
MAX_TOKEN_S = 0.2
UNLIMITED_ANSWER_S = 300.0


class UpstreamStatus(Protocol):
    """The observed state of the upstream, and checks that query it."""

    @property
    def state(self) -> UpstreamState:
        """The state that its last health check returned."""

    @property
    def lists_requests(self) -> bool:
        """Whether the load report lists the requests that have not ended."""

    async def alive(self) -> bool:
        """Whether the upstream answers on a new connection."""

    async def lost(self, request_id: str, attempt: int) -> bool:
        """Whether a request without an answer so far will never be answered."""


class CallBuilder:
    """Builds calls to the upstream for its current model and weights."""

    def __init__(
        self,
        cfg: SidecarCfg,
        store: ConfigStore,
        status: UpstreamStatus,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._status = status

    def piece_keys(self, req: DispatchReq) -> list[tuple[bytes, int]]:
        """The full cache key of each piece of the prompt, with its number of tokens."""
        root = self.root(req)
        return [(piece_key(root, p.chain), p.tokens) for p in req.pieces]

    def build(self, req: DispatchReq, prefill_s: float) -> Result[Call, Problem]:
        """Build the call; ``prefill_s`` is the expected time to its first token."""
        body = self._body(req)
        if isinstance(body, Err):
            return body
        return Ok(
            Call(
                method=req.method,
                target=req.path,
                headers=self._headers(req),
                body=body.ok_value.data,
                head_silence_s=self._head_silence_s(req, body.ok_value, prefill_s),
                silence_s=self._cfg.upstream_silence_s,
                lost=partial(self._status.lost, req.request_id, req.attempt),
                alive=self._status.alive,
            )
        )

    def _is_completion(self, req: DispatchReq) -> bool:
        path = req.path.partition("?")[0]
        is_engine = self._cfg.kind == ProfileKind.COMPLETION
        return is_engine and path in COMPLETION_PATHS

    def _body(self, req: DispatchReq) -> Result[CompletionBody, Problem]:
        if not self._is_completion(req):
            return Ok(CompletionBody(req.body, None))
        profile = self._store.config.profiles.get(req.profile)
        return completion_body(
            req,
            model=self._model(req),
            priority=0 if profile is None else profile.priority,
            root=self.root(req),
            keys=self.piece_keys(req),
        )

    def _headers(self, req: DispatchReq) -> Headers:
        own: Headers = (
            ("x-request-id", req.request_id),
            ("x-attempt", str(req.attempt)),
        )
        dropped = {name for name, _ in own}
        if self._is_completion(req):
            dropped |= _ENGINE_DROPPED_HEADERS
            own += (("content-type", "application/json"), ("accept", "*/*"))
        forwarded = (h for h in req.headers if h[0].lower() not in dropped)
        return (*forwarded, *own)

    def _head_silence_s(
        self, req: DispatchReq, body: CompletionBody, prefill_s: float
    ) -> float:
        """How long the first byte of the answer may take.

        An answer that is not streamed is sent after its last token, so its connection
        is silent for as long as all of its tokens take.  If the engine lists its open
        requests, it can be asked about this request, so the short limit is enough.
        """
        silence_s = self._cfg.upstream_silence_s + PREFILL_SLACK * prefill_s
        if req.stream:
            return silence_s
        if self._is_completion(req) and self._status.lists_requests:
            return self._cfg.upstream_silence_s
        if not self._is_completion(req):
            return max(silence_s, req.deadline_s)
        if body.max_tokens is None:
            return silence_s + req.deadline_s + UNLIMITED_ANSWER_S
        return silence_s + body.max_tokens * MAX_TOKEN_S

    def root(self, req: DispatchReq) -> bytes:
        """The root of the cache keys for the weights that the upstream has loaded."""
        return cache_root(
            req.workspace, self._model(req), self._status.state.weights_version
        )

    def _model(self, req: DispatchReq) -> str:
        profile = self._store.config.profiles.get(req.profile)
        if profile is not None and profile.model:
            return profile.model
        return self._status.state.model or self._cfg.model
