"""A request that is forwarded by a declared route, and what an upstream answers.

Each lives for one request.  The headers that carry these facts are up to the
deployment; a :class:`Wire` reads and writes them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from gooseberrydale.errors import Problem

RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share; parts nest in order."""

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a model is asked: ``tokens`` in all, at most ``max_new_tokens`` back.

    The last part belongs to this request alone.  ``usage`` is what the caller says that
    it uses in all, None if it doesn't say so in two numbers.
    """

    model: str
    tokens: int
    max_new_tokens: int
    parts: tuple[PromptPart, ...]
    usage: int | None = None

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may bring as well."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class CallerCall:
    """A caller's request as its head tells it.

    ``headers`` are those that go to the upstream as they came.  ``wait_s`` is how long
    the caller will wait, None if it does not say.  ``last_event_id`` is set if the
    caller goes on with a stream.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: RawHeaders
    key: str | None = None
    wait_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Terms:
    """What the router adds to one send of a request.

    Only the upstream's incarnation ``instance`` may run it, within ``left_s`` seconds,
    for ``workspace``.  For a model: only under ``weights_version``, and cached parts
    are found under ``cache_salt`` alone.  ``last_event_id`` is that of the last event
    which the caller has.  The engine brings what it lacks of the prompt from
    ``fetch_from``, and puts what it computes into ``save_to``.
    """

    instance: str
    left_s: float
    workspace: str | None = None
    weights_version: int | None = None
    cache_salt: str | None = None
    priority: int | None = None
    last_event_id: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What an upstream tells of itself with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an upstream's answer.

    ``not_run`` is True if the upstream states that it did not run the request.
    ``instance`` is the incarnation of an upstream that says so, if it tells.  Without
    ``signed`` the answer is not the upstream's own.  ``headers`` go to the caller.
    ``limit_per_s`` is the rate of requests that the upstream takes from all gateways
    together, None if it names none.  ``retry_after_s`` is for how long it wants none
    from this gateway, None if it doesn't say so; ``leaving`` that it takes no new ones,
    as it will end.
    """

    status: int
    headers: RawHeaders
    request_id: str | None = None
    signed: bool = False
    not_run: bool = False
    instance: str | None = None
    encoded: bool = False
    load: ReportedLoad | None = None
    limit_per_s: float | None = None
    retry_after_s: float | None = None
    leaving: bool = False

    @property
    def ok(self) -> bool:
        """Whether the upstream answers with success."""
        return 200 <= self.status < 300


class Wire(Protocol):
    """Reads callers' heads and upstreams' answers, and writes requests' headers."""

    def read_call(
        self, method: str, target: bytes, headers: RawHeaders
    ) -> Result[CallerCall, Problem]:
        """The request, or why its head does not fit."""

    def request_headers(self, call: CallerCall, terms: Terms) -> RawHeaders:
        """All headers of one send, except those of its framing."""

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerHead:
        """The head of an answer."""
