"""Print the processor time of one routing decision, by number of upstreams.

The prompts consist of two texts that requests share, a long guide and a shorter "lot",
and a new question.  The policy receives feedback as replies would carry it.
"kept" passes the same records to each decision, "renewed" a new tuple in which one
record was renewed.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from dataclasses import replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Accepted, Load, Piece
from gooseberrydale.request.baselines import POLICIES, make_policy
from gooseberrydale.request.routing import Policy, RouteReq
from gooseberrydale.version.declarations import Profile, ProfileKind

SIZES = (10, 100, 740)
DECISIONS = 2_000
STATE_DECISIONS = 20_000
WORKSPACES = 50
GUIDE_PIECES = 8
LOTS = 20
ARRIVAL_S = 1 / 14
PROFILE = Profile("summary", ProfileKind.COMPLETION, "engines", model="m")


def upstreams(count: int) -> tuple[UpstreamRecord, ...]:
    """Return the records of one pool, spread over eight zones."""
    return tuple(
        UpstreamRecord(
            name=f"upstream-{i}",
            incarnation="1",
            seq=1,
            address="",
            zone=f"zone-{i % 8}",
            region="r",
            pool=PROFILE.pool,
            kind="completion",
            model=PROFILE.model,
        )
        for i in range(count)
    )


def request(rng: random.Random, number: int) -> RouteReq:
    """Return a request of a random workspace: shared guide, lot, new question."""
    workspace = rng.randrange(WORKSPACES)
    lot = rng.randrange(LOTS)
    names = [f"{workspace}/{i}" for i in range(GUIDE_PIECES)]
    names += [f"{workspace}/lot/{lot}", f"{workspace}/question/{number}"]
    tokens = [4_000] * GUIDE_PIECES + [2_000, 50]
    pieces = tuple(
        Piece(random.Random(name).randbytes(16), t) for name, t in zip(names, tokens)
    )
    return RouteReq(f"w{workspace}", PROFILE, pieces, zone="zone-0")


def measure(policy: Policy, count: int, renew: bool) -> tuple[float, float]:
    """Return the µs per decision and the µs per feedback of an attempt."""
    rng = random.Random(1)
    records = upstreams(count)
    requests = [request(rng, number) for number in range(DECISIONS)]
    choose_s = observe_s = 0.0
    for number, req in enumerate(requests):
        now = number * ARRIVAL_S
        if renew:
            index = number % count
            renewed = replace(records[index], seq=records[index].seq + 1)
            records = (*records[:index], renewed, *records[index + 1 :])
        started = time.perf_counter()
        choice = policy.choose(req, records, now).unwrap()
        chosen = time.perf_counter()
        policy.dispatched(choice, now)
        load = Load(1, 0, rng.random() * 0.2, 10_000.0)
        accepted = Accepted("r", 1, "1", 0, 200, (), load, 0, 32_000)
        policy.observe(choice, accepted, now + 0.02)
        choose_s += chosen - started
        observe_s += time.perf_counter() - chosen
    return choose_s / DECISIONS * 1e6, observe_s / DECISIONS * 1e6


def state_kib(count: int) -> float:
    """Return the memory of the router's state after many decisions, in KiB."""
    rng = random.Random(1)
    records = upstreams(count)
    policy = make_policy("affinity", random.Random(0))
    tracemalloc.start()
    for number in range(STATE_DECISIONS):
        choice = policy.choose(request(rng, number), records, number * ARRIVAL_S)
        policy.dispatched(choice.unwrap(), number * ARRIVAL_S)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def main() -> None:
    """Measure every policy at every size, then the memory of the affinity router."""
    print(f"{'policy':14} {'upstreams':>9} {'records':>8} {'choose µs':>10} learn µs")
    for name in POLICIES:
        for count in SIZES:
            for renew in (False, True):
                policy = make_policy(name, random.Random(0))
                choose_us, observe_us = measure(policy, count, renew)
                records = "renewed" if renew else "kept"
                print(
                    f"{name:14} {count:9} {records:>8} {choose_us:10.1f}"
                    f" {observe_us:8.1f}"
                )
    for count in SIZES:
        kib = state_kib(count)
        print(f"state of the router at {count} upstreams: {kib:.0f} KiB")


if __name__ == "__main__":
    main()
