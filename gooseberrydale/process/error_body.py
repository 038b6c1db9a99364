"""Errors as JSON objects, in the format that clients of the OpenAI API expect."""

from __future__ import annotations

from typing import Any

from gooseberrydale.errors import Problem

ERROR_TYPES = {401: "authentication_error", 429: "rate_limit_error"}
MIN_SERVER_ERROR_STATUS = 500


def error_object(problem: Problem, request_id: str) -> dict[str, Any]:
    """Return ``problem`` as the content of a response body or of a stream's event."""
    is_client_error = problem.status < MIN_SERVER_ERROR_STATUS
    default_type = "invalid_request_error" if is_client_error else "server_error"
    return {
        "error": {
            "message": problem.message,
            "type": ERROR_TYPES.get(problem.status, default_type),
            "code": problem.code,
            "not_run": problem.not_run,
            "request_id": request_id,
        }
    }
