"""Refusals: each is sent immediately as JSON with an error code, and runs nothing."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import httpx2
import pytest

from gooseberrydale.process.http import protocol as http_protocol
from gooseberrydale.version.declarations import Config
from tests.builders_entry import KEY_A, KEY_B, FakeSidecar, run, running

CHAT = "/v1/chat/completions"
LIMIT = 10_000
VALID = {"model": "lots", "messages": [{"role": "user", "content": "?"}]}


@dataclass(frozen=True)
class Case:
    """A bad request and the refusal that it gets."""

    name: str
    status: int
    code: str
    method: str = "POST"
    path: str = CHAT
    body: bytes = json.dumps(VALID).encode()
    key: str = KEY_A
    headers: dict[str, str] = field(default_factory=dict)
    is_retryable: bool = False


def body(**changes: Any) -> bytes:
    return json.dumps({**VALID, **changes}).encode()


CASES = [
    Case("no key", 401, "missing_key", key=""),
    Case("wrong key", 401, "invalid_key", key="guess"),
    Case("empty body", 400, "invalid_json", body=b""),
    Case("broken JSON", 400, "invalid_json", body=b'{"model": '),
    Case("not UTF-8", 400, "invalid_json", body=b'{"model": "\xff"}'),
    Case("deep nesting", 400, "invalid_json", body=b"[" * 5_000),
    Case("no object", 400, "invalid_field", body=b"[]"),
    Case("model is a number", 400, "invalid_field", body=body(model=1)),
    Case("stream is a string", 400, "invalid_field", body=body(stream="yes")),
    Case("no messages", 400, "invalid_field", body=body(messages=[])),
    Case("role missing", 400, "invalid_field", body=body(messages=[{}])),
    Case("unknown profile", 404, "unknown_profile", body=body(model="nil")),
    Case("service as a model", 400, "wrong_profile_kind", body=body(model="bids")),
    Case("model as a service", 400, "wrong_profile_kind", path="/services/lots/x"),
    Case(
        "profile closed to the workspace",
        404,
        "unknown_profile",
        path="/services/bids/x",
        key=KEY_B,
    ),
    Case("too large", 413, "body_too_large", body=b"x" * (LIMIT + 1)),
    Case("no upstream", 503, "no_upstream", is_retryable=True),
    Case("unknown path", 404, "no_route", path="/v2/chat"),
    Case("wrong method", 405, "wrong_method", method="GET", body=b""),
    Case("event id", 400, "invalid_field", headers={"Last-Event-ID": "7"}),
    Case(
        "unknown stream",
        404,
        "unknown_stream",
        headers={"Last-Event-ID": "u9/inc/request/3"},
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_bad_request_is_refused_with_its_error_code(case: Case) -> None:
    async def scenario() -> httpx2.Response:
        async with running(max_body_bytes=LIMIT) as entry:
            headers = dict(case.headers)
            if case.key:
                headers["Authorization"] = f"Bearer {case.key}"
            async with httpx2.AsyncClient() as client:
                return await client.request(
                    case.method,
                    f"http://{entry.addresses['http']}{case.path}",
                    content=case.body,
                    headers=headers,
                )

    answer = run(scenario())
    error = answer.json()["error"]
    assert (answer.status_code, error["code"]) == (case.status, case.code)
    assert error["request_id"] == answer.headers["x-request-id"]
    assert set(error) == {"message", "type", "code", "not_run", "request_id"}
    assert ("retry-after" in answer.headers) == case.is_retryable


async def raw_request(address: str, *parts: bytes, half_close: bool = False) -> bytes:
    """Send ``parts`` of a request and read the response until the connection closes."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
    if half_close:
        writer.write_eof()
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


HEAD = (
    f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {KEY_A}\r\n"
    "Content-Length: {length}\r\n\r\n"
)


def test_slow_body_is_refused_after_the_body_timeout() -> None:
    async def scenario() -> None:
        async with running() as entry:
            head = HEAD.format(length=100).encode()
            answer = await raw_request(entry.addresses["http"], head, b'{"mo')
        assert b"408 Request Timeout" in answer and b"body_timeout" in answer

    run(scenario())


def test_too_large_body_is_refused_before_it_is_sent() -> None:
    async def scenario() -> None:
        async with running(max_body_bytes=LIMIT, body_timeout_s=60) as entry:
            head = HEAD.format(length=LIMIT + 1).encode()
            answer = await raw_request(entry.addresses["http"], head)
        assert b"413 " in answer and b"connection: close" in answer.lower()

    run(scenario())


def test_caller_that_disconnects_before_the_end_of_its_body_starts_nothing() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as entry:
            head = HEAD.format(length=100).encode()
            address = entry.addresses["http"]
            answer = await raw_request(address, head, b'{"mo', half_close=True)
            again = await raw_request(address, b"GET /livez HTTP/1.0\r\n\r\n")
        assert answer == b"" and b"200 OK" in again
        assert fake.dispatched == []

    run(scenario())


def test_entry_without_configuration_refuses_with_the_reason() -> None:
    async def scenario() -> None:
        async with running(config=Config()) as entry:
            base = f"http://{entry.addresses['http']}"
            headers = {"Authorization": f"Bearer {KEY_A}"}
            async with httpx2.AsyncClient(base_url=base, headers=headers) as client:
                answer = await client.post(CHAT, json=VALID)
                ready = await client.get("/readyz")
        assert answer.json()["error"]["code"] == "not_ready"
        assert int(answer.headers["retry-after"]) >= 1
        assert ready.status_code == 503
        assert ready.json()["reason"] == "no configuration yet"

    run(scenario())


def test_unhandled_exception_is_answered_without_details(monkeypatch: Any) -> None:
    async def scenario() -> httpx2.Response:
        async with running() as entry:
            monkeypatch.setattr(entry, "_unready_reason", lambda: 1 / 0)
            async with httpx2.AsyncClient() as client:
                return await client.get(f"http://{entry.addresses['http']}/readyz")

    answer = run(scenario())
    assert (answer.status_code, answer.json()["error"]["code"]) == (500, "internal")
    assert "division" not in answer.text and "Traceback" not in answer.text


HEAD_CASES = [
    ("no HTTP", b"hello\r\n\r\n", b"400 ", b"invalid_http"),
    (
        "endless head",
        b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 40_000,
        b"431 ",
        b"head_too",
    ),
    ("slow head", b"GET / HTTP/1.1\r\nx: ", b"408 ", b"head_timeout"),
]


@pytest.mark.parametrize("case", HEAD_CASES, ids=lambda case: case[0])
def test_head_of_a_request_has_limits_on_size_and_time(
    case: Any, monkeypatch: Any
) -> None:
    async def scenario() -> None:
        protocol = http_protocol.BoundedHttpProtocol
        if case[2] == b"408 ":
            # The limits on size hold whatever the time.
            monkeypatch.setattr(protocol, "head_timeout_s", 0.3)
        monkeypatch.setattr(protocol, "first_byte_s", 0.3)
        async with running() as entry:
            assert await raw_request(entry.addresses["http"]) == b""
            answer = await raw_request(entry.addresses["http"], case[1])
        head, _, content = answer.partition(b"\r\n\r\n")
        assert case[2] in head and b"connection: close" in head
        assert case[3] in content and b'"request_id"' in content

    run(scenario())
