"""Computes the figures of a run from the outcomes of its requests; does no I/O."""

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
from measure.load import LoadResult

MAX_RECORDED_US = 120_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run, written out under these names.

    Times are in seconds.  Times, tokens and rates exclude the warm-up; counts of
    outcomes include it.  ``first_*`` are percentiles of the time to the first token
    (TTFT).  ``client_late_p99`` is how late the client itself sent its requests.
    ``wasted_tokens`` were computed although an ideal cache of the same total memory
    would have held them; ``wasted_share`` is their share of all prompt tokens.
    ``whole``, ``refused``, ``broken`` and ``lost`` are the outcomes of ``Outcome``.
    ``wrong`` answers differ from the deterministic one.  ``doubled`` requests ran to
    the end more than once.  ``calls_missing`` were answered but are not in the record
    of a service.  ``false_refusals`` were reported as not run but are in that record.
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


def compute_figures(
    result: LoadResult,
    cache_tokens: int,
    cache_ttl_s: float,
    engine_records: Sequence[Mapping[str, Any]],
    service_records: Sequence[Mapping[str, Any]],
) -> Figures:
    """Return the figures of a run; the records were read from the upstreams."""
    answers = result.answers
    whole = [a for a in answers if a.outcome is Outcome.WHOLE]
    counts = Counter(a.outcome for a in answers)
    warm = [a for a in whole if is_warm(a)]
    ttft = percentiles([a.ttft_s for a in warm])
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
        wrong=sum(not is_correct(a) for a in whole),
        doubled=count_doubled(engine_records),
        hit_rate=cached / max(1, prompt_tokens),
        first_p50=ttft[0],
        first_p95=ttft[1],
        first_p99=ttft[2],
        wasted_tokens=wasted,
        wasted_share=wasted / max(1, prompt_tokens),
        client_late_p99=percentiles([a.send_delay_s for a in answers])[2],
        **_call_figures(result.calls, runs),
    )


def _call_figures(calls: Sequence[CallAnswer], runs: Counter[str]) -> dict[str, int]:
    ran = {a.call.name: runs[hashlib.sha256(a.body).hexdigest()] for a in calls}
    kinds = Counter(a.outcome for a in calls)
    whole = [a for a in calls if a.outcome is Outcome.WHOLE]
    refused = [a for a in calls if a.not_run is True and a.outcome is Outcome.REFUSED]
    return {
        "calls": len(calls),
        "calls_whole": len(whole),
        "calls_refused": kinds[Outcome.REFUSED],
        "calls_unknown": kinds[Outcome.BROKEN] + kinds[Outcome.LOST],
        "calls_doubled": sum(times > 1 for times in ran.values()),
        "calls_missing": sum(ran[a.call.name] == 0 for a in whole),
        "false_refusals": sum(ran[a.call.name] > 0 for a in refused),
    }


def is_correct(answer: Answer) -> bool:
    """Return whether the text is the complete deterministic answer to the prompt."""
    body = msgspec.json.encode(answer.request.body("any"))
    prompt = parse_prompt(body, chat=True).unwrap()
    return answer.text == answer_text(prompt.digest, prompt.answer_tokens)


def count_doubled(engine_records: Sequence[Mapping[str, Any]]) -> int:
    """Return the number of requests that engines answered completely more than once."""
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
    """Return the tokens that one cache with the memory of all engines would have held.

    This LRU cache gets the requests in order of arrival and holds each prompt from its
    arrival on, so no placement of requests can be much better.  Tokens of requests in
    the warm-up are not counted.
    """
    cache = PrefixCache(cache_tokens, cache_ttl_s)
    total = 0
    for answer in sorted(answers, key=lambda a: a.request.due_s):
        now = answer.request.due_s
        cache.expire(now)
        pieces = request_pieces(answer)
        cached = cache.match(pieces, now)
        total += cached if is_warm(answer) else 0
        cache.store(pieces, "", now)
    return total


def is_warm(answer: Answer) -> bool:
    """Return whether the prompt was due after the warm-up."""
    return answer.request.due_s >= answer.request.shape.warm_up_s


def request_pieces(answer: Answer) -> tuple[KvPiece, ...]:
    """Return the pieces of a prompt, with keys that differ between workspaces."""
    request = answer.request
    pieces = prompt_pieces(CHAT_PATH, request.body("any"))
    return tuple(
        KvPiece(f"{request.workspace}/{p.chain.hex()}", p.tokens) for p in pieces
    )


def percentiles(seconds: Sequence[float]) -> tuple[float, float, float]:
    """Return the 50th, 95th and 99th percentile; zeros if there are no values."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(MAX_RECORDED_US, round(value * 1e6))))
    if not seconds:
        return 0.0, 0.0, 0.0
    p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99))
    return p50, p95, p99
