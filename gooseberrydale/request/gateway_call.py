"""The data types of a request that a gateway forwards, and of the upstream's answer.

The objects belong to one request.  Which headers carry their fields depends on the
deployment; a :class:`HeaderCodec` reads and writes those headers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from gooseberrydale.errors import Problem

RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A section of a prompt that other requests may share.

    The parts of a prompt are nested in order: a part can be shared only together with
    all parts before it.  ``key`` identifies the part.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt for a model: its size, its sections and the limit of the answer.

    ``tokens`` is the size of the whole prompt; the answer has at most
    ``max_new_tokens``.  The last of ``parts`` is used by this request alone.  ``usage``
    is the total that the caller declares in two numbers, None if it does not.
    """

    model: str
    tokens: int
    max_new_tokens: int
    parts: tuple[PromptPart, ...]
    usage: int | None = None

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common with this one."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, as read from its request line and headers.

    ``headers`` are forwarded to the upstream unchanged.  ``wait_s`` is how long the
    caller will wait, None if it does not say.  ``last_event_id`` is set if the caller
    continues a stream after that event; ``resumes`` is then the id of the request that
    brought the stream's first event, None if the caller does not name it.
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
    resumes: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Terms:
    """What the router adds to one send of a request.

    Only the upstream incarnation ``instance`` may run the request, within ``left_s``
    seconds, on behalf of ``workspace``.  A model must have ``weights_version`` loaded;
    its cached prefixes are looked up under ``cache_salt`` only.  ``last_event_id``
    names the last event that the caller has.  The engine fetches missing prefixes from
    ``fetch_from`` and saves computed ones to ``save_to``.
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
    """The load that an upstream reports with an answer.

    ``slowness`` is how many times longer than usual work takes on its machine at the
    moment, None if it does not state that.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of an upstream's answer.

    ``not_run`` is True if the upstream states that it did not run the request;
    ``instance`` is the incarnation that states it, if named.  If ``signed`` is False,
    the answer does not come from the upstream itself.  ``headers`` are for the caller.
    ``limit_per_s`` is the request rate that the upstream accepts from all gateways
    together, None if it names none.  ``retry_after_s`` is how long this gateway must
    not send to it, None if not stated.  ``leaving`` means that the upstream will shut
    down and accepts no new requests.
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
        """Whether the status means success."""
        return 200 <= self.status < 300


class HeaderCodec(Protocol):
    """Translates between the headers of a deployment and the types of this module."""

    def read_call(
        self, method: str, target: bytes, headers: RawHeaders
    ) -> Result[CallerRequest, Problem]:
        """Read a caller's request; returns an error if its head is invalid."""

    def request_headers(self, call: CallerRequest, terms: Terms) -> RawHeaders:
        """Return all headers of one send, except those of the message framing."""

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerHead:
        """Read the head of an upstream's answer."""
