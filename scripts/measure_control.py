"""Measures the control state: entries applied a second, and bytes of a snapshot.

Run it from the root: ``PYTHONPATH=. python scripts/measure_control.py``.
It applies changes and claims to a state in this process; nothing is written and
nothing is sent, so the figures are the processor time of the state alone.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterator
from typing import Any

from gooseberrydale.connection.codec import encode
from gooseberrydale.connection.control_messages import (
    ChangeReq,
    ClaimReq,
    Command,
    Edit,
    EditKind,
    FinishReq,
    Holder,
    Limits,
)
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Workspace

WORKSPACES = 1_800
CHANGES = 5_000
CLAIMS = 20_000
GROUP_SIZES = (1, 16, 256)
ANSWER_BYTES = 512
PER = 1_000


def main() -> None:
    """Print one line for each figure."""
    state = with_workspaces()
    base = len(state.snapshot())
    print(f"snapshot with {WORKSPACES} workspaces: {base} bytes")
    seconds = timed(state, change_commands())
    after = len(state.snapshot())
    print(f"changes of one workspace: {CHANGES / seconds:.0f}/s")
    print(f"snapshot for each {PER} changes: {(after - base) * PER // CHANGES} bytes")
    for size in GROUP_SIZES:
        measure_claims(size)
    big = with_workspaces()
    timed(big, claim_commands(256))
    timed(big, finish_commands(256))
    started = time.perf_counter()
    data = big.snapshot()
    taken = time.perf_counter() - started
    started = time.perf_counter()
    ControlState().restore(data)
    restored = time.perf_counter() - started
    print(f"snapshot of {len(data)} bytes: {taken:.3f} s, restored in {restored:.3f} s")
    measure_memory()


def measure_memory() -> None:
    """Measure what claims take in memory, as their entries come from the log."""
    state = ControlState(limits=Limits(claims=CLAIMS, claims_per_workspace=CLAIMS))
    claims, answers = claim_commands(256), finish_commands(256)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for name, commands in (("running", claims), ("finished", answers)):
        timed(state, commands)
        grown = (tracemalloc.get_traced_memory()[0] - before) * PER // CLAIMS
        print(f"memory for each {PER} {name} claims: {grown} bytes")
    tracemalloc.stop()


def measure_claims(size: int) -> None:
    """Measure claims and their answers, ``size`` requests in an entry."""
    state = ControlState(limits=Limits(claims=CLAIMS, claims_per_workspace=CLAIMS))
    empty = len(state.snapshot())
    seconds = timed(state, claim_commands(size))
    print(f"claims, {size} in an entry: {CLAIMS / seconds:.0f}/s")
    growth = (len(state.snapshot()) - empty) * PER // CLAIMS
    print(f"snapshot for each {PER} running claims: {growth} bytes")
    seconds = timed(state, finish_commands(size))
    print(
        f"answers of {ANSWER_BYTES} bytes, {size} in an entry: {CLAIMS / seconds:.0f}/s"
    )
    growth = (len(state.snapshot()) - empty) * PER // CLAIMS
    print(f"snapshot for each {PER} finished claims: {growth} bytes")


def timed(state: ControlState, commands: list[bytes]) -> float:
    """Apply ``commands`` and return the processor seconds that it took."""
    started = time.process_time()
    for command in commands:
        state.apply(state.index + 1, command)
    return time.process_time() - started


def with_workspaces() -> ControlState:
    """A state with as many workspaces as the design size."""
    limits = Limits(claims=CLAIMS, claims_per_workspace=CLAIMS)
    state = ControlState(limits=limits)
    edits = tuple(workspace_edit(number, 1.0) for number in range(WORKSPACES))
    timed(state, [command(ChangeReq("first", 0, "ana", edits))])
    return state


def workspace_edit(number: int, share: float) -> Edit:
    """Apply one workspace with one key."""
    name = f"workspace-{number:04d}"
    workspace = Workspace(name, (f"{number:064x}",), share)
    return Edit(EditKind.APPLY_WORKSPACE, workspace=workspace)


def change_commands() -> list[bytes]:
    """Changes of one workspace each, one in an entry."""
    return [
        command(
            ChangeReq(
                f"change-{number:08d}",
                1 + number,
                "ana",
                (workspace_edit(number % WORKSPACES, 2.0 + number),),
            )
        )
        for number in range(CHANGES)
    ]


def claim_commands(size: int) -> list[bytes]:
    """Claims of different keys, ``size`` in an entry."""
    return [command(*group) for group in grouped(size, claim)]


def finish_commands(size: int) -> list[bytes]:
    """The answers to the same claims."""
    return [command(*group) for group in grouped(size, finish)]


def grouped(size: int, make: Any) -> Iterator[list[Any]]:
    """All requests in groups of ``size``."""
    for start in range(0, CLAIMS, size):
        yield [make(number) for number in range(start, min(CLAIMS, start + size))]


def claim(number: int) -> ClaimReq:
    """A claim as an entry sends it."""
    key = f"{number:032x}"
    return ClaimReq("workspace-0001", key, b"d" * 32, holder(number))


def finish(number: int) -> FinishReq:
    """An answer as an entry sends it."""
    headers = (("content-type", "application/json"),)
    body = b"x" * ANSWER_BYTES
    key = f"{number:032x}"
    return FinishReq("workspace-0001", key, holder(number), 200, headers, body)


def holder(number: int) -> Holder:
    """The attempt that holds the claim."""
    incarnation = f"{number:024x}"
    return Holder(f"{number:032x}", 1, "bids-1", "10.0.0.1:8090", incarnation)


def command(*requests: Any) -> bytes:
    """One log entry."""
    return encode(Command(0.0, tuple(encode(req) for req in requests)))


if __name__ == "__main__":
    main()
