"""Send two questions about one long text and show the saving by the prefix cache.

Usage: ``python scripts/first_requests.py --url http://127.0.0.1:8080``.  The client is
the published ``openai`` library, unmodified; its ``model`` names a profile.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass

import openai

GUIDE_LINES = 800
ANSWER_TOKENS = 24
QUESTIONS = ("Which rows are due this week?", "Which rows may wait?")


@dataclass(frozen=True, slots=True)
class Answer:
    """The text of an answer, the time to its first token, and the token counts."""

    text: str
    first_token_s: float
    prompt_tokens: int
    cached_tokens: int


def long_guide() -> str:
    """Return a text of about 12,000 tokens."""
    line = "Row {0}: sown in week {1}, watered each {2} days, due in week {3}.\n"
    rows = range(GUIDE_LINES)
    return "".join(line.format(i, i % 9, 1 + i % 4, 10 + i % 7) for i in rows)


def ask(client: openai.OpenAI, profile: str, question: str) -> Answer:
    """Send one streamed request; raises openai.OpenAIError if it is refused."""
    started = time.monotonic()
    first_token_s = 0.0
    parts: list[str] = []
    usage = None
    stream = client.chat.completions.create(
        model=profile,
        messages=[
            {"role": "system", "content": long_guide()},
            {"role": "user", "content": question},
        ],
        max_tokens=ANSWER_TOKENS,
        stream=True,
        stream_options={"include_usage": True},
    )
    for chunk in stream:
        usage = chunk.usage or usage
        text = chunk.choices[0].delta.content if chunk.choices else None
        if text:
            first_token_s = first_token_s or time.monotonic() - started
            parts.append(text)
    details = usage.prompt_tokens_details if usage else None
    cached = details.cached_tokens if details else None
    prompt_tokens = usage.prompt_tokens if usage else 0
    return Answer("".join(parts), first_token_s, prompt_tokens, cached or 0)


def show(question: str, answer: Answer) -> None:
    """Print an answer, the time to its first token and its cached tokens."""
    print(f"\n> {question}\n{answer.text}")
    print(
        f"  first token after {answer.first_token_s:.3f} s;"
        f" {answer.cached_tokens} of {answer.prompt_tokens} prompt tokens were cached"
    )


def main() -> int:
    """Return 0 if both questions were answered, 1 if one was refused."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", default="http://127.0.0.1:8080")
    parser.add_argument("--profile", default="example")
    parser.add_argument("--key", default="local")
    args = parser.parse_args()
    # The router retries by itself; retries of the client would hide refusals.
    client = openai.OpenAI(base_url=f"{args.url}/v1", api_key=args.key, max_retries=0)
    print(f"profile {args.profile!r} at {args.url}, two questions on one long text")
    try:
        for question in QUESTIONS:
            show(question, ask(client, args.profile, question))
    except openai.OpenAIError as exc:
        print(f"request to {args.url} failed: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
