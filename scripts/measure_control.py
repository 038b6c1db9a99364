"""Measure the control state: log entries applied a second, and size of a snapshot.

Run it from the root: ``PYTHONPATH=. python scripts/measure_control.py``.
It applies changes and claims to a state in this process and does no input or output,
so the figures are the processor time of the state machine only.
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
REPORT_PER = 1_000


def main() -> None:
    """Measure everything and print one line for each figure."""
    state = with_workspaces()
    base_bytes = len(state.snapshot())
    print(f"snapshot with {WORKSPACES} workspaces: {base_bytes} bytes")
    seconds = timed(state, change_commands())
    after_bytes = len(state.snapshot())
    print(f"changes of one workspace: {CHANGES / seconds:.0f}/s")
    print(
        f"snapshot for each {REPORT_PER} changes:"
        f" {(after_bytes - base_bytes) * REPORT_PER // CHANGES} bytes"
    )
    for size in GROUP_SIZES:
        measure_claims(size)
    full = with_workspaces()
    timed(full, claim_commands(256))
    timed(full, finish_commands(256))
    started = time.perf_counter()
    data = full.snapshot()
    snapshot_s = time.perf_counter() - started
    started = time.perf_counter()
    ControlState().restore(data)
    restore_s = time.perf_counter() - started
    print(
        f"snapshot of {len(data)} bytes: {snapshot_s:.3f} s,"
        f" restored in {restore_s:.3f} s"
    )
    measure_memory()


def measure_memory() -> None:
    """Measure the memory of claims that are applied from log entries."""
    state = ControlState(limits=Limits(claims=CLAIMS, claims_per_workspace=CLAIMS))
    claims, answers = claim_commands(256), finish_commands(256)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for name, commands in (("running", claims), ("finished", answers)):
        timed(state, commands)
        growth = (tracemalloc.get_traced_memory()[0] - before) * REPORT_PER // CLAIMS
        print(f"memory for each {REPORT_PER} {name} claims: {growth} bytes")
    tracemalloc.stop()


def measure_claims(size: int) -> None:
    """Measure claims and their answers, ``size`` requests in a log entry."""
    state = ControlState(limits=Limits(claims=CLAIMS, claims_per_workspace=CLAIMS))
    empty = len(state.snapshot())
    seconds = timed(state, claim_commands(size))
    print(f"claims, {size} in an entry: {CLAIMS / seconds:.0f}/s")
    growth = (len(state.snapshot()) - empty) * REPORT_PER // CLAIMS
    print(f"snapshot for each {REPORT_PER} running claims: {growth} bytes")
    seconds = timed(state, finish_commands(size))
    print(
        f"answers of {ANSWER_BYTES} bytes, {size} in an entry: {CLAIMS / seconds:.0f}/s"
    )
    growth = (len(state.snapshot()) - empty) * REPORT_PER // CLAIMS
    print(f"snapshot for each {REPORT_PER} finished claims: {growth} bytes")


def timed(state: ControlState, commands: list[bytes]) -> float:
    """Apply ``commands`` and return the processor time in seconds."""
    started = time.process_time()
    for command in commands:
        state.apply(state.index + 1, command)
    return time.process_time() - started


def with_workspaces() -> ControlState:
    """Return a state with as many workspaces as the system is designed for."""
    limits = Limits(claims=CLAIMS, claims_per_workspace=CLAIMS)
    state = ControlState(limits=limits)
    edits = tuple(workspace_edit(number, 1.0) for number in range(WORKSPACES))
    timed(state, [command(ChangeReq("first", 0, "ana", edits))])
    return state


def workspace_edit(number: int, share: float) -> Edit:
    """Return an edit that applies a workspace with one key."""
    name = f"workspace-{number:04d}"
    workspace = Workspace(name, (f"{number:064x}",), share)
    return Edit(EditKind.APPLY_WORKSPACE, workspace=workspace)


def change_commands() -> list[bytes]:
    """Return log entries with one change of one workspace each."""
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
    """Return log entries with ``size`` claims each, all of different keys."""
    return [command(*group) for group in grouped(size, claim)]


def finish_commands(size: int) -> list[bytes]:
    """Return log entries with the answers to the same claims, ``size`` in each."""
    return [command(*group) for group in grouped(size, finish)]


def grouped(size: int, make: Any) -> Iterator[list[Any]]:
    """Yield all requests in groups of ``size``."""
    for start in range(0, CLAIMS, size):
        yield [make(number) for number in range(start, min(CLAIMS, start + size))]


def claim(number: int) -> ClaimReq:
    """Return a claim as an entry sends it."""
    key = f"{number:032x}"
    return ClaimReq("workspace-0001", key, b"d" * 32, holder(number))


def finish(number: int) -> FinishReq:
    """Return an answer as an entry sends it."""
    headers = (("content-type", "application/json"),)
    body = b"x" * ANSWER_BYTES
    key = f"{number:032x}"
    return FinishReq("workspace-0001", key, holder(number), 200, headers, body)


def holder(number: int) -> Holder:
    """Return the attempt that holds the claim."""
    incarnation = f"{number:024x}"
    return Holder(f"{number:032x}", 1, "bids-1", "10.0.0.1:8090", incarnation)


def command(*requests: Any) -> bytes:
    """Encode requests as one log entry."""
    return encode(Command(0.0, tuple(encode(req) for req in requests)))


if __name__ == "__main__":
    main()
