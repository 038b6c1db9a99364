"""A tenant becomes isolated by a change of the config; what it cached before is shared.

``TROUBLE=0`` runs the same with the tenant isolated from the first config on.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

from case import BROKEN, HELD, TROUBLE, CannotRunError, Record, main  # noqa: E402
from engine import Engine  # noqa: E402
from fleet import BOUNDS, Fleet  # noqa: E402
from http_calls import call, put_until_acked  # noqa: E402

MODEL, SERVICE, HOST = "model-a", "llm", "llm.example"
KEYS = {"tenant-a": "key-of-a", "tenant-b": "key-of-b"}
REQUESTS = 6
"""Requests of each tenant before the change, and of the other one after it."""


def config(version: int, isolated: bool) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": "summary",
                "host": HOST,
                "pathPrefix": "/summary/",
                "kind": "streaming",
                "timeoutMs": 6000,
                "sloMs": 400,
                "priority": 1,
                "service": SERVICE,
                "attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gapSloMs": 250,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 320,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 48,
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
        "tenants": [
            {
                "name": "tenant-a",
                "apiKeys": [KEYS["tenant-a"]],
                "priority": 1,
                "isolated": isolated,
            },
            {
                "name": "tenant-b",
                "apiKeys": [KEYS["tenant-b"]],
                "priority": 1,
                "isolated": False,
            },
        ],
    }


async def ask(front: str, tenant: str, name: str, record: Record) -> int:
    """Send one request; its last part is its own, the others are shared by all."""
    own = f"{abs(hash(name)) % 2**32:08x}"
    headers = {
        "Host": HOST,
        "X-Request-Id": name,
        "X-Model": MODEL,
        "X-Token-Usage": "1460,20",
        "X-Prefix-Hash": f"5c1e07a2:800,91bd3f06:410,{own}:250",
        "X-Deadline-Ms": "6000",
        "X-Api-Key": KEYS[tenant],
        "Content-Type": "application/json",
    }
    answer = await call(front, "POST", "/summary/1", headers, b'{"prompt": "..."}')
    record(f"{front} answers {name} of {tenant}: {answer.status}")
    return answer.status


async def run(fleet: Fleet, record: Record) -> int:
    engines = [
        Engine(f"i-{n:08x}", SERVICE, f"zone-{n}", fleet.controls, record, MODEL)
        for n in (1, 2)
    ]
    try:
        for number, engine in enumerate(engines):
            await engine.start(f"{fleet.net}.{101 + number}")
        first = config(1, isolated=not TROUBLE)
        at = await put_until_acked(fleet.controls, "/v1/Config.Put", first)
        record(f"{at} acknowledged config 1: tenant-a isolated is {not TROUBLE}")
        for front in fleet.fronts:
            async with asyncio.timeout(15.0):
                while await ask(front, "tenant-b", f"warm-{front}", record) != 200:
                    await asyncio.sleep(0.2)
        # What the requests above cached is not looked at.
        for engine in engines:
            engine.parts.clear()
            engine.runs.clear()
        for number in range(REQUESTS):
            front = fleet.fronts[number % len(fleet.fronts)]
            if await ask(front, "tenant-a", f"a-{number}", record) != 200:
                raise CannotRunError("a request was not served")
        at = await put_until_acked(
            fleet.controls, "/v1/Config.Put", config(2, isolated=True)
        )
        record(f"{at} acknowledged config 2: tenant-a isolated is True")
        await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + BOUNDS["contactMs"] / 1000)
        for number in range(REQUESTS):
            front = fleet.fronts[number % len(fleet.fronts)]
            for tenant, name in (("tenant-b", f"b-{number}"), ("tenant-a", f"c-{number}")):
                if await ask(front, tenant, name, record) != 200:
                    raise CannotRunError("a request was not served")
        broken = [
            f"{run.request} of {run.tenant} used a part that {made.request} of"
            f" {made.tenant} made"
            for engine in engines
            for run in engine.runs
            for made in run.reused
            if made.tenant != run.tenant
        ]
        for line in broken:
            record(f"WALL: {line}")
        record(f"{len(broken)} parts were used across the wall")
        return BROKEN if broken else HELD
    finally:
        for engine in engines:
            await engine.close()


if __name__ == "__main__":
    main(HERE, run)
