"""Builders of test data for the example engine."""

from __future__ import annotations

from gooseberrydale.example.engine import Engine, EngineCfg, Job, Output
from gooseberrydale.example.prefix_cache import KvPiece

PIECE_TOKENS = 100


def pieces(keys: str) -> tuple[KvPiece, ...]:
    """Return one piece of 100 tokens for each letter."""
    return tuple(KvPiece(key, PIECE_TOKENS) for key in keys)


def job(
    job_id: int, keys: str = "", *, priority: int = 0, answer_tokens: int = 2
) -> Job:
    """Return a job whose prompt has one piece per letter and ten more tokens."""
    return Job(
        job_id=job_id,
        prompt_tokens=len(keys) * PIECE_TOKENS + 10,
        answer_tokens=answer_tokens,
        pieces=pieces(keys),
        root="root",
        priority=priority,
    )


def engine(
    max_batch: int = 2, cache_tokens: int = 1_000, ttl_s: float = 60.0
) -> Engine:
    """Return an engine that prefills 100 tokens and emits 10 tokens per second."""
    return Engine(EngineCfg(max_batch, 100.0, 0.1, cache_tokens, ttl_s))


def of_type(outputs: list[Output], kind: type) -> list[Output]:
    """Return the outputs that are of the type ``kind``."""
    return [output for output in outputs if isinstance(output, kind)]
