"""A checked request of a caller, and the parts of the answer to it."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

from gooseberrydale.connection.messages import Piece
from gooseberrydale.errors import STREAM_TAKEN_OVER, ProblemError, problem
from gooseberrydale.request.fingerprint import fingerprint
from gooseberrydale.version.declarations import Profile, ProfileKind


@dataclass(frozen=True)
class Job:
    """An authenticated and validated request.

    ``single_text`` says that the answer is a single text, which another upstream can
    continue.  ``max_new_tokens`` limits the answer; 0 means that the caller set no
    limit.  ``parts`` are the digests of the parts of the prompt that other requests may
    share.  ``wants_usage`` asks for a usage event after the last event of the text.
    """

    request_id: str
    workspace: str
    profile: Profile
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    stream: bool = False
    single_text: bool = True
    wants_usage: bool = False
    pieces: tuple[Piece, ...] = ()
    parts: tuple[bytes, ...] = ()
    max_new_tokens: int = 0
    idempotency_key: str = ""

    @property
    def is_completion(self) -> bool:
        """Whether the request is a completion, answered by a model engine."""
        return self.profile.kind is ProfileKind.COMPLETION

    @cached_property
    def fingerprint(self) -> bytes:
        """Hash of the request's content, equal for each repeat of the request."""
        profile = self.profile.name
        return fingerprint(self.workspace, self.method, profile, self.path, self.body)


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of the answer; the first part of it.

    If ``streamed``, the events of a stream follow; if not, the body follows as a single
    event.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    streamed: bool


@dataclass(frozen=True, slots=True)
class Events:
    """Consecutive events of the answer; the first one has offset ``offset``.

    ``upstream`` and ``incarnation`` name the sidecar that sent and retains them.
    """

    upstream: str
    incarnation: str
    offset: int
    events: tuple[bytes, ...]


Part = Head | Events


class ReaderReplaced(ProblemError):
    """A newer reader of the same answer took over and receives the rest of it."""

    def __init__(self) -> None:
        super().__init__(problem(STREAM_TAKEN_OVER, not_run=False))


class AnswerSource(Protocol):
    """Produces the parts of an answer."""

    def answer(self) -> AsyncGenerator[Part, None]:
        """Yield the parts; a return without an error means that they are complete."""

    def hand_over(self) -> None:
        """Let the sidecar keep running the attempt after ``answer`` is closed."""
