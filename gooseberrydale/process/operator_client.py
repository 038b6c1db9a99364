"""Client of the operators' interface; lives for one command.

It asks the control replicas one after the other, until one answers that can: one
that can't be reached or does not lead is passed over.  Changes may be sent to
several replicas without harm, since each carries its change id.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from gooseberrydale.errors import (
    CONTROL_UNREACHABLE,
    NO_QUORUM,
    NOT_LEADER,
    SHUTTING_DOWN,
    Problem,
    problem,
)

PASSING_CODES = (NOT_LEADER.code, NO_QUORUM.code, SHUTTING_DOWN.code)
RETRY_S = 0.2
CALL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """Where control is and how to get in; ``timeout_s`` bounds each request."""

    urls: Sequence[str]
    token: str
    ca_file: str = ""
    timeout_s: float = 10.0


class OperatorClient:
    """Requests to the operators' interface of any replica."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._http = aiosonic.HTTPClient()
        self._ssl = _ssl_context(target.ca_file)

    async def get(self, path: str) -> Result[Any, Problem]:
        """Return the table at ``path``, from the leader if there is one."""
        result = await self._ask_each("GET", _from_leader(path), None)
        if result.is_ok() or not _is_passing(result.unwrap_err()):
            return result
        return await self._ask("GET", path, None)

    async def get_from_leader(self, path: str) -> Result[Any, Problem]:
        """Return the table at ``path`` from the leader: a change builds on it."""
        return await self._ask("GET", _from_leader(path), None)

    async def post(self, path: str, body: Any) -> Result[Any, Problem]:
        """Send ``body`` as JSON and return the table that comes back."""
        return await self._ask("POST", path, body)

    async def __aenter__(self) -> OperatorClient:
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._http.__aexit__(*exc_info)

    async def _ask(self, method: str, path: str, body: Any) -> Result[Any, Problem]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._target.timeout_s
        while True:
            result = await self._ask_each(method, path, body)
            passing = result.is_err() and _is_passing(result.unwrap_err())
            if not passing or loop.time() + RETRY_S >= deadline:
                return result
            await asyncio.sleep(RETRY_S)

    async def _ask_each(
        self, method: str, path: str, body: Any
    ) -> Result[Any, Problem]:
        result: Result[Any, Problem] = Err(_unreachable("none is listed"))
        for url in self._target.urls:
            try:
                result = await self._call(method, url.rstrip("/") + path, body)
            except (OSError, AiosonicError) as exc:
                if result.is_err() and _is_unreachable(result.unwrap_err()):
                    result = Err(_unreachable(f"{url}: {_reason(exc)}"))
                continue
            if result.is_ok() or not _is_passing(result.unwrap_err()):
                return result
        return result

    async def _call(self, method: str, url: str, body: Any) -> Result[Any, Problem]:
        headers = {"authorization": f"Bearer {self._target.token}"}
        data = None
        if body is not None:
            headers["content-type"] = "application/json"
            data = msgspec.json.encode(body)
        reply = await self._http.request(
            url,
            method,
            headers=headers,
            data=data,
            ssl=self._ssl,
            timeouts=Timeouts(request_timeout=CALL_TIMEOUT_S),
        )
        content = await reply.content()
        try:
            if reply.status_code == 200:
                return Ok(msgspec.json.decode(content))
            return Err(msgspec.json.decode(content, type=Problem))
        except msgspec.MsgspecError:
            return Err(_unreachable(f"{url}: no answer of control"))


def _from_leader(path: str) -> str:
    return f"{path}{'&' if '?' in path else '?'}from=leader"


def _is_passing(refused: Problem) -> bool:
    return refused.code in PASSING_CODES or _is_unreachable(refused)


def _is_unreachable(refused: Problem) -> bool:
    return refused.code == CONTROL_UNREACHABLE.code


def _unreachable(reason: str) -> Problem:
    return problem(CONTROL_UNREACHABLE, not_run=None, reason=reason)


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _ssl_context(ca_file: str) -> ssl.SSLContext | None:
    return ssl.create_default_context(cafile=ca_file) if ca_file else None
