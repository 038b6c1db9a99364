"""The form of a refusal in JSON, as clients of the OpenAI interface expect it."""

from __future__ import annotations

from typing import Any

from gooseberrydale.errors import Problem

ERROR_TYPES = {401: "authentication_error", 429: "rate_limit_error"}
FIRST_SERVER_STATUS = 500


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
