"""Combines requests into log entries: one entry, and one sync, for many requests.

While an entry is being committed, further requests are queued for the next one. Under
light load each request gets an entry of its own and isn't delayed.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import Command
from gooseberrydale.errors import (
    NO_QUORUM,
    NOT_LEADER,
    InvariantError,
    Problem,
    problem,
)
from gooseberrydale.process.control.proposer import Proposer
from gooseberrydale.process.tasks import spawn, stop

MAX_GROUP = 256
MAX_GROUP_BYTES = 1024 * 1024
MAX_QUEUED = 4_096
MAX_QUEUED_BYTES = 8 * 1024 * 1024
PROPOSE_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0

OnAnswer = Callable[[Any, Result[Any, Problem]], None]


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    data: bytes
    answer: asyncio.Future[Result[Any, Problem]]


class GroupCommit:
    """Commits requests in groups; ``wall`` returns Unix time in seconds.

    ``on_answer`` is called with each request and its result.
    """

    def __init__(
        self,
        proposer: Proposer,
        wall: Callable[[], float] = time.time,
        on_answer: OnAnswer | None = None,
    ) -> None:
        self._proposer = proposer
        self._on_answer = on_answer
        self._wall = wall
        self._queue: deque[_PendingRequest] = deque()
        self._queued_bytes = 0
        self._queue_filled = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start committing."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop; queued requests are refused."""
        await stop(self._tasks)
        self._refuse_all(_no_quorum())

    def refuse_if_not_leading(self) -> Problem | None:
        """Return a problem that names the leader if this process can't commit now."""
        return None if self._proposer.leads else _not_leader(self._proposer)

    async def submit(self, req: Any) -> Result[Any, Problem]:
        """Commit ``req`` and return the reply of the state machine.

        After an error the request may or may not have been committed; it is safe to
        submit the same request again.
        """
        refused = self.refuse_if_not_leading()
        if refused is not None:
            return Err(refused)
        data = _encode(req)
        if len(self._queue) >= MAX_QUEUED or self._queued_bytes >= MAX_QUEUED_BYTES:
            return Err(_no_quorum())
        answer = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingRequest(data, answer))
        self._queued_bytes += len(data)
        self._queue_filled.set()
        result: Result[Any, Problem] = await answer
        if self._on_answer is not None:
            self._on_answer(req, result)
        return result

    async def _run(self) -> None:
        while True:
            await self._queue_filled.wait()
            group = self._take_group()
            if group:
                await self._commit(group)
            if not self._queue:
                self._queue_filled.clear()

    def _take_group(self) -> list[_PendingRequest]:
        group: list[_PendingRequest] = []
        size = 0
        while self._queue and len(group) < MAX_GROUP and size < MAX_GROUP_BYTES:
            pending = self._queue.popleft()
            self._queued_bytes -= len(pending.data)
            if not pending.answer.done():
                group.append(pending)
                size += len(pending.data)
        return group

    async def _commit(self, group: list[_PendingRequest]) -> None:
        requests = tuple(pending.data for pending in group)
        command = encode(Command(self._wall(), requests, self._proposer.cluster))
        try:
            result = await self._proposer.propose(command, PROPOSE_TIMEOUT_S)
        except BaseException:
            _resolve_all(group, Err(_no_quorum()))
            raise
        match result:
            case Ok(answer):
                for pending, reply in zip(group, decode(answer).replies, strict=True):
                    _resolve(pending, Ok(decode(reply)))
            case Err(refused):
                _resolve_all(group, Err(refused))

    def _refuse_all(self, refused: Problem) -> None:
        group = list(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        _resolve_all(group, Err(refused))


def _encode(req: Any) -> bytes:
    """Encode ``req`` and verify that it can be decoded again.

    A committed request that can't be decoded would stop all replicas permanently.
    """
    data = encode(req)
    if decode(data) != req:
        raise InvariantError(
            f"{type(req).__name__} doesn't decode to an equal message; check its codec"
        )
    return data


def _resolve_all(group: list[_PendingRequest], result: Result[Any, Problem]) -> None:
    for pending in group:
        _resolve(pending, result)


def _resolve(pending: _PendingRequest, result: Result[Any, Problem]) -> None:
    if not pending.answer.done():
        pending.answer.set_result(result)


def _no_quorum() -> Problem:
    return problem(NO_QUORUM, not_run=None, retry_after_s=RETRY_AFTER_S)


def _not_leader(proposer: Proposer) -> Problem:
    leader = proposer.leader or "the leader, which is being elected"
    return problem(NOT_LEADER, retry_after_s=RETRY_AFTER_S, leader=leader)
