"""Fields of a completion request that the router does not use are passed on as sent."""

from __future__ import annotations

import json
import tracemalloc

import pytest

from gooseberrydale.request.body import CHAT_PATH, parse_completion

VALUES = 200_000
BODY = {
    "model": "chat",
    "messages": [{"role": "user", "content": "Hello", "name": "x"}],
    "max_tokens": 5,
    "metadata": {"a": [1, 2.50, None, {"b": "é"}]},
    "seed": 7,
}


@pytest.mark.parametrize("model", ["", "other"])
def test_a_body_is_passed_on_with_all_its_fields(model: str) -> None:
    completion = parse_completion(CHAT_PATH, json.dumps(BODY).encode()).unwrap()
    passed_on = json.loads(completion.for_model(model))
    assert passed_on == {**BODY, "model": model or "chat"}
    assert (completion.max_new_tokens, completion.single_text) == (5, True)


def test_fields_that_are_passed_on_take_no_more_than_their_text() -> None:
    """Guards against small bodies that take many times their size in memory."""
    values = b"[" + b",".join([b"[]"] * VALUES) + b"]"
    body = json.dumps(BODY).encode()[:-1] + b', "other": ' + values + b"}"
    tracemalloc.start()
    try:
        completion = parse_completion(CHAT_PATH, body).unwrap()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 2 * len(body)
    assert values in completion.for_model("")


@pytest.mark.parametrize(
    "body, code",
    [
        (b"[]", "invalid_field"),
        (b"7", "invalid_field"),
        (b'{"model": "chat"', "invalid_json"),
        (b'{"model": "chat", "messages": 7}', "invalid_field"),
        (b'{"other": ' + b"[" * 100_000, "invalid_json"),
    ],
)
def test_bodies_that_are_no_request_are_refused(body: bytes, code: str) -> None:
    assert parse_completion(CHAT_PATH, body).unwrap_err().code == code
