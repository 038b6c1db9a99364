"""Sends a seeded open-loop load: send times do not depend on earlier answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from measure.client import Answer, CallAnswer, Caller, Target
from measure.workload import PromptRequest, ServiceCall, Shape, calls, prompts

BodyMaker = Callable[[PromptRequest], bytes]
START_DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The outcomes of one run, in order of the due times of their requests."""

    answers: list[Answer]
    calls: list[CallAnswer]


def router_body_maker(profile: str) -> BodyMaker:
    """Return a function that builds the bodies of requests to the router."""
    return lambda request: msgspec.json.encode(request.body(profile))


async def run_load(
    shape: Shape, seed: str, salt: str, target: Target, make_body: BodyMaker
) -> LoadResult:
    """Send the load of ``seed`` with the texts of ``salt``; return all outcomes."""
    caller = Caller(target)
    loop = asyncio.get_running_loop()
    start = loop.time() + START_DELAY_S

    async def send_prompt(number: int, request: PromptRequest) -> Answer:
        await asyncio.sleep(start + request.due_s - loop.time())
        body = make_body(request)
        send_delay_s = loop.time() - start - request.due_s
        answer = await caller.send_prompt(request, number, body)
        answer.send_delay_s = send_delay_s
        return answer

    async def send_call(number: int, call: ServiceCall) -> CallAnswer:
        await asyncio.sleep(start + call.due_s - loop.time())
        return await caller.send_call(call, number)

    try:
        prompt_tasks = [
            send_prompt(i, r) for i, r in enumerate(prompts(shape, seed, salt))
        ]
        call_tasks = [send_call(i, c) for i, c in enumerate(calls(shape, seed, salt))]
        answers, call_answers = await asyncio.gather(
            asyncio.gather(*prompt_tasks), asyncio.gather(*call_tasks)
        )
    finally:
        await caller.close()
    return LoadResult(list(answers), list(call_answers))
