"""What a soak checks, from what callers and upstreams see."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import random
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from soak.field import BIDS, COMPLETIONS, KEY, Field
from tests.callers import Caller, Ending, nested_prompt
from tests.fleet import wait_until

PAUSE_S = 0.15
"""Between two requests of one caller."""

BID_SENDS = 6
RECOVER_S = 45.0
"""After the last fault: a restart, an election and the lease of an upstream."""

STREAM_PART = 0.6


@dataclass(slots=True)
class Sent:
    """All requests and how they ended; bids by their number."""

    texts: list[Ending] = field(default_factory=list)
    bids: dict[int, Ending] = field(default_factory=dict)

    def summary(self) -> str:
        """How often each ending came."""
        kinds = collections.Counter(one.kind for one in self.texts)
        bids = collections.Counter(one.kind for one in self.bids.values())
        return f"texts {dict(kinds)}, bids {dict(bids)}"


class Callers:
    """Callers that go on sending until they are stopped."""

    def __init__(self, entries: list[str], seed: int, count: int) -> None:
        self._callers = [
            Caller(entries, KEY, seed * 100 + n, silence_s=10.0) for n in range(count)
        ]
        self._rng = random.Random(seed)
        self._stopped = False
        self.sent = Sent()

    async def run(self) -> None:
        """Send until ``stop``; returns once every request has ended."""
        await asyncio.gather(*map(self._send_on, range(len(self._callers))))
        for caller in self._callers:
            await caller.close()

    def stop(self) -> None:
        """Send nothing new."""
        self._stopped = True

    async def _send_on(self, index: int) -> None:
        caller, number = self._callers[index], index * 100_000
        while not self._stopped:
            number += 1
            if self._rng.random() < STREAM_PART:
                prompt = nested_prompt(number % 3, number % 7, number, pieces=1)
                send = caller.stream if number % 2 else caller.plain
                self.sent.texts.append(await send(COMPLETIONS, prompt))
            else:
                key, body = f"bid-{number}", {"bid": number}
                ending = await caller.bid(BIDS, body, key=key, sends=BID_SENDS)
                self.sent.bids[number] = ending
            await asyncio.sleep(PAUSE_S)


def broken_promises(field_: Field, sent: Sent) -> list[str]:
    """Every promise that was not kept, in a line each; waits for recovery first."""
    found = list(_not_recovered(field_))
    found += _wrong_texts(sent.texts)
    found += _bids(field_, sent.bids)
    found += _changes(field_)
    found += _processes(field_)
    return found


def _not_recovered(field_: Field) -> Iterator[str]:
    """Every entry serves again."""
    fleet = field_.fleet
    for name in fleet.entries:
        end, kind = time.monotonic() + RECOVER_S, ""
        while kind != "whole" and time.monotonic() < end:
            kind = asyncio.run(_ask(fleet.entry_url(name)))
        if kind != "whole":
            yield f"{name} does not serve {RECOVER_S:g} s after the last fault: {kind}"
    try:
        wait_until(fleet.control_whole, "control is not whole")
    except AssertionError as exc:
        yield str(exc)


async def _ask(url: str) -> str:
    caller = Caller([url], KEY, silence_s=10.0)
    try:
        ending = await caller.plain(COMPLETIONS, nested_prompt(1, 1, 1, pieces=1))
    finally:
        await caller.close()
    await asyncio.sleep(0.2)
    return ending.kind if ending.kind == "whole" else f"{ending.kind} {ending.code}"


def _wrong_texts(texts: Iterable[Ending]) -> Iterator[str]:
    """Streams are whole and in order, or end with an error that is typed."""
    for one in texts:
        if one.kind == "wrong":
            yield f"wrong text for {one.request_ids}: {one.text[:60]!r}"
        if one.kind == "refused" and not one.code:
            yield f"untyped refusal for {one.request_ids}: {one.detail}"


def _bids(field_: Field, bids: dict[int, Ending]) -> Iterator[str]:
    """Each call ran at most once, and what was said of it is true."""
    fleet = field_.fleet
    names = [name for name, spec in fleet.upstreams.items() if spec.pool == BIDS]
    runs = [run for name in names for run in fleet.runs(name)]
    counts = collections.Counter(run["body_digest"] for run in runs)
    for number, ending in bids.items():
        times = counts[_digest(number)]
        if times > 1:
            yield f"bid {number} ran {times} times"
        if ending.kind == "whole" and times != 1:
            yield f"bid {number} was answered and ran {times} times"
        if ending.kind == "refused" and ending.not_run and times:
            yield f"bid {number} ran, though {ending.code} says that it did not"


def _digest(number: int) -> str:
    data = json.dumps({"bid": number}, separators=(",", ":")).encode()
    return hashlib.sha256(data).hexdigest()


def _changes(field_: Field) -> Iterator[str]:
    """What was acknowledged is in the newest configuration."""
    config = field_.fleet.operate("GET", "/v1/config?from=leader")
    text = json.dumps(config)
    for name in field_.acknowledged:
        if f'"{name}"' not in text:
            yield f"the acknowledged workspace {name} is gone"


def _processes(field_: Field) -> Iterator[str]:
    """No process ended by itself, and drains ended well."""
    yield from field_.drained_badly
    for name, process in field_.fleet.processes.items():
        if not process.running:
            yield f"{name} has ended by itself: {process.output()[-300:]}"
        if "InvariantError" in process.output():
            yield f"{name} broke an invariant of its own"
