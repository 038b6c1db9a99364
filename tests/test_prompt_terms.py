"""Prompts are sent with a cache salt and a weights version, or not at all."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

import pytest

from gooseberrydale.process.gateway import upstreams
from gooseberrydale.process.gateway.upstream_query import lacks_cache_terms, serves
from gooseberrydale.request.gateway_call import Terms
from gooseberrydale.version.declared import EngineSize, Pool
from tests.builders_gateway import (
    MODEL,
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    prompt,
    record,
    running_gateway,
)
from tests.builders_logs import logged
from tests.sidecar_harness import run

ENGINES = Pool("desk", 4, EngineSize(slots=8, kv_tokens=1000))
PLAIN = Pool("desk", 4)
TERMS = Terms("u1", 1.0, weights_version=0, cache_salt="m.0")
PARTS = "Parts: a,b"


@pytest.mark.parametrize(
    "pool, model, has_prompt, expected",
    [
        (ENGINES, "m", True, True),
        (ENGINES, "other", True, False),
        (ENGINES, "", True, False),
        (ENGINES, "", False, True),
        (PLAIN, "", True, True),
        (PLAIN, "other", True, False),
    ],
)
def test_prompts_are_for_upstreams_that_hold_their_model(
    pool: Pool, model: str, has_prompt: bool, expected: bool
) -> None:
    wanted = prompt(("guide", 9)) if has_prompt else None
    assert serves(record(model=model), pool, wanted) is expected


def test_a_salt_and_a_version_are_needed_where_models_are_declared() -> None:
    wanted = prompt(("guide", 9))
    for lacking in (
        {"cache_salt": None},
        {"cache_salt": ""},
        {"weights_version": None},
    ):
        terms = dataclasses.replace(TERMS, **lacking)
        assert lacks_cache_terms(ENGINES, wanted, terms)
        assert not lacks_cache_terms(PLAIN, wanted, terms)
        assert not lacks_cache_terms(ENGINES, None, terms)
    assert not lacks_cache_terms(ENGINES, wanted, TERMS)


async def answer(req: dict[str, str], _body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


@pytest.mark.parametrize("is_chosen", [False, True])
def test_a_prompt_reaches_no_upstream_whose_record_has_no_model(
    is_chosen: bool, monkeypatch: Any
) -> None:
    """Guards against cache that isolated workspaces share with others.

    The send itself checks it too, for the case that the choice does not.
    """
    if is_chosen:
        monkeypatch.setattr(upstreams, "serves", lambda *_: True)

    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        with logged("prompt_terms_missing") as lines:
            async with running_gateway(declared(), upstream) as gateway:
                plain = record("u1", address=upstream.address, seq=2)
                gateway.directory.offer(plain, asyncio.get_running_loop().time())
                got = await call(gateway, extra=PARTS)
                assert got.status == 503
                assert upstream.requests == []
                assert (await call(gateway, request_id="r2")).status == 200
                again = dataclasses.replace(plain, seq=3, **MODEL)
                gateway.directory.offer(again, asyncio.get_running_loop().time())
                got = await call(gateway, request_id="r3", extra=PARTS)
                assert got.status == 200
        assert len(lines) == is_chosen

    run(main())
