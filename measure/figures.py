"""Turns the outcomes of a run into figures.  Pure."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from gooseberrydale.example.answers import answer_text
from gooseberrydale.example.prefix_cache import KvPiece, PrefixCache
from gooseberrydale.example.prompts import parse_prompt
from gooseberrydale.request.prompt import CHAT_PATH, prompt_pieces
from measure.client import Answer, CallAnswer, Outcome
from measure.load import Result

HIGHEST_US = 120_000_000
DIGITS = 3


@dataclass(frozen=True, slots=True)
class Figures:
    """One run.  Times in seconds; times, tokens and rates leave the warm-up out,
    counts of outcomes do not.  ``wasted_tokens`` were computed although an ideal
    cache of the same total memory would have had them; ``wasted_share`` is their
    share of all prompt tokens.  ``wrong`` answers differ from the deterministic one.
    ``false_refusals`` were said not to have run but are in the service's record.
    """

    asked: int
    whole: int
    refused: int
    broken: int
    lost: int
    wrong: int
    doubled: int
    hit_rate: float
    first_p50: float
    first_p95: float
    first_p99: float
    wasted_tokens: int
    wasted_share: float
    calls: int
    calls_whole: int
    calls_refused: int
    calls_unknown: int
    calls_doubled: int
    calls_missing: int
    false_refusals: int
    client_late_p99: float


def figures(
    result: Result,
    cache_tokens: int,
    cache_ttl_s: float,
    engine_records: Sequence[Mapping[str, Any]],
    service_records: Sequence[Mapping[str, Any]],
) -> Figures:
    """Work out the figures; the records are those of the upstreams themselves."""
    answers = result.answers
    whole = [a for a in answers if a.outcome is Outcome.WHOLE]
    counts = Counter(a.outcome for a in answers)
    warm = [a for a in whole if is_warm(a)]
    first = percentiles([a.first_s for a in warm])
    prompt_tokens = sum(a.prompt_tokens for a in warm)
    cached = sum(a.cached_tokens for a in warm)
    ideal = ideal_cached_tokens(whole, cache_tokens, cache_ttl_s)
    wasted = max(0, ideal - cached)
    runs = Counter(
        run["body_digest"] for record in service_records for run in record["runs"]
    )
    return Figures(
        asked=len(answers),
        whole=len(whole),
        refused=counts[Outcome.REFUSED],
        broken=counts[Outcome.BROKEN],
        lost=counts[Outcome.LOST],
        wrong=sum(not is_right(a) for a in whole),
        doubled=doubled(engine_records),
        hit_rate=cached / max(1, prompt_tokens),
        first_p50=first[0],
        first_p95=first[1],
        first_p99=first[2],
        wasted_tokens=wasted,
        wasted_share=wasted / max(1, prompt_tokens),
        client_late_p99=percentiles([a.late_s for a in answers])[2],
        **_call_figures(result.calls, runs),
    )


def _call_figures(calls: Sequence[CallAnswer], runs: Counter[str]) -> dict[str, int]:
    ran = {a.call.name: runs[hashlib.sha256(a.body).hexdigest()] for a in calls}
    kinds = Counter(a.outcome for a in calls)
    whole = [a for a in calls if a.outcome is Outcome.WHOLE]
    denied = [a for a in calls if a.not_run is True and a.outcome is Outcome.REFUSED]
    return {
        "calls": len(calls),
        "calls_whole": len(whole),
        "calls_refused": kinds[Outcome.REFUSED],
        "calls_unknown": kinds[Outcome.BROKEN] + kinds[Outcome.LOST],
        "calls_doubled": sum(times > 1 for times in ran.values()),
        "calls_missing": sum(ran[a.call.name] == 0 for a in whole),
        "false_refusals": sum(ran[a.call.name] > 0 for a in denied),
    }


def is_right(answer: Answer) -> bool:
    """Say whether the text is the deterministic answer to the prompt, whole."""
    body = msgspec.json.encode(answer.ask.body("any"))
    prompt = parse_prompt(body, chat=True).unwrap()
    return answer.text == answer_text(prompt.digest, prompt.answer_tokens)


def doubled(engine_records: Sequence[Mapping[str, Any]]) -> int:
    """Count requests that engines answered whole more than once."""
    ended = Counter(
        run["request_id"]
        for record in engine_records
        for run in record["requests"]
        if run["state"] == "finished" and run["first_index"] == 0
    )
    return sum(times > 1 for times in ended.values())


def ideal_cached_tokens(
    answers: Sequence[Answer], cache_tokens: int, cache_ttl_s: float
) -> int:
    """Return the cached tokens of one cache with all engines' memory together.

    It is least recently used over the union, sees the requests in order of arrival
    and holds a prompt from its arrival on, so no placement can do better by much.
    Tokens of the warm-up are not counted.
    """
    cache = PrefixCache(cache_tokens, cache_ttl_s)
    total = 0
    for answer in sorted(answers, key=lambda a: a.ask.at):
        now = answer.ask.at
        cache.expire(now)
        pieces = ask_pieces(answer)
        cached = cache.match(pieces, now)
        total += cached if is_warm(answer) else 0
        cache.store(pieces, "", now)
    return total


def is_warm(answer: Answer) -> bool:
    """Say whether the prompt came after the warm-up."""
    return answer.ask.at >= answer.ask.shape.warm_up_s


def ask_pieces(answer: Answer) -> tuple[KvPiece, ...]:
    """Return the pieces of a prompt, keyed apart for each workspace."""
    ask = answer.ask
    pieces = prompt_pieces(CHAT_PATH, ask.body("any"))
    return tuple(KvPiece(f"{ask.workspace}/{p.chain.hex()}", p.tokens) for p in pieces)


def percentiles(seconds: Sequence[float]) -> tuple[float, float, float]:
    """Return the 50th, 95th and 99th percentile; zeros if there is nothing."""
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(HIGHEST_US, round(value * 1e6))))
    if not seconds:
        return 0.0, 0.0, 0.0
    p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99))
    return p50, p95, p99
