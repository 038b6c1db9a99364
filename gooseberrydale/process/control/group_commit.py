"""Gathers requests into log entries: one entry, and one sync, for many requests.

Lives as long as the process.  While an entry is being committed, further requests
gather for the next one; under light load each request is an entry of its own and
waits for nothing.
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
from gooseberrydale.process.control.tasks import spawn, stop

MAX_GROUP = 256
MAX_GROUP_BYTES = 1024 * 1024
MAX_WAITING = 4_096
MAX_WAITING_BYTES = 8 * 1024 * 1024
PROPOSE_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0

OnAnswer = Callable[[Any, Result[Any, Problem]], None]


@dataclass(frozen=True, slots=True)
class _Waiting:
    data: bytes
    answer: asyncio.Future[Result[Any, Problem]]


class GroupCommit:
    """Commits requests; ``wall`` gives Unix time in seconds.

    ``on_answer`` is called with each request and what became of it.
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
        self._waiting: deque[_Waiting] = deque()
        self._size = 0
        self._arrived = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to commit."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop; requests that still wait are refused."""
        await stop(self._tasks)
        self._refuse_all(_no_quorum())

    def refuse_if_not_leading(self) -> Problem | None:
        """Say who to ask if this process may not commit now."""
        return None if self._proposer.leads else _not_leader(self._proposer)

    async def ask(self, req: Any) -> Result[Any, Problem]:
        """Commit ``req`` and return the reply of the state.

        An error tells that nothing is known to be committed; the same request may
        be sent again.
        """
        refused = self.refuse_if_not_leading()
        if refused is not None:
            return Err(refused)
        data = _encode(req)
        if len(self._waiting) >= MAX_WAITING or self._size >= MAX_WAITING_BYTES:
            return Err(_no_quorum())
        answer = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(data, answer))
        self._size += len(data)
        self._arrived.set()
        result: Result[Any, Problem] = await answer
        if self._on_answer is not None:
            self._on_answer(req, result)
        return result

    async def _run(self) -> None:
        while True:
            await self._arrived.wait()
            group = self._take_group()
            if group:
                await self._commit(group)
            if not self._waiting:
                self._arrived.clear()

    def _take_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        size = 0
        while self._waiting and len(group) < MAX_GROUP and size < MAX_GROUP_BYTES:
            item = self._waiting.popleft()
            self._size -= len(item.data)
            if not item.answer.done():
                group.append(item)
                size += len(item.data)
        return group

    async def _commit(self, group: list[_Waiting]) -> None:
        command = encode(Command(self._wall(), tuple(item.data for item in group)))
        try:
            result = await self._proposer.propose(command, PROPOSE_TIMEOUT_S)
        except BaseException:
            _answer_all(group, Err(_no_quorum()))
            raise
        match result:
            case Ok(answer):
                for item, reply in zip(group, decode(answer).replies, strict=True):
                    _answer(item, Ok(decode(reply)))
            case Err(refused):
                _answer_all(group, Err(refused))

    def _refuse_all(self, refused: Problem) -> None:
        group = list(self._waiting)
        self._waiting.clear()
        self._size = 0
        _answer_all(group, Err(refused))


def _encode(req: Any) -> bytes:
    """Encode ``req``, making sure that it can be read again.

    A committed request that no replica can read would stop them all for good.
    """
    data = encode(req)
    if decode(data) != req:
        raise InvariantError(f"{type(req).__name__} changes on its way into the log")
    return data


def _answer_all(group: list[_Waiting], result: Result[Any, Problem]) -> None:
    for item in group:
        _answer(item, result)


def _answer(item: _Waiting, result: Result[Any, Problem]) -> None:
    if not item.answer.done():
        item.answer.set_result(result)


def _no_quorum() -> Problem:
    return problem(NO_QUORUM, not_run=None, retry_after_s=RETRY_AFTER_S)


def _not_leader(proposer: Proposer) -> Problem:
    leader = proposer.leader or "the leader, which is being elected"
    return problem(NOT_LEADER, retry_after_s=RETRY_AFTER_S, leader=leader)
