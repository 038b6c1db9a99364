"""Print the costs of opening mesh sessions and of receiving all records on them.

This is the work after a restart.  Both ends run in this process, so the processor
time is that of both together.  Run it from the root: PYTHONPATH=. python
scripts/slope_restart.py
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time

from loguru import logger

from scripts.slope_mesh import ServerAndClients, records
from scripts.slope_messages import report

SESSIONS = (8, 16, 32, 64)
RECORDS = (93, 185, 370, 740)
REPEATS = 5
POLL_S = 0.005
MICRO = 1e6


async def open_cost(sessions: int, record_count: int) -> float:
    """Return the processor time of opening sessions that receive records, in µs."""
    mesh = ServerAndClients(sessions)
    loop = asyncio.get_running_loop()
    for record in records(record_count, 1, random.Random(1)):
        mesh.server.directory.offer(record, loop.time())
    before = time.process_time()
    await mesh.start()
    while any(node.directory.version < record_count for node in mesh.nodes):
        await asyncio.sleep(POLL_S)
    cost = (time.process_time() - before) * MICRO
    await mesh.close()
    return cost


async def median_cost(sessions: int, record_count: int) -> float:
    """Return the median cost of several runs."""
    return statistics.median(
        [await open_cost(sessions, record_count) for _ in range(REPEATS)]
    )


async def main() -> None:
    """Measure both costs and print their lines."""
    logger.remove()
    costs = [await median_cost(count, 0) for count in SESSIONS]
    report("sessions opened, both ends, µs by sessions", SESSIONS, costs)
    costs = [await median_cost(1, count) for count in RECORDS]
    report("records received on a new session, both ends, µs", RECORDS, costs)


if __name__ == "__main__":
    asyncio.run(main())
