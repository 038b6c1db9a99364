"""Sends a seeded load at its own times, whether or not answers come (open loop)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from measure.client import Answer, CallAnswer, Caller, Target
from measure.workload import Ask, Call, Shape, calls, prompts

BodyMaker = Callable[[Ask], bytes]
FIRST_SEND_S = 0.2


@dataclass(frozen=True, slots=True)
class Result:
    """All outcomes of one run, in order of their times."""

    answers: list[Answer]
    calls: list[CallAnswer]


def router_body(profile: str) -> BodyMaker:
    """Return what makes the bodies that go to the router."""
    return lambda ask: msgspec.json.encode(ask.body(profile))


async def run_load(
    shape: Shape, seed: str, salt: str, target: Target, make_body: BodyMaker
) -> Result:
    """Send the load of ``seed`` with texts of ``salt``; return all outcomes."""
    caller = Caller(target)
    loop = asyncio.get_running_loop()
    start = loop.time() + FIRST_SEND_S

    async def send_prompt(number: int, ask: Ask) -> Answer:
        await asyncio.sleep(start + ask.at - loop.time())
        body = make_body(ask)
        late_s = loop.time() - start - ask.at
        answer = await caller.ask(ask, number, body)
        answer.late_s = late_s
        return answer

    async def send_call(number: int, call: Call) -> CallAnswer:
        await asyncio.sleep(start + call.at - loop.time())
        return await caller.call(call, number)

    try:
        asks = [send_prompt(i, a) for i, a in enumerate(prompts(shape, seed, salt))]
        sent = [send_call(i, c) for i, c in enumerate(calls(shape, seed, salt))]
        answers, call_answers = await asyncio.gather(
            asyncio.gather(*asks), asyncio.gather(*sent)
        )
    finally:
        await caller.close()
    return Result(list(answers), list(call_answers))
