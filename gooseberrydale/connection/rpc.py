"""gRPC methods, servers and channels of this system, without generated stubs.

Each method is declared once, as a :class:`Method`.  Servers register handlers for
methods, clients call them; the codec transfers any registered message.  A shared fleet
token in the metadata authenticates each call.  Automatic retries are disabled: only the
request path decides whether a call is sent again.
"""

from __future__ import annotations

import hmac
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any, cast

import grpc
import grpc.aio

from gooseberrydale.connection.codec import decode, encode

TOKEN_KEY = "x-fleet-token"
KEEPALIVE_MS = 2_000
KEEPALIVE_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000
"""Longer than a handshake takes over a slow path or while the process is busy; callers
that can use another process wait for less."""

HANDSHAKE_TIMEOUT_MS = 5_000
"""The time for TLS and the first frames, without which a connection takes a descriptor
for two minutes.  Clients give up sooner."""

MAX_MESSAGE_BYTES = 64 * 1024 * 1024

CHANNEL_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.enable_retries", 0),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # Bounds an attempt to connect, and not the pause before the next one.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Each channel has its own connection: a new channel never reuses an old one.
    ("grpc.use_local_subchannel_pool", 1),
]
SERVER_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Otherwise the window in which a client may send before anything is read grows with
    # the speed of its connection, to megabytes.  A message that is read may exceed it.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    ("grpc.so_reuseport", 0),
]
_FAILED_STATES = (
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
)


@dataclass(frozen=True, slots=True)
class Method:
    """One method of the protocol; the flags state which side streams."""

    service: str
    name: str
    client_streams: bool = False
    server_streams: bool = False

    @property
    def path(self) -> str:
        """The HTTP/2 path of the method."""
        return f"/{self.service}/{self.name}"


DISPATCH = Method("gooseberrydale.Sidecar", "Dispatch", server_streams=True)
ATTACH = Method("gooseberrydale.Sidecar", "Attach", server_streams=True)
CANCEL = Method("gooseberrydale.Sidecar", "Cancel")
PUSH_CONFIG = Method("gooseberrydale.Sidecar", "PushConfig")
READ_CONFIG = Method("gooseberrydale.Sidecar", "ReadConfig")
MESH_SESSION = Method(
    "gooseberrydale.Mesh", "Session", client_streams=True, server_streams=True
)
QUOTA = Method("gooseberrydale.Entry", "Quota")
ORDER = Method("gooseberrydale.Sidecar", "Order")
PROPOSE = Method("gooseberrydale.Control", "Propose")
READ_MEMBERS = Method("gooseberrydale.Control", "ReadMembers")
REPLICATE = Method(
    "gooseberrydale.Control", "Replicate", client_streams=True, server_streams=True
)

Unary = Callable[[Any], Awaitable[Any]]
Replies = AsyncGenerator[Any, None]
Streaming = Callable[[Any], AsyncIterator[Any]]


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files: certificate and key of this process, and the trusted CA."""

    cert_file: str
    key_file: str
    ca_file: str


class _TokenCheck(grpc.aio.ServerInterceptor):
    """Rejects calls whose metadata has no fleet token or a wrong one."""

    def __init__(self, token: str) -> None:
        self._token = token.encode()

    async def intercept_service(self, continuation: Any, details: Any) -> Any:
        metadata = dict(details.invocation_metadata or ())
        sent = str(metadata.get(TOKEN_KEY, "")).encode()
        if hmac.compare_digest(sent, self._token):
            return await continuation(details)
        # A handler of streams gets no message before it asks for one, so nothing that a
        # stranger sends is read.
        return grpc.stream_stream_rpc_method_handler(_refuse_token)


async def _refuse_token(_messages: Any, ctx: Any) -> None:
    await ctx.abort(
        grpc.StatusCode.UNAUTHENTICATED,
        "fleet token missing or wrong; set the same fleet_token_file in all processes",
    )


class RpcServer:
    """A gRPC server: register handlers, then call ``start``; ``close`` drains it."""

    def __init__(self, address: str, token: str, tls: TlsFiles | None = None) -> None:
        self._address = address
        self._token = token
        self._tls = tls
        self._handlers: dict[str, dict[str, Any]] = {}
        self._server: Any = None
        self.port = 0

    def unary(self, method: Method, handler: Unary) -> None:
        """Serve ``method`` with a coroutine that returns the reply to a message."""

        async def serve(req: Any, _ctx: Any) -> Any:
            return await handler(req)

        self._add(method, grpc.unary_unary_rpc_method_handler, serve)

    def streaming(self, method: Method, handler: Streaming) -> None:
        """Serve ``method`` with an async generator of messages.

        The handler is called with a message, or with an iterator of messages if the
        client streams too.
        """

        async def serve(req: Any, _ctx: Any) -> AsyncIterator[Any]:
            # Lets the handler clean up as soon as its caller has disconnected.
            async with aclosing(cast(Replies, handler(req))) as replies:
                async for msg in replies:
                    yield msg

        factory = (
            grpc.stream_stream_rpc_method_handler
            if method.client_streams
            else grpc.unary_stream_rpc_method_handler
        )
        self._add(method, factory, serve)

    def _add(self, method: Method, factory: Any, serve: Any) -> None:
        handlers = self._handlers.setdefault(method.service, {})
        handlers[method.name] = factory(
            serve, request_deserializer=decode, response_serializer=encode
        )

    async def start(self) -> None:
        """Bind and serve; raise OSError if the address can't be bound."""
        server = grpc.aio.server(
            interceptors=[_TokenCheck(self._token)], options=SERVER_OPTIONS
        )
        for service, handlers in self._handlers.items():
            server.add_generic_rpc_handlers(
                (grpc.method_handlers_generic_handler(service, handlers),)
            )
        try:
            if self._tls is None:
                self.port = server.add_insecure_port(self._address)
            else:
                self.port = server.add_secure_port(
                    self._address, _server_credentials(self._tls)
                )
        except RuntimeError as exc:
            raise OSError(f"cannot listen on {self._address}: {exc}") from exc
        await server.start()
        self._server = server

    async def close(self, grace_s: float = 0.0) -> None:
        """Stop; running calls have ``grace_s`` seconds to finish."""
        if self._server is not None:
            await self._server.stop(grace_s)
            self._server = None


class RpcChannel:
    """A connection to one process; ``close`` cancels all its calls."""

    def __init__(self, address: str, token: str, tls: TlsFiles | None = None) -> None:
        self.address = address
        self._metadata = ((TOKEN_KEY, token),)
        if tls is None:
            self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        else:
            self._channel = grpc.aio.secure_channel(
                address, _channel_credentials(tls), options=CHANNEL_OPTIONS
            )
        self._calls: dict[Method, Any] = {}

    def call(
        self, method: Method, req: Any = None, *, timeout_s: float | None = None
    ) -> Any:
        """Start a call and return grpcio's call object (awaitable or iterable).

        For a client-streaming method ``req`` is an async iterator of messages.
        """
        if method not in self._calls:
            self._calls[method] = self._multi_callable(method)
        return self._calls[method](req, metadata=self._metadata, timeout=timeout_s)

    def _multi_callable(self, method: Method) -> Any:
        kinds = {
            (False, False): self._channel.unary_unary,
            (False, True): self._channel.unary_stream,
            (True, True): self._channel.stream_stream,
        }
        factory = kinds[method.client_streams, method.server_streams]
        return factory(
            method.path, request_serializer=encode, response_deserializer=decode
        )

    async def connect(self) -> bool:
        """Wait until the connection is open; return False if opening it failed."""
        while True:
            state = self._channel.get_state(try_to_connect=True)
            if state is grpc.ChannelConnectivity.READY:
                return True
            if state in _FAILED_STATES:
                return False
            await self._channel.wait_for_state_change(state)

    async def close(self) -> None:
        """Close the connection and cancel its calls."""
        await self._channel.close(None)


def _server_credentials(tls: TlsFiles) -> Any:
    pair = (_read(tls.key_file), _read(tls.cert_file))
    return grpc.ssl_server_credentials([pair], _read(tls.ca_file), True)


def _channel_credentials(tls: TlsFiles) -> Any:
    return grpc.ssl_channel_credentials(
        _read(tls.ca_file), _read(tls.key_file), _read(tls.cert_file)
    )


def _read(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()
