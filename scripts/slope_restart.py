"""Print what it costs to open mesh sessions and to hear all upstreams on them.

Both ends run in this process, so the processor time is that of both together.  Run
it from the root: PYTHONPATH=. python scripts/slope_restart.py
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time

from loguru import logger

from scripts.slope_mesh import Pair, records
from scripts.slope_messages import report

SESSIONS = (8, 16, 32, 64)
RECORDS = (93, 185, 370, 740)
REPEATS = 5
POLL_S = 0.005
MICRO = 1e6


async def open_cost(sessions: int, held: int) -> float:
    """Processor time of ``sessions`` that open and hear ``held`` records each, µs."""
    pair = Pair(sessions)
    loop = asyncio.get_running_loop()
    for record in records(held, 1, random.Random(1)):
        pair.server.directory.offer(record, loop.time())
    before = time.process_time()
    await pair.start()
    while any(node.directory.version < held for node in pair.nodes):
        await asyncio.sleep(POLL_S)
    cost = (time.process_time() - before) * MICRO
    await pair.close()
    return cost


async def median_cost(sessions: int, held: int) -> float:
    """Median of some runs."""
    return statistics.median([await open_cost(sessions, held) for _ in range(REPEATS)])


async def main() -> None:
    """Measure and print both lines."""
    logger.remove()
    costs = [await median_cost(count, 0) for count in SESSIONS]
    report("sessions opened, both ends, µs by sessions", SESSIONS, costs)
    costs = [await median_cost(1, count) for count in RECORDS]
    report("records heard on a new session, both ends, µs", RECORDS, costs)


if __name__ == "__main__":
    asyncio.run(main())
