"""Messages between entries and sidecars, on the path of a request.

One dispatch is one gRPC call from an entry to a sidecar: a :class:`DispatchReq`
goes out, a stream of the frames below comes back.  ``request_id``, ``attempt`` and
``incarnation`` name one try of one request; whatever carries another triple is
dropped.  Offsets count events of the answer, from 0.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.connection.codec import message
from gooseberrydale.errors import Problem
from gooseberrydale.version.declarations import Config


@message
@dataclass(frozen=True, slots=True)
class Piece:
    """A stretch of a prompt: hash chained over all before it, and its tokens.

    ``chain`` is rootless; the cache key is derived from it with the root of
    workspace, model and weights version.
    """

    chain: bytes
    tokens: int


@message
@dataclass(frozen=True, slots=True)
class Load:
    """What a sidecar knows of its upstream's load at one instant.

    ``queue_s`` is the expected wait of a new request in seconds, ``prefill_tps``
    the measured prefill rate in tokens a second.
    """

    running: int = 0
    queued: int = 0
    queue_s: float = 0.0
    prefill_tps: float = 0.0
    cached_blocks: int = 0


@message
@dataclass(frozen=True, slots=True)
class DispatchReq:
    """One try of one request, addressed to one incarnation of a sidecar.

    ``deadline_s`` is the time left to the first token when the message was sent.
    ``emitted`` is the answer text that the caller has already got when a stream is
    resumed on another upstream; ``first_offset`` is the offset of the next event.
    ``record_seq`` is the ``seq`` of the announcement that the dispatch is based on
    (0: not stated); a sidecar refuses a dispatch that is based on a long gone one.
    """

    request_id: str
    attempt: int
    incarnation: str
    workspace: str
    profile: str
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    stream: bool = False
    repeatable: bool = True
    deadline_s: float = 30.0
    pieces: tuple[Piece, ...] = ()
    cfg_revision: int = 0
    emitted: str = ""
    first_offset: int = 0
    claim_key: str = ""
    record_seq: int = 0


@message
@dataclass(frozen=True, slots=True)
class AttachReq:
    """Ask for a running or kept stream again, from ``offset`` on.

    ``attempt`` is -1 if it is not known; then the latest one is meant.
    """

    request_id: str
    incarnation: str
    workspace: str
    offset: int
    attempt: int = -1


@message
@dataclass(frozen=True, slots=True)
class CancelReq:
    """Give up an attempt: stop it if it runs, refuse it if it comes later.

    ``record_seq`` is the one that its dispatch states (0: not stated).  Without it a
    sidecar that has been up for long can't tell an attempt that never came from one
    that ran long ago.
    """

    request_id: str
    attempt: int
    incarnation: str
    workspace: str
    record_seq: int = 0


@message
@dataclass(frozen=True, slots=True)
class CancelReply:
    """``not_run`` is True once the attempt can never start any more."""

    not_run: bool
    problem: Problem | None = None


@message
@dataclass(frozen=True, slots=True)
class Accepted:
    """The sidecar has taken the attempt; ``cached_tokens`` it found cached."""

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    status: int
    headers: tuple[tuple[str, str], ...]
    load: Load
    cfg_revision: int
    cached_tokens: int = 0


@message
@dataclass(frozen=True, slots=True)
class Refused:
    """The sidecar did not take the attempt, or it ended before any answer."""

    request_id: str
    attempt: int
    incarnation: str
    problem: Problem
    load: Load
    cfg_revision: int


@message
@dataclass(frozen=True, slots=True)
class Chunk:
    """Events of the answer from ``offset`` on; one event is one SSE data field.

    For an answer that is not a stream each event is a part of its body.
    """

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    events: tuple[bytes, ...]


@message
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent when nothing else was, so that a silent connection shows."""

    request_id: str
    load: Load


@message
@dataclass(frozen=True, slots=True)
class End:
    """The answer is whole; ``offset`` is the count of its events."""

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    load: Load


@message
@dataclass(frozen=True, slots=True)
class Failed:
    """The answer ends here, not whole, after ``offset`` events."""

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    problem: Problem
    load: Load


@message
@dataclass(frozen=True, slots=True)
class PushConfig:
    """Hand a configuration to a process that is behind."""

    config: Config


@message
@dataclass(frozen=True, slots=True)
class ConfigAck:
    """The revision in force at the answering process after a push or a read."""

    revision: int
    config: Config | None = None


@message
@dataclass(frozen=True, slots=True)
class ReadConfig:
    """Ask for the configuration if it is newer than ``revision``."""

    revision: int


Frame = Accepted | Refused | Chunk | Heartbeat | End | Failed
