"""Sends requests during a soak run and checks the guarantees of the product.

The checks use the answers that callers received and the runs that upstreams recorded.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import random
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from soak.environment import BIDS, COMPLETIONS, KEY, Environment
from tests.callers import Caller, Ending, nested_prompt
from tests.fleet import wait_until

REQUEST_DELAY_S = 0.15
"""Between two requests of one caller."""

MAX_BID_SENDS = 6
"""How often a caller sends a bid at most, each time under the same key."""

RECOVERY_TIMEOUT_S = 45.0
"""Time after the last fault for a restart, an election and the lease of an upstream."""

TEXT_FRACTION = 0.6
"""Fraction of requests that are completions; the others are bids."""


@dataclass(slots=True)
class SentRequests:
    """How the requests of all callers ended; bids by their number."""

    texts: list[Ending] = field(default_factory=list)
    bids: dict[int, Ending] = field(default_factory=dict)

    def summary(self) -> str:
        """Return the number of requests by kind of ending."""
        kinds = collections.Counter(ending.kind for ending in self.texts)
        bids = collections.Counter(ending.kind for ending in self.bids.values())
        return f"texts {dict(kinds)}, bids {dict(bids)}"


class Callers:
    """Callers that send requests until ``stop``."""

    def __init__(self, entries: list[str], seed: int, count: int) -> None:
        self._callers = [
            Caller(entries, KEY, seed * 100 + n, silence_s=10.0) for n in range(count)
        ]
        self._rng = random.Random(seed)
        self._stopped = False
        self.sent = SentRequests()

    async def run(self) -> None:
        """Send until ``stop``; returns once every request has ended."""
        await asyncio.gather(*map(self._send_until_stopped, range(len(self._callers))))
        for caller in self._callers:
            await caller.close()

    def stop(self) -> None:
        """Start no further request."""
        self._stopped = True

    async def _send_until_stopped(self, index: int) -> None:
        caller, number = self._callers[index], index * 100_000
        while not self._stopped:
            number += 1
            if self._rng.random() < TEXT_FRACTION:
                prompt = nested_prompt(number % 3, number % 7, number, pieces=1)
                send = caller.stream if number % 2 else caller.plain
                self.sent.texts.append(await send(COMPLETIONS, prompt))
            else:
                key, body = f"bid-{number}", {"bid": number}
                ending = await caller.bid(BIDS, body, key=key, sends=MAX_BID_SENDS)
                self.sent.bids[number] = ending
            await asyncio.sleep(REQUEST_DELAY_S)


def find_violations(environment: Environment, sent: SentRequests) -> list[str]:
    """Wait for recovery, then return one line for each violated guarantee."""
    violations = list(_check_recovery(environment))
    violations += _check_texts(sent.texts)
    violations += _check_bids(environment, sent.bids)
    violations += _check_changes(environment)
    violations += _check_processes(environment)
    return violations


def _check_recovery(environment: Environment) -> Iterator[str]:
    """Check that all entries serve again and all control replicas take part."""
    fleet = environment.fleet
    for name in fleet.entries:
        deadline, kind = time.monotonic() + RECOVERY_TIMEOUT_S, ""
        while kind != "whole" and time.monotonic() < deadline:
            kind = asyncio.run(_send_probe(fleet.entry_url(name)))
        if kind != "whole":
            yield (
                f"{name} does not serve {RECOVERY_TIMEOUT_S:g} s after"
                f" the last fault: {kind}"
            )
    try:
        wait_until(fleet.control_healthy, "control replicas are missing")
    except AssertionError as exc:
        yield str(exc)


async def _send_probe(url: str) -> str:
    caller = Caller([url], KEY, silence_s=10.0)
    try:
        ending = await caller.plain(COMPLETIONS, nested_prompt(1, 1, 1, pieces=1))
    finally:
        await caller.close()
    await asyncio.sleep(0.2)
    return ending.kind if ending.kind == "whole" else f"{ending.kind} {ending.code}"


def _check_texts(texts: Iterable[Ending]) -> Iterator[str]:
    """Check that answers are complete and correct, or end with a typed error."""
    for ending in texts:
        if ending.kind == "wrong":
            yield f"wrong text for {ending.request_ids}: {ending.text[:60]!r}"
        if ending.kind == "refused" and not ending.code:
            yield f"untyped refusal for {ending.request_ids}: {ending.detail}"


def _check_bids(environment: Environment, bids: dict[int, Ending]) -> Iterator[str]:
    """Check that each bid ran at most once and that its answer agrees with its runs."""
    fleet = environment.fleet
    names = [name for name, spec in fleet.upstreams.items() if spec.pool == BIDS]
    runs = [run for name in names for run in fleet.runs(name)]
    counts = collections.Counter(run["body_digest"] for run in runs)
    for number, ending in bids.items():
        run_count = counts[_digest(number)]
        if run_count > 1:
            yield f"bid {number} ran {run_count} times"
        if ending.kind == "whole" and run_count != 1:
            yield f"bid {number} was answered and ran {run_count} times"
        if ending.kind == "refused" and ending.not_run and run_count:
            yield f"bid {number} ran, though {ending.code} says that it did not"


def _digest(number: int) -> str:
    data = json.dumps({"bid": number}, separators=(",", ":")).encode()
    return hashlib.sha256(data).hexdigest()


def _check_changes(environment: Environment) -> Iterator[str]:
    """Check that the newest configuration has all acknowledged workspaces."""
    config = environment.fleet.operate("GET", "/v1/config?from=leader")
    text = json.dumps(config)
    for name in environment.acknowledged:
        if f'"{name}"' not in text:
            yield f"the acknowledged workspace {name} is missing from the configuration"


def _check_processes(environment: Environment) -> Iterator[str]:
    """Check that no process ended unexpectedly and that drains exited with 0."""
    yield from environment.drain_failures
    for name, process in environment.fleet.processes.items():
        if not process.running:
            yield f"{name} ended unexpectedly: {process.output()[-300:]}"
        if "InvariantError" in process.output():
            yield f"{name} violated an invariant, see its log"
