"""Messages that entries and sidecars exchange to run a request.

A dispatch is one gRPC call from an entry to a sidecar: the entry sends a
:class:`DispatchReq` and receives a stream of :data:`Frame` messages.  ``request_id``,
``attempt`` and ``incarnation`` together identify one attempt; frames with other values
are dropped.  Offsets count the events of the answer, from 0.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.connection.codec import message
from gooseberrydale.errors import Problem
from gooseberrydale.version.declarations import Config


@message
@dataclass(frozen=True, slots=True)
class Piece:
    """A section of a prompt, for prefix matching.

    ``chain`` is a hash over this piece and all pieces before it; ``tokens`` is the
    token count of this piece.  The hash contains no root: the cache key is derived from
    it and the root of the workspace, model and weights version.
    """

    chain: bytes
    tokens: int


@message
@dataclass(frozen=True, slots=True)
class Load:
    """The load of an upstream at one moment, as its sidecar has recorded it.

    ``queue_s`` is the expected wait of a new request in seconds, ``prefill_tps`` the
    measured prefill rate in tokens a second.
    """

    running: int = 0
    queued: int = 0
    queue_s: float = 0.0
    prefill_tps: float = 0.0
    cached_blocks: int = 0


@message
@dataclass(frozen=True, slots=True)
class DispatchReq:
    """Dispatches one attempt of a request to one incarnation of a sidecar.

    ``deadline_s`` is the time left until the first token is due, as of sending.  For a
    stream that is resumed on another upstream, ``emitted`` is the answer text that the
    caller has already received and ``first_offset`` the offset of the next event.
    ``record_seq`` is the ``seq`` of the announcement that the dispatch is based on (0:
    not stated); a sidecar refuses a dispatch that is based on a long outdated one.
    ``parts`` are the digests of the prompt's parts that other requests may share.
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
    parts: tuple[bytes, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class AttachReq:
    """Reattaches to a running or retained stream, from ``offset`` on.

    If ``attempt`` is -1, the sidecar takes the latest attempt of the request.
    """

    request_id: str
    incarnation: str
    workspace: str
    offset: int
    attempt: int = -1


@message
@dataclass(frozen=True, slots=True)
class CancelReq:
    """Cancels an attempt: stops it if it runs, bars it if its dispatch arrives later.

    ``record_seq`` is the one stated in the dispatch of the attempt (0: not stated).
    Without it, a sidecar that has run for a long time can't distinguish an attempt that
    was never dispatched from one that ran long ago.
    """

    request_id: str
    attempt: int
    incarnation: str
    workspace: str
    record_seq: int = 0


@message
@dataclass(frozen=True, slots=True)
class CancelReply:
    """Reply to a :class:`CancelReq`.

    ``not_run`` is True if the attempt has not run and can never start.
    """

    not_run: bool
    problem: Problem | None = None


@message
@dataclass(frozen=True, slots=True)
class Accepted:
    """The sidecar has accepted the attempt.

    ``status`` and ``headers`` are those of the answer.  ``cached_tokens`` counts the
    prompt tokens that were already in the cache.
    """

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
    """The sidecar refused the attempt, or the attempt ended before any answer."""

    request_id: str
    attempt: int
    incarnation: str
    problem: Problem
    load: Load
    cfg_revision: int


@message
@dataclass(frozen=True, slots=True)
class Chunk:
    """Events of the answer from ``offset`` on.

    An event is the data field of one server-sent event.  If the answer is not a stream,
    it is a section of the body.
    """

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    events: tuple[bytes, ...]


@message
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent when no other frame was; its absence reveals a silent connection."""

    request_id: str
    load: Load


@message
@dataclass(frozen=True, slots=True)
class End:
    """The answer is complete; ``offset`` is the number of its events."""

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    load: Load


@message
@dataclass(frozen=True, slots=True)
class Failed:
    """The answer failed and ends incomplete after ``offset`` events."""

    request_id: str
    attempt: int
    incarnation: str
    offset: int
    problem: Problem
    load: Load


@message
@dataclass(frozen=True, slots=True)
class PushConfig:
    """Sends the configuration to a process that has an outdated one."""

    config: Config


@message
@dataclass(frozen=True, slots=True)
class ConfigAck:
    """Reply to :class:`PushConfig` and :class:`ReadConfig`.

    ``revision`` is the current one of the replying process.
    """

    revision: int
    config: Config | None = None


@message
@dataclass(frozen=True, slots=True)
class ReadConfig:
    """Asks for the configuration if it is newer than ``revision``."""

    revision: int


Frame = Accepted | Refused | Chunk | Heartbeat | End | Failed
