"""Turns a dispatch into the call to the upstream.

Lives as long as the sidecar.  Pure but for the view of the upstream that it reads.
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
# Callers' headers that a model engine has no use for, or that would change the form
# of its answer.
_NOT_FOR_ENGINES = frozenset(
    {"authorization", "accept-encoding", "content-type", "accept", "cookie"}
)
# Times of which a working engine stays below: factor on the expected prefill, seconds
# a token, seconds of an answer without a limit.
PREFILL_SLACK = 3.0
SLOW_TOKEN_S = 0.2
UNLIMITED_ANSWER_S = 300.0


class Watch(Protocol):
    """What is known of the upstream, and the questions that it can be asked."""

    @property
    def state(self) -> UpstreamState:
        """The last answer of its health call."""

    @property
    def tells_requests(self) -> bool:
        """Whether it tells which requests it has not ended."""

    async def alive(self) -> bool:
        """Whether it answers on a new connection."""

    async def lost(self, request_id: str, attempt: int) -> bool:
        """Whether a request without an answer so far will bring none."""


class CallBuilder:
    """Builds calls for the upstream as it is now."""

    def __init__(
        self,
        cfg: SidecarCfg,
        store: ConfigStore,
        watch: Watch,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._watch = watch

    def piece_keys(self, req: DispatchReq) -> list[tuple[bytes, int]]:
        """Full cache keys of the prompt's pieces, with their tokens."""
        root = self.root(req)
        return [(piece_key(root, p.chain), p.tokens) for p in req.pieces]

    def build(self, req: DispatchReq, prefill_s: float) -> Result[Call, Problem]:
        """Return the call; ``prefill_s`` is the expected time to its first token."""
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
                lost=partial(self._watch.lost, req.request_id, req.attempt),
                alive=self._watch.alive,
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
        replaced = {name for name, _ in own}
        if self._is_completion(req):
            replaced |= _NOT_FOR_ENGINES
            own += (("content-type", "application/json"), ("accept", "*/*"))
        kept = (h for h in req.headers if h[0].lower() not in replaced)
        return (*kept, *own)

    def _head_silence_s(
        self, req: DispatchReq, body: CompletionBody, prefill_s: float
    ) -> float:
        """How long the first byte may take.

        An answer in one piece comes after its last token, so it is silent for as long
        as its tokens may take, unless the engine can be asked about the request.
        """
        silence_s = self._cfg.upstream_silence_s + PREFILL_SLACK * prefill_s
        if req.stream:
            return silence_s
        if self._is_completion(req) and self._watch.tells_requests:
            return self._cfg.upstream_silence_s
        if not self._is_completion(req):
            return max(silence_s, req.deadline_s)
        if body.max_tokens is None:
            return silence_s + req.deadline_s + UNLIMITED_ANSWER_S
        return silence_s + body.max_tokens * SLOW_TOKEN_S

    def root(self, req: DispatchReq) -> bytes:
        """Root of the cache keys under the weights that the upstream has now."""
        return cache_root(
            req.workspace, self._model(req), self._watch.state.weights_version
        )

    def _model(self, req: DispatchReq) -> str:
        profile = self._store.config.profiles.get(req.profile)
        if profile is not None and profile.model:
            return profile.model
        return self._watch.state.model or self._cfg.model
