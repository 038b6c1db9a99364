"""Builds test data for the decisions of the request path."""

from __future__ import annotations

import hashlib

from gooseberrydale import errors
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    Accepted,
    Chunk,
    End,
    Failed,
    Load,
    Piece,
    Refused,
)
from gooseberrydale.errors import ErrorKind, problem
from gooseberrydale.request.admission import Work
from gooseberrydale.request.routing import Choice, RouteReq
from gooseberrydale.version.declarations import Profile, ProfileKind

POOL = "engines"
MODEL = "model-a"
PROFILE = Profile("summary", ProfileKind.COMPLETION, POOL, model=MODEL)
IDLE = Load(prefill_tps=10_000.0)


def record(name: str, **fields: object) -> UpstreamRecord:
    """Return a ready upstream of the pool."""
    values: dict[str, object] = {
        "incarnation": "i1",
        "seq": 1,
        "address": "127.0.0.1:1",
        "zone": "z1",
        "region": "r1",
        "pool": POOL,
        "kind": "completion",
        "model": MODEL,
        "weights_version": "v1",
        "upstream_incarnation": "u1",
    }
    return UpstreamRecord(name=name, **{**values, **fields})  # type: ignore[arg-type]


def pool_of(count: int) -> tuple[UpstreamRecord, ...]:
    """Return ``count`` upstreams up-0, up-1, ..."""
    return tuple(record(f"up-{number}") for number in range(count))


def pieces(*parts: tuple[str, int]) -> tuple[Piece, ...]:
    """Return pieces from (text, tokens), each with the digest of all up to it."""
    chain = b""
    result = []
    for text, tokens in parts:
        chain = hashlib.blake2b(chain + text.encode(), digest_size=16).digest()
        result.append(Piece(chain, tokens))
    return tuple(result)


def route(*parts: tuple[str, int], **fields: object) -> RouteReq:
    """Return a request whose prompt has ``parts``."""
    values: dict[str, object] = {"workspace": "w1", "profile": PROFILE}
    values["pieces"] = pieces(*parts)
    return RouteReq(**{**values, **fields})  # type: ignore[arg-type]


def accepted(cached_tokens: int = 0, load: Load = IDLE) -> Accepted:
    """Return an Accepted frame, for the routing policies."""
    return Accepted("r", 1, "i1", 0, 200, (), load, 0, cached_tokens)


def refused(kind: ErrorKind, load: Load = IDLE) -> Refused:
    """Return a Refused frame, for the routing policies."""
    fields = {"wait_s": 1.0, "deadline_s": 1.0, "upstream": "u"}
    return Refused("r", 1, "i1", problem(kind, **fields), load, 0)


def sent(policy: object, choice: Choice, cached: int, now: float) -> None:
    """Dispatch a choice and let the sidecar accept it."""
    policy.dispatched(choice, now)  # type: ignore[attr-defined]
    policy.observe(choice, accepted(cached), now)  # type: ignore[attr-defined]


def work(work_id: str, **fields: object) -> Work:
    """Return work of 1,000 tokens with a distant deadline."""
    values: dict[str, object] = {"workspace": "w1", "tokens": 1_000}
    values["deadline_s"] = 1e6
    return Work(id=work_id, **{**values, **fields})  # type: ignore[arg-type]


class Frames:
    """Builds frames of one attempt of request ``r``."""

    def __init__(self, attempt: int = 1, incarnation: str = "i1") -> None:
        self.triple = ("r", attempt, incarnation)

    def accepted(self, offset: int = 0) -> Accepted:
        return Accepted(*self.triple, offset, 200, (), IDLE, 0)

    def chunk(self, start: int, stop: int) -> Chunk:
        return Chunk(*self.triple, start, tuple(event(i) for i in range(start, stop)))

    def end(self, offset: int) -> End:
        return End(*self.triple, offset, IDLE)

    def failed(self, offset: int) -> Failed:
        why = problem(errors.UPSTREAM_FAILED, not_run=False)
        return Failed(*self.triple, offset, why, IDLE)

    def refused(self) -> Refused:
        return Refused(*self.triple, problem(errors.QUEUE_FULL), IDLE, 0)


def event(offset: int) -> bytes:
    """Return an event of an answer whose content is its own offset."""
    return b'{"choices":[{"index":0,"delta":{"content":"%d "}}]}' % offset
