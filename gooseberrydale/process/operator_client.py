"""HTTP client of the control replicas, for the operators' commands.

Each command has a client of its own.  It tries the replicas one after the other and
skips those that can't be reached, are not the leader, have no quorum or are shutting
down.  A change can safely be sent to several replicas, since control applies each
change id once.
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

# After these errors another replica may still be able to answer.
TRY_NEXT_CODES = (NOT_LEADER.code, NO_QUORUM.code, SHUTTING_DOWN.code)
CALL_FAILURES = (OSError, EOFError, ValueError, AiosonicError)
"""What the library raises; the second and third if a response is cut off."""

RETRY_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """The control replicas to call, and the credentials for them.

    ``timeout_s`` bounds each request, including its retries at other replicas.
    """

    urls: Sequence[str]
    token: str
    ca_file: str = ""
    timeout_s: float = 10.0


class OperatorClient:
    """Sends requests to the first replica whose operators' interface can answer."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._http = aiosonic.HTTPClient()
        self._ssl = _ssl_context(target.ca_file)

    async def get(self, path: str) -> Result[Any, Problem]:
        """Return the JSON object at ``path``.

        Prefers the leader; if none answers, another replica returns what it has, which
        may be outdated.
        """
        result = await self._try_each_replica("GET", _from_leader(path), None)
        if result.is_ok() or not _may_try_next(result.unwrap_err()):
            return result
        return await self._request_until_deadline("GET", path, None)

    async def get_from_leader(self, path: str) -> Result[Any, Problem]:
        """Return the JSON object at ``path`` from the leader.

        For data that a change is based on, as other replicas may be behind.
        """
        return await self._request_until_deadline("GET", _from_leader(path), None)

    async def post(self, path: str, body: Any) -> Result[Any, Problem]:
        """Send ``body`` as JSON and return the JSON object of the response."""
        return await self._request_until_deadline("POST", path, body)

    async def __aenter__(self) -> OperatorClient:
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._http.__aexit__(*exc_info)

    async def _request_until_deadline(
        self, method: str, path: str, body: Any
    ) -> Result[Any, Problem]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._target.timeout_s
        while True:
            result = await self._try_each_replica(method, path, body)
            may_retry = result.is_err() and _may_try_next(result.unwrap_err())
            if not may_retry or loop.time() + RETRY_INTERVAL_S >= deadline:
                return result
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _try_each_replica(
        self, method: str, path: str, body: Any
    ) -> Result[Any, Problem]:
        result: Result[Any, Problem] = Err(_unreachable("no address is given"))
        for url in self._target.urls:
            try:
                result = await self._call(method, url.rstrip("/") + path, body)
            except CALL_FAILURES as exc:
                if result.is_err() and _is_unreachable(result.unwrap_err()):
                    result = Err(_unreachable(f"{url}: {_reason(exc)}"))
                continue
            if result.is_ok() or not _may_try_next(result.unwrap_err()):
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
            return Err(_unreachable(f"{url}: the response is not from control"))


def _from_leader(path: str) -> str:
    return f"{path}{'&' if '?' in path else '?'}from=leader"


def _may_try_next(refusal: Problem) -> bool:
    return refusal.code in TRY_NEXT_CODES or _is_unreachable(refusal)


def _is_unreachable(refusal: Problem) -> bool:
    return refusal.code == CONTROL_UNREACHABLE.code


def _unreachable(reason: str) -> Problem:
    return problem(CONTROL_UNREACHABLE, not_run=None, reason=reason)


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _ssl_context(ca_file: str) -> ssl.SSLContext | None:
    return ssl.create_default_context(cafile=ca_file) if ca_file else None
