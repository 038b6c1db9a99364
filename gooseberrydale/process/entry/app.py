"""The HTTP interface for callers: routes, and the handlers of the model list."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from gooseberrydale.errors import (
    INTERNAL,
    NO_ROUTE,
    UNKNOWN_PROFILE,
    WRONG_METHOD,
    ProblemError,
    problem,
)
from gooseberrydale.process.entry.call_handlers import CallHandlers, may_call
from gooseberrydale.process.entry.responses import JSON_TYPE, refusal
from gooseberrydale.process.instruments import Instruments
from gooseberrydale.request.body import CHAT_PATH, TEXT_PATH
from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace

SERVICE_METHODS = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"]
OWNER = "gooseberrydale"
NOT_FOUND = 404

Handler = Callable[[Request, Send], Awaitable[None]]


class _HandlerEndpoint:
    """ASGI endpoint whose handler sends the response itself.

    A :class:`ProblemError` that the handler raises becomes an error response.
    """

    def __init__(self, handler: Handler, instruments: Instruments) -> None:
        self._handler = handler
        self._instruments = instruments

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        req = Request(scope, receive)
        try:
            await self._handler(req, send)
        except ProblemError as exc:
            self._instruments.count_refusal(exc.problem.code)
            response = refusal(exc.problem, req.state.request_id)
            await response(scope, receive, send)
        except ClientDisconnect:
            return


def make_app(
    calls: CallHandlers, instruments: Instruments, extra: list[Route]
) -> Starlette:
    """Build the application.

    ``extra`` holds the routes for load balancers and monitoring.
    """

    async def models(req: Request, send: Send) -> None:
        workspace = await calls.authenticate(req)
        data = [_model_object(p) for p in _visible_profiles(calls, workspace)]
        await _send_json(req, send, {"object": "list", "data": data})

    async def model(req: Request, send: Send) -> None:
        workspace = await calls.authenticate(req)
        profile_name = req.path_params["name"]
        for profile in _visible_profiles(calls, workspace):
            if profile.name == profile_name:
                await _send_json(req, send, _model_object(profile))
                return
        raise calls.denied(problem(UNKNOWN_PROFILE, profile=profile_name))

    def endpoint(handler: Handler) -> _HandlerEndpoint:
        return _HandlerEndpoint(handler, instruments)

    routes = [
        Route(CHAT_PATH, endpoint(calls.completion), methods=["POST"]),
        Route(TEXT_PATH, endpoint(calls.completion), methods=["POST"]),
        Route("/v1/streams", endpoint(calls.attach), methods=["GET"]),
        Route("/v1/models", endpoint(models), methods=["GET"]),
        Route("/v1/models/{name:path}", endpoint(model), methods=["GET"]),
        Route(
            "/services/{profile}/{path:path}",
            endpoint(calls.service),
            methods=SERVICE_METHODS,
        ),
    ]
    return Starlette(
        routes=[*routes, *extra],
        exception_handlers={
            HTTPException: _handle_http_error,
            Exception: _handle_fault,
        },
    )


async def _handle_http_error(req: Request, exc: Exception) -> Response:
    assert isinstance(exc, HTTPException)
    kind = NO_ROUTE if exc.status_code == NOT_FOUND else WRONG_METHOD
    reason = problem(kind, method=req.method, path=req.url.path)
    response = refusal(reason, req.state.request_id)
    response.headers.update(exc.headers or {})
    return response


async def _handle_fault(req: Request, _exc: Exception) -> Response:
    """Answer an unhandled exception without details.

    The entry's middleware logs the exception.
    """
    return refusal(problem(INTERNAL, not_run=None), req.state.request_id)


def _visible_profiles(calls: CallHandlers, workspace: Workspace) -> list[Profile]:
    profiles = calls.config.profiles.values()
    allowed = [p for p in profiles if may_call(workspace, p)]
    return [p for p in allowed if p.kind is ProfileKind.COMPLETION]


def _model_object(profile: Profile) -> dict[str, object]:
    return {"id": profile.name, "object": "model", "created": 0, "owned_by": OWNER}


async def _send_json(req: Request, send: Send, obj: object) -> None:
    response = Response(msgspec.json.encode(obj), media_type=JSON_TYPE)
    await response(req.scope, req.receive, send)
