"""Fields of a completion request that the router does not use are passed on as sent."""

from __future__ import annotations

import json
import random
import tracemalloc
from typing import Any

import pytest
from result import Result

from gooseberrydale.errors import Problem
from gooseberrydale.request.body import CHAT_PATH, CompletionBody, parse_completion
from gooseberrydale.request.json_values import has_more_values

VALUES = 90_000
"""Fewer than the limit."""

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


def parse_and_trace(body: bytes) -> tuple[Result[CompletionBody, Problem], int]:
    """Parse a body; return the result and the most memory that it took, in bytes."""
    tracemalloc.start()
    try:
        parsed = parse_completion(CHAT_PATH, body)
        return parsed, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def test_fields_that_are_passed_on_take_no_more_than_their_text() -> None:
    """Guards against small bodies that take many times their size in memory."""
    values = b"[" + b",".join([b"[]"] * VALUES) + b"]"
    body = json.dumps(BODY).encode()[:-1] + b', "other": ' + values + b"}"
    parsed, peak = parse_and_trace(body)
    assert peak < 2 * len(body)
    completion = parsed.unwrap()
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


@pytest.mark.parametrize(
    "value",
    [
        "[" + ", ".join(["{}"] * 2 * VALUES) + "]",
        '["a"' + ', ""' * 2 * VALUES + "]",
        "7}], " + "".join(f'"{n}": 7, ' for n in range(2 * VALUES)) + '"z": [{',
    ],
)
def test_prompts_of_many_small_values_are_refused_before_they_are_decoded(
    value: str,
) -> None:
    """Guards against bodies of legal size that take many times their size."""
    body = b'{"model": "m", "messages": [{"role": "user", "content": %s}]}'
    body %= value.encode()
    parsed, peak = parse_and_trace(body)
    assert parsed.unwrap_err().code == "too_many_values"
    assert peak < 4 * len(body)


def count(value: Any) -> int:
    """Return how many strings, objects and arrays a value has."""
    if isinstance(value, dict):
        return 1 + sum(1 + count(item) for item in value.values())
    if isinstance(value, list):
        return 1 + sum(map(count, value))
    return int(isinstance(value, str))


def draw(rng: random.Random, depth: int = 0) -> Any:
    """Draw a value, with characters in its strings that JSON escapes or uses."""
    kind = rng.randrange(5 if depth < 5 else 3)
    if kind == 3:
        return [draw(rng, depth + 1) for _ in range(rng.randrange(5))]
    if kind == 4:
        items = range(rng.randrange(5))
        return {text(rng): draw(rng, depth + 1) for _ in items}
    return text(rng) if kind else rng.choice([None, True, 7, -1.5e3])


def text(rng: random.Random) -> str:
    return "".join(rng.choices('a"\\[{]},:\n\té', k=rng.randrange(8)))


@pytest.mark.parametrize("seed", range(50))
def test_values_are_counted_as_they_are_decoded(seed: int) -> None:
    rng = random.Random(seed)
    value = [draw(rng) for _ in range(20)]
    for data in (json.dumps(value), json.dumps(value, ensure_ascii=False)):
        assert not has_more_values(data.encode(), count(value))
        assert has_more_values(data.encode(), count(value) - 1)
