"""New weights are named, and configs are sent, while the engines are full of streams.

``TROUBLE=0`` sends the same configs and names no new weights.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
from dataclasses import dataclass
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

from case import BROKEN, HELD, TROUBLE, CannotRunError, Record, main  # noqa: E402
from fleet import BOUNDS, Fleet  # noqa: E402
from http_calls import Channel, put_until_acked  # noqa: E402
from stream_engine import StreamEngine  # noqa: E402

MODEL, SERVICE, HOST = "model-a", "llm", "llm.example"
ENGINES = 5
EVENTS = 120
"""At 50 ms each a stream takes 6 s; the site's longest has 192 tokens."""
SLOTS, QUEUE = 16, 2
CONSUMERS = ENGINES * SLOTS + 4
"""All slots are taken, and a few consumers are told to come back."""
DEADLINE_MS = 15000
CALM_S, ALL_S = 9.0, 26.0
"""Seconds of calm before the planned work, and from the first consumer to the last."""
CONFIGS, BETWEEN_S = 3, 2.5
WINDOW_S = BOUNDS["configApplyMs"] / 1000 + 1.0
"""A config is planned work from its sending until this long after its ack."""
USED_FRACTION = 0.7
"""A request that has used more of its time doesn't count."""
MIN_RATIO = 3.0
"""How much more often a machine must cut requests beside a config than else."""


def config(version: int) -> dict[str, Any]:
    """Return a config; successive ones differ in a route that nobody asks for."""
    return {
        "version": version,
        "routes": [
            {
                "name": "lot-question",
                "host": HOST,
                "pathPrefix": "/question/",
                "kind": "streaming",
                "timeoutMs": 15000,
                "sloMs": 300,
                "priority": 0,
                "service": SERVICE,
                "attempts": 2,
                "public": True,
                "sticky": True,
                "resumable": True,
                "gapSloMs": 250,
            },
            {
                "name": f"new-{version}",
                "host": HOST,
                "pathPrefix": f"/new-{version}/",
                "kind": "safe",
                "timeoutMs": 2500,
                "sloMs": 200,
                "priority": 2,
                "service": SERVICE,
                "attempts": 1,
                "public": True,
                "sticky": False,
                "resumable": False,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 320,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": SLOTS,
                    "kvCapacity": 122994,
                    "kvBytes": 192512,
                    "linkMbps": 740000.0,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


@dataclass
class Cut:
    """A request whose channel ended without a complete answer."""

    front: str
    request: str
    at: float
    used_fraction: float
    reused: bool


async def consume(
    front: str, name: str, number: int, until: float, cuts: list[Cut], record: Record
) -> int:
    """Ask one question after the other on a kept channel; return how many were whole.

    After a refusal the consumer waits as it is told; it leaves after a long pause.
    """
    loop = asyncio.get_running_loop()
    channel = Channel(front)
    turn = whole = 0
    while loop.time() < until:
        request = f"{name}-{turn}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Model": MODEL,
            "X-Token-Usage": f"826,{EVENTS}",
            "X-Prefix-Hash": f"{number % 5:08x}:119,{number * 1000 + turn:08x}:707",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        reused = channel.is_open
        began = loop.time()
        answer = await channel.stream("POST", "/question/1", headers, b"{}")
        events = answer.body.count(b"data: ")
        record(f"{front} answers {request}: {answer.status}, {events}, {answer.end}")
        turn += 1
        if answer.end == "whole":
            whole += answer.status == 200
        elif answer.end == "cut":
            used = (loop.time() - began) * 1000 / DEADLINE_MS
            cuts.append(Cut(front, request, loop.time(), used, reused))
        if answer.status != 200:
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")))
    channel.close()
    return whole


async def do_planned_work(
    fleet: Fleet, windows: list[tuple[float, float]], record: Record
) -> None:
    """Name new weights, and send some configs; note the time that counts beside each."""
    loop = asyncio.get_running_loop()
    for number in range(CONFIGS):
        began = loop.time()
        at = await put_until_acked(fleet.controls, "/v1/Config.Put", config(2 + number))
        record(f"{at} acknowledged config {2 + number}")
        windows.append((began, loop.time() + WINDOW_S))
        if TROUBLE and not number:
            named = {"model": MODEL, "version": 2}
            at = await put_until_acked(fleet.controls, "/v1/version-put", named)
            record(f"{at} acknowledged version 2 of {MODEL}")
        await asyncio.sleep(BETWEEN_S)


async def run(fleet: Fleet, record: Record) -> int:
    engines = [
        StreamEngine(
            f"i-{n:08x}",
            SERVICE,
            f"zone-{n % 4 + 1}",
            fleet.controls,
            record,
            MODEL,
            EVENTS,
            slots=SLOTS,
            queue=QUEUE,
        )
        for n in range(1, ENGINES + 1)
    ]
    for number, engine in enumerate(engines):
        await engine.start(f"{fleet.net}.{101 + number}")
    await put_until_acked(fleet.controls, "/v1/Config.Put", config(1))
    named = {"model": MODEL, "version": 1}
    await put_until_acked(fleet.controls, "/v1/version-put", named)
    # The machines have been in touch for `contactMs`, and the leader may send orders.
    await asyncio.sleep(5.0)
    loop = asyncio.get_running_loop()
    began, cuts, windows = loop.time(), [], []
    consumers = []
    for number in range(CONSUMERS):
        front = fleet.fronts[number % len(fleet.fronts)]
        consumers.append(
            asyncio.create_task(
                consume(front, f"c-{number}", number, began + ALL_S, cuts, record)
            )
        )
        await asyncio.sleep(0.04)
    await asyncio.sleep(CALM_S)
    held = [(engine.active, engine.waiting) for engine in engines]
    record(f"running and waiting at the engines before the planned work: {held}")
    await do_planned_work(fleet, windows, record)
    whole = sum(await asyncio.gather(*consumers))
    ended = loop.time()
    for engine in engines:
        await engine.close()
    record(f"{whole} streams were complete, {len(cuts)} were cut")
    if whole < CONSUMERS:
        raise CannotRunError("too few streams were complete")
    return judge(fleet, cuts, windows, ended - began, record)


def judge(
    fleet: Fleet,
    cuts: list[Cut],
    windows: list[tuple[float, float]],
    seconds: float,
    record: Record,
) -> int:
    """Apply the rule to each machine that took requests from consumers."""
    beside_s = max(end for _, end in windows) - min(begin for begin, _ in windows)
    broken = 0
    for front in fleet.fronts:
        own = [cut for cut in cuts if cut.front == front]
        beside = [c for c in own if any(b <= c.at <= e for b, e in windows)]
        else_per_s = (len(own) - len(beside)) / max(1.0, seconds - beside_s)
        counted = [c for c in beside if c.used_fraction < USED_FRACTION]
        record(
            f"{front}: {len(beside)} cut in {beside_s:.1f} s beside configs,"
            f" {else_per_s:.2f} a second else"
        )
        if counted and len(beside) / beside_s > MIN_RATIO * else_per_s:
            broken += len(counted)
            for cut in counted:
                record(
                    f"LOST: {cut.request} was cut after {cut.used_fraction:.0%} of its"
                    f" time, on a {'kept' if cut.reused else 'new'} channel"
                )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(HERE, run)
