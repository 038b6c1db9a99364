"""Turns refusals into the JSON answers that callers of the interface expect."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from starlette.responses import Response

from gooseberrydale.errors import BODY_TIMEOUT, BODY_TOO_LARGE, Problem

JSON_TYPE = "application/json"
ERROR_TYPES = {401: "authentication_error", 429: "rate_limit_error"}
FIRST_SERVER_STATUS = 500
UNREAD_BODY_CODES = {BODY_TOO_LARGE.code, BODY_TIMEOUT.code}
MS_PER_S = 1000


def error_object(problem: Problem, request_id: str) -> dict[str, Any]:
    """The error as callers get it, in a body or in an event of a stream."""
    is_callers = problem.status < FIRST_SERVER_STATUS
    by_side = "invalid_request_error" if is_callers else "server_error"
    return {
        "error": {
            "message": problem.message,
            "type": ERROR_TYPES.get(problem.status, by_side),
            "code": problem.code,
            "not_run": problem.not_run,
            "request_id": request_id,
        }
    }


def refusal(problem: Problem, request_id: str) -> Response:
    """The final answer to a request that is refused."""
    response = Response(
        msgspec.json.encode(error_object(problem, request_id)),
        status_code=problem.status,
        media_type=JSON_TYPE,
    )
    # Client libraries send some statuses again by themselves unless told not to.
    comes_back = problem.retry_after_s is not None
    response.headers["x-should-retry"] = "true" if comes_back else "false"
    if problem.retry_after_s is not None:
        response.headers["retry-after"] = str(math.ceil(problem.retry_after_s))
        wait_ms = math.ceil(problem.retry_after_s * MS_PER_S)
        response.headers["retry-after-ms"] = str(wait_ms)
    if problem.code in UNREAD_BODY_CODES:
        response.headers["connection"] = "close"
    return response
