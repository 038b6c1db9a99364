"""Builds the JSON error responses of the HTTP interface."""

from __future__ import annotations

import math

import msgspec
from starlette.responses import Response

from gooseberrydale.errors import BODY_TIMEOUT, BODY_TOO_LARGE, Problem
from gooseberrydale.process.error_body import error_object

JSON_TYPE = "application/json"
UNREAD_BODY_CODES = {BODY_TOO_LARGE.code, BODY_TIMEOUT.code}
MS_PER_S = 1000


def refusal(problem: Problem, request_id: str) -> Response:
    """The error response to a request that failed or was refused."""
    response = Response(
        msgspec.json.encode(error_object(problem, request_id)),
        status_code=problem.status,
        media_type=JSON_TYPE,
    )
    # Client libraries retry some statuses on their own unless this header forbids it.
    is_retryable = problem.retry_after_s is not None
    response.headers["x-should-retry"] = "true" if is_retryable else "false"
    if problem.retry_after_s is not None:
        response.headers["retry-after"] = str(math.ceil(problem.retry_after_s))
        wait_ms = math.ceil(problem.retry_after_s * MS_PER_S)
        response.headers["retry-after-ms"] = str(wait_ms)
    if problem.code in UNREAD_BODY_CODES:
        response.headers["connection"] = "close"
    return response
