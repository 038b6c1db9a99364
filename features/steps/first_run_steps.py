"""Steps that start all roles with one command and call them with openai's client."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from typing import Any

import openai
from behave import given, then, when

from tests.callers import Messages, expected_text, nested_prompt
from tests.fleet import Process, wait_until

PROFILE = "example"
KEY = "local"
MIN_CACHED_FRACTION = 0.9
GUIDE_PIECES = 4


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer, the expected text, and the token counts of the prompt."""

    text: str
    expected: str
    prompt_tokens: int
    cached_tokens: int


@given("the product serves on this machine with one command")
def step_serve(context: Any) -> None:
    """Start all roles in one process on free ports."""
    ready = context.folder / "ready.json"
    # The product creates its temporary folder here, so that the scenario can check
    # that it was removed.
    context.scratch = context.folder / "scratch"
    context.scratch.mkdir()
    argv = ["env", f"TMPDIR={context.scratch}", sys.executable, "-m", "gooseberrydale"]
    flags = ["--port=0", "--operator-port=0", f"--ready-file={ready}"]
    log = context.folder / "local.log"
    context.product = Process("local", [*argv, "local", *flags], log)
    context.add_cleanup(context.product.kill)
    context.product.start()
    wait_until(ready.exists, "the product does not serve")
    address = json.loads(ready.read_text())["http"]
    context.url = f"http://{address}/v1"


@when("the openai client asks {count:d} questions about one long text, streamed")
def step_ask_streamed(context: Any, count: int) -> None:
    """Send requests one after the other that differ only in the question."""
    context.answers = [_ask_streamed(context, i) for i in range(count)]


@when("the openai client asks 1 question about one long text, at once")
def step_ask(context: Any) -> None:
    """Send one request that is not streamed."""
    messages = nested_prompt(1, 1, 1, GUIDE_PIECES)
    answer = _client(context).chat.completions.create(
        model=PROFILE, messages=messages  # type: ignore[arg-type]
    )
    text = answer.choices[0].message.content or ""
    context.answers = [_answer(messages, text, answer.usage)]


@when('the openai client asks with the key "{key}"')
def step_ask_with_key(context: Any, key: str) -> None:
    """Send one request and store the error of its refusal."""
    messages = nested_prompt(1, 1, 1, GUIDE_PIECES)
    context.refusal = None
    try:
        _client(context, key).chat.completions.create(
            model=PROFILE, messages=messages  # type: ignore[arg-type]
        )
    except openai.APIStatusError as exc:
        context.refusal = exc


@when("the product is asked to stop while a stream runs")
def step_stop_midway(context: Any) -> None:
    """Send SIGTERM after the first event of an answer and read the rest."""
    context.answers = [_ask_streamed(context, 1, stop_midway=True)]


@then("each answer is complete")
def step_whole(context: Any) -> None:
    """Compare each answer with the example engine's answer to the same prompt."""
    assert context.answers
    for answer in context.answers:
        assert answer.text == answer.expected, answer


@then("the last answer found nearly the whole prompt cached")
def step_cached(context: Any) -> None:
    """Check that nothing was cached at first, and nearly all of the last prompt."""
    first, last = context.answers[0], context.answers[-1]
    assert first.cached_tokens == 0, first
    assert last.cached_tokens > MIN_CACHED_FRACTION * last.prompt_tokens, last


@then("the client sees the profile in the list of models")
def step_models(context: Any) -> None:
    """Check that the list of models holds the profile, which callers name as model."""
    assert [m.id for m in _client(context).models.list()] == [PROFILE]


@then('it is refused with status {status:d}, code "{code}" and not run')
def step_refused(context: Any, status: int, code: str) -> None:
    """Check the status and the fields of the error body."""
    assert context.refusal is not None
    assert context.refusal.status_code == status
    body = context.refusal.body
    assert body["code"] == code and body["not_run"] is True, body
    assert body["message"], body


@then("the product ended with code 0 and left nothing behind")
def step_ended(context: Any) -> None:
    """Check that the process exited by itself and removed its temporary folder."""
    assert context.product.wait() == 0, context.product.output()[-2000:]
    assert list(context.scratch.iterdir()) == []


def _client(context: Any, key: str = KEY) -> openai.OpenAI:
    # The client must not retry: retries would hide failures of the product.
    return openai.OpenAI(base_url=context.url, api_key=key, max_retries=0)


def _ask_streamed(context: Any, question: int, stop_midway: bool = False) -> Answer:
    messages = nested_prompt(1, 1, question, GUIDE_PIECES)
    parts: list[str] = []
    usage: Any = None
    stream = _client(context).chat.completions.create(
        model=PROFILE,
        messages=messages,  # type: ignore[arg-type]
        stream=True,
        stream_options={"include_usage": True},
    )
    for chunk in stream:
        usage = chunk.usage or usage
        if chunk.choices:
            parts.append(chunk.choices[0].delta.content or "")
        if stop_midway and len(parts) == 1:
            context.product.terminate()
    return _answer(messages, "".join(parts), usage)


def _answer(messages: Messages, text: str, usage: Any) -> Answer:
    cached = usage.prompt_tokens_details.cached_tokens
    return Answer(text, expected_text(messages), usage.prompt_tokens, cached)
