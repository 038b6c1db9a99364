"""Stand-ins for the operator, consumers and engines, as PROTOCOL.md describes them."""

from __future__ import annotations

import http.client
import itertools
import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import urlsplit

from deployment import HEARTBEAT_S, dump


Served = tuple[int, dict[str, str], bytes]
"""Status, headers and body of an engine's answer."""


@dataclass
class Answer:
    """``status`` is 0 if the channel gave no complete answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Make one call on a new channel."""
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        conn.request(method, path, body or None, headers or {})
        got = conn.getresponse()
        return Answer(got.status, got.read(), {k.lower(): v for k, v in got.getheaders()})
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        conn.close()


def control_call(
    addresses: list[str], method: str, path: str, body: bytes = b"", limit_s: float = 20.0
) -> tuple[Answer, str]:
    """Call ``control_plane`` as its callers do: move on after a failure or a 5xx.

    Returns the first clear answer and the node that gave it.
    """
    until = time.monotonic() + limit_s
    pause_s = 0.05
    for address in itertools.cycle(addresses):
        target, target_path = address, path
        for _ in range(3):
            headers = {"Content-Type": "application/json"} if body else {}
            got = call(target, method, target_path, body, headers)
            if got.status != 307:
                break
            location = urlsplit(got.headers.get("location", ""))
            target, target_path = location.netloc, location.path
        if got.status and got.status < 500 and got.status not in (307, 408, 429):
            return got, target
        if time.monotonic() > until:
            return got, target
        time.sleep(pause_s)
        pause_s = min(0.5, pause_s * 1.5)
    raise AssertionError("unreachable")


@dataclass
class Arrival:
    """One request at an engine; ``at`` is the monotonic time of its arrival."""

    at: float
    request_id: str
    headers: dict[str, str]
    status: int


class Engine:
    """An engine: registers itself by heartbeats, serves requests, records arrivals.

    ``serve`` returns status, headers and body of a request that it runs, from its id and
    headers; ``run_with_body`` does so from its body as well.  ``models`` is empty for
    engines of other services.
    """

    def __init__(
        self,
        ip: str,
        service: str,
        zone: str,
        serve: Callable[[str, dict[str, str]], Served] | None = None,
        models: list[dict[str, Any]] | None = None,
        slots: int = 48,
        run_with_body: Callable[[str, dict[str, str], bytes], Served] | None = None,
    ) -> None:
        self.id = "i-" + secrets.token_hex(5)
        self.service, self.zone, self.slots = service, zone, slots
        self.models = models or []
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.arrivals: list[Arrival] = []
        self._serve = serve
        self._run_with_body = run_with_body
        self._lock = threading.Lock()
        self._beating = False
        self._thread: threading.Thread | None = None
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            timeout = 20

            def log_message(self, *_args: Any) -> None:
                pass

            def _any(self) -> None:
                size = int(self.headers.get("content-length", "0"))
                body = self.rfile.read(size)
                engine.handle(self, body)

            do_GET = do_POST = do_DELETE = _any

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_args: Any) -> None:
                pass

        self._server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        fields = {name.lower(): value for name, value in handler.headers.items()}
        path = handler.path.partition("?")[0]
        if path == "/v1/report":
            state = {
                "stage": "colocated",
                "models": self.models,
                "busy": False,
                "seq": 0,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 120000,
                "handles": 0,
                "born": self.born,
            }
            _send(handler, 200, {"Content-Type": "application/json"}, dump(state))
            return
        if path == "/health":
            _send(handler, 200, {"X-Instance-Id": self.id}, b"")
            return
        request_id = fields.get("x-request-id", "")
        arrived = time.monotonic()
        if fields.get("x-expect-instance", self.id) != self.id:
            self._note(arrived, request_id, fields, 421)
            head = {"X-Instance-Id": self.id, "X-Request-Id": request_id}
            _send(handler, 421, head, b"")
            return
        with self._lock:
            if self._run_with_body is not None:
                status, headers, answer = self._run_with_body(request_id, fields, body)
            else:
                assert self._serve is not None
                status, headers, answer = self._serve(request_id, fields)
        self._note(arrived, request_id, fields, status)
        stamp = f"{self.id}.{len(self.arrivals)}"
        head = {
            "X-Request-Id": request_id,
            "X-Response-Stamp": stamp,
            "X-Instance-Id": self.id,
            "X-Load-Report": f"1,0,{self.slots}",
            **headers,
        }
        _send(handler, status, head, answer)

    def _note(
        self, at: float, request_id: str, headers: dict[str, str], status: int
    ) -> None:
        self.arrivals.append(Arrival(at, request_id, headers, status))

    def beat_body(self, **changed: Any) -> dict[str, Any]:
        """Return the body of the next heartbeat; fields changed to None are left out."""
        self.seq += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "colocated",
            "models": self.models,
            "born": self.born,
            "seq": self.seq,
            **changed,
        }
        return {name: value for name, value in body.items() if value is not None}

    def start_beats(self, nodes: Callable[[], list[str]]) -> None:
        """Send heartbeats to one node after the other until ``stop_beats``."""
        self._beating = True

        def beat() -> None:
            while self._beating:
                for address in nodes():
                    path = f"/v1/Instances.Heartbeat/{self.id}"
                    if call(address, "POST", path, dump(self.beat_body()), JSON).status == 200:
                        break
                time.sleep(HEARTBEAT_S)

        self._thread = threading.Thread(target=beat, daemon=True)
        self._thread.start()

    def stop_beats(self) -> None:
        """Send no further heartbeat; one that is on its way is waited for."""
        self._beating = False
        if self._thread is not None:
            self._thread.join()

    def close(self) -> None:
        self._beating = False
        self._server.shutdown()
        self._server.server_close()


JSON = {"Content-Type": "application/json"}


def _send(
    handler: BaseHTTPRequestHandler, status: int, headers: dict[str, str], body: bytes
) -> None:
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class Consumers:
    """Sends requests with ids of their own."""

    def __init__(self) -> None:
        self.sent: dict[str, dict[str, str]] = {}

    def send(
        self,
        front: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        deadline_ms: int = 2500,
    ) -> tuple[str, Answer]:
        request_id = secrets.token_hex(8)
        own = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), **headers}
        self.sent[request_id] = own
        got = call(front, method, path, body, own, timeout_s=deadline_ms / 1000)
        return request_id, got

