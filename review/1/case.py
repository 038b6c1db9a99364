"""CONFIG: the machines of the core are replaced one after the other.

Each one is gone for good, an empty one comes a second later at another address, and the
next one is replaced only after its successor has had catchUpS.  Two machines without a
disk run all the while.  Then a config is acknowledged that drops a route and a key and
adds a route.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BOUNDS, TROUBLE, Deployment, Record, wait_until  # noqa: E402
from setup import (  # noqa: E402
    HOST,
    config,
    put_config,
    read_config,
    route,
    service,
    start_machines,
    tenant,
    wait_ready,
    wait_served,
)
from wire import Consumers, Engine  # noqa: E402

CORE = 4
GONE_S = 1.0
MARGIN_S = 0.5
ROUNDS = 10
MS_PER_S = 1000.0


def main() -> int:
    record = Record(FOLDER)
    deployment = Deployment()
    engine: Engine | None = None
    try:
        cores, edges = start_machines(deployment, core=CORE, edge=2)
        old, kept, new = (
            route(f"r-{name}", f"/{name}/", "safe", "desk", attempts=2)
            for name in ("old", "kept", "new")
        )
        services = [service("desk")]
        first = config(1, [old, kept], services, [tenant("t-1", ["key-1", "key-gone"])])
        second = config(2, [kept, new], services, [tenant("t-1", ["key-1"])])
        put_config(record, [m.control for m in cores], first)

        def run(request_id: str, headers: dict[str, str]) -> tuple[int, dict[str, str], bytes]:
            record.write(f"the engine runs {request_id}")
            return 200, {}, b"done"

        engine = Engine(deployment.address(), "desk", "zone-1", run, slots=6)
        engine.start_beats(lambda: [m.control for m in cores])
        wait_ready([*cores, *edges])
        consumers = Consumers()

        def send(front: str, path: str, key: str) -> int:
            headers = {"Host": HOST, "X-Api-Key": key}
            request_id, got = consumers.send(front, "GET", path, headers)
            record.write(f"sent {request_id} {path} with {key} to {front} -> {got.status}")
            return got.status

        headers = {"Host": HOST, "X-Api-Key": "key-1"}
        wait_served(consumers, [*cores, *edges], "/kept/0", headers)
        time.sleep(BOUNDS["catchUpS"])

        for number in range(CORE if TROUBLE else 0):
            gone = cores.pop(0)
            gone.kill()
            record.write(f"{gone.name} at {gone.control} is gone for good")
            time.sleep(GONE_S)
            # The operator's list has the machines that serve control now.
            seeds = [machine.control for machine in cores[-3:]]
            machine = deployment.add(f"core-{CORE + number + 1}", gone.zone, disk=True)
            machine.start(bootstrap=False, seeds=seeds, roles=["control", "gateway"])
            cores.append(machine)
            record.write(f"{machine.name} at {machine.control} takes its place, empty")
            back = time.monotonic()
            wait_ready([machine])
            wait_until(
                lambda machine=machine: read_config(record, [machine.control]) == 1,
                f"{machine.name} does not serve the config",
                15.0,
            )
            time.sleep(max(0.0, back + BOUNDS["catchUpS"] + GONE_S - time.monotonic()))
        time.sleep(BOUNDS["contactMs"] / MS_PER_S)

        put_config(record, [m.control for m in cores], second)
        acked = time.monotonic()
        time.sleep(BOUNDS["configApplyMs"] / MS_PER_S + MARGIN_S)
        stale = sound = 0
        for _ in range(ROUNDS):
            for machine in [*edges, *cores]:
                since_s = time.monotonic() - acked
                as_old = [
                    send(machine.front, "/old/1", "key-1") == 200,
                    send(machine.front, "/kept/1", "key-gone") == 200,
                    send(machine.front, "/new/1", "key-1") == 404,
                ]
                stale += sum(as_old)
                sound += send(machine.front, "/kept/1", "key-1") == 200
                if any(as_old):
                    record.write(
                        f"CONFIG: {machine.name} handles requests by version 1,"
                        f" {since_s:.1f} s after the ack of version 2"
                    )
            time.sleep(0.3)
        newest = read_config(record, [m.control for m in cores])
        record.say(
            f"version {newest} is read back; {stale} of {ROUNDS * (CORE + 2) * 3} requests"
            f" were handled as only version 1 allows; {sound} others were served"
        )
        return 1 if stale else 0
    except TimeoutError as exc:
        record.say(f"the case could not run: {exc}")
        for machine in deployment.machines.values():
            for role in machine.processes:
                record.write(f"{machine.name} {role}: {deployment.tail(machine.name, role)}")
        return 2
    finally:
        if engine is not None:
            engine.close()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
