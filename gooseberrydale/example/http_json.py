"""Builds the JSON responses of the example apps."""

from __future__ import annotations

from typing import Any

import msgspec
from starlette.responses import Response

from gooseberrydale.errors import Problem

JSON_TYPE = "application/json"


def json_response(content: Any, status: int = 200) -> Response:
    """Return a JSON response with any content that msgspec can encode."""
    return Response(msgspec.json.encode(content), status, media_type=JSON_TYPE)


def problem_response(refusal: Problem) -> Response:
    """Return a refusal as an error object of the OpenAI API."""
    error = {"code": refusal.code, "message": refusal.message}
    response = json_response({"error": error}, refusal.status)
    if refusal.retry_after_s is not None:
        response.headers["retry-after"] = str(max(1, round(refusal.retry_after_s)))
    return response
