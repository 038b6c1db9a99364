"""A machine loses its processes right after it has acknowledged that an engine is gone.

``TROUBLE=0`` runs the same without the kill.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

from case import BROKEN, HELD, TROUBLE, CannotRunError, Record, main  # noqa: E402
from fleet import BOUNDS, Fleet  # noqa: E402
from http_calls import Channel, call, call_json, put_until_acked  # noqa: E402
from service import Service  # noqa: E402

SERVICE, HOST = "desk", "desk.example"
ENGINES = 4
KILLED = 1
"""Number of the machine that acknowledges and is killed; it is back after ``DOWN_S``."""
DOWN_S = 0.5
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
SERVES_ON_S = 10.0
"""How long the engine serves on after the ack: "at times many seconds"."""
TIGHT_S = 0.004
"""Within this time of its ack the machine is killed, as `after_ack_kill` does."""


def config() -> dict[str, Any]:
    return {
        "version": 1,
        "routes": [
            {
                "name": "bid-post",
                "host": HOST,
                "pathPrefix": "/bid/",
                "kind": "safe",
                "timeoutMs": 2500,
                "sloMs": 200,
                "priority": 2,
                "service": SERVICE,
                "attempts": 2,
                "public": True,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 130,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def fields(request: str) -> dict[str, str]:
    return {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "2500"}


async def consume(front: str, name: str, stop: asyncio.Event, record: Record) -> None:
    """Send requests one after the other; the consumers of a killed machine wait."""
    channel = Channel(front)
    number = 0
    while not stop.is_set():
        request = f"{name}-{number}"
        number += 1
        try:
            answer = await channel.call("POST", "/bid/1", fields(request), b"{}")
        except OSError:
            channel.close()
            await asyncio.sleep(0.2)
            continue
        if answer.status != 200:
            record(f"{front} answers {request}: {answer.status}")
        await asyncio.sleep(0.03)
    channel.close()


async def run(fleet: Fleet, record: Record) -> int:
    engines = [
        Service(f"i-{n:08x}", SERVICE, f"zone-{n}", fleet.controls, record)
        for n in range(1, ENGINES + 1)
    ]
    for number, engine in enumerate(engines):
        await engine.start(f"{fleet.net}.{101 + number}")
    await put_until_acked(fleet.controls, "/v1/Config.Put", config())
    for front in fleet.fronts:
        for attempt in range(100):
            warm = fields(f"warm-{front}-{attempt}")
            if (await call(front, "POST", "/bid/1", warm)).status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRunError(f"{front} serves nothing")
    await asyncio.sleep(2 * CONTACT_S)
    stop = asyncio.Event()
    consumers = [
        asyncio.create_task(consume(front, f"r-{node}-{n}", stop, record))
        for node, front in enumerate(fleet.fronts)
        for n in range(2)
    ]
    await asyncio.sleep(1.0)
    leaving = engines[0]
    leaving.stop_announcing()
    loop = asyncio.get_running_loop()
    control = fleet.controls[KILLED]
    target = f"/v1/Instances.Deregister/{leaving.name}"
    answer = await call_json(control, "POST", target, {})
    acked_at = loop.time()
    if TROUBLE:
        processes = [
            fleet.processes[f"{role}-{KILLED + 1}"] for role in ("control", "gateway")
        ]
        for process in processes:
            process.signal(signal.SIGKILL)
        took_s = loop.time() - acked_at
        for process in processes:
            process.kill()
        record(f"machine {KILLED + 1} was killed {took_s * 1000:.1f} ms after its ack")
        if took_s > TIGHT_S:
            raise CannotRunError("the kill came later than the pages allow")
    record(f"{control} answered Deregister of {leaving.name}: {answer.status}")
    if answer.status != 200:
        raise CannotRunError("Deregister was not acknowledged")
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        for role in ("control", "gateway"):
            fleet.processes[f"{role}-{KILLED + 1}"].start()
    back_at = loop.time()
    await asyncio.sleep(SERVES_ON_S - DOWN_S)
    stop.set()
    await asyncio.gather(*consumers)
    # Machines are in touch again `contactMs` after the machine is back; what its own
    # gateway took and sent is left out.
    counted_from = max(acked_at + DRAIN_S, back_at + CONTACT_S)
    late = [
        (request, at)
        for request, at in leaving.began.items()
        if at > counted_from and not request.startswith(f"r-{KILLED}-")
    ]
    for request, at in late:
        record(
            f"DRAIN: {request} reached {leaving.name} {at - acked_at:.2f} s after the ack"
        )
    record(f"{len(late)} requests reached {leaving.name} late")
    for engine in engines:
        await engine.close()
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(HERE, run)
