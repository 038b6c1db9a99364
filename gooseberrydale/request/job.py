"""What one caller asks for, and the parts of the answer on the way back.

Lives for one request.
"""

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
    """An authenticated and checked request.

    ``single`` says that the answer is one text and no more, so that another upstream
    can go on with it.  At most ``max_new_tokens`` are asked for, 0 if it doesn't say.
    ``wants_usage`` asks for an event after the text's last one.
    """

    request_id: str
    workspace: str
    profile: Profile
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    stream: bool = False
    single: bool = True
    wants_usage: bool = False
    pieces: tuple[Piece, ...] = ()
    max_new_tokens: int = 0
    idempotency_key: str = ""

    @property
    def is_completion(self) -> bool:
        """Whether a model engine answers it."""
        return self.profile.kind is ProfileKind.COMPLETION

    @cached_property
    def fingerprint(self) -> bytes:
        """What names the request, the same for each repeat of it."""
        profile = self.profile.name
        return fingerprint(self.workspace, self.method, profile, self.path, self.body)


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of the answer; comes before any part of it.

    ``streamed`` says whether events follow one by one; if not, the body follows
    as a single one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    streamed: bool


@dataclass(frozen=True, slots=True)
class Events:
    """Parts of the answer in order; the first one has offset ``offset``.

    ``upstream`` and ``incarnation`` name the sidecar that keeps them.
    """

    upstream: str
    incarnation: str
    offset: int
    events: tuple[bytes, ...]


Part = Head | Events


class ReaderReplaced(ProblemError):
    """A newer reader of the same answer took over; the answer goes on there."""

    def __init__(self) -> None:
        super().__init__(problem(STREAM_TAKEN_OVER, not_run=False))


class Answering(Protocol):
    """What produces the parts of an answer."""

    def answer(self) -> AsyncGenerator[Part, None]:
        """Parts of the answer; an end without an error means that it is whole."""

    def hand_over(self) -> None:
        """Leave the answer running at its sidecar when ``answer`` is closed."""
