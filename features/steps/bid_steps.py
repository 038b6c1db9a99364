"""Steps for calls that must not run twice (bids): send, resend and count them."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import time
from typing import Any

from behave import given, then, when

from features.steps.fleet_steps import (
    BIDS,
    KEY,
    caller,
    record,
    services,
    show,
    start_fleet,
)
from tests.callers import Caller, Ending
from tests.fleet import wait_until

LOST_CONNECTION = "or by a lost connection"
RESENDS_BOUND_S = 180.0


def bid_body(number: int) -> dict[str, Any]:
    """Return the body of a bid, which is different for each number."""
    return {"lot": number, "cents": 100}


def digest(body: dict[str, Any]) -> str:
    """Return the digest of a body as services record it."""
    data = json.dumps(body, separators=(",", ":")).encode()
    return hashlib.sha256(data).hexdigest()


def bid_key(number: int) -> str:
    """Return the idempotency key of a bid."""
    return f"bid-{number}"


async def send_bids(
    sender: Caller, count: int, every_s: float, *, keyed: bool
) -> list[Ending]:
    """Send a bid every ``every_s`` seconds without waiting; never resend one."""
    tasks = []
    for number in range(count):
        key = bid_key(number) if keyed else ""
        send = sender.bid(BIDS, bid_body(number), key=key)
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*tasks))


def caller_at(context: Any, name: str) -> Caller:
    """Return a caller that sends to one entry only."""
    return Caller([context.fleet.entry_url(name)], KEY)


def all_runs(context: Any) -> list[dict[str, Any]]:
    """Return all runs of all services, with those saved before a service's kill."""
    runs = list(saved_runs(context))
    for name in context.fleet.upstreams:
        process = context.fleet.processes["upstream-" + name]
        wait_until(process.running.__bool__, name)
        runs += record(context.fleet, name)
    return runs


def runs_of_bids(context: Any) -> dict[str, int]:
    """Count the runs of each body; includes records read before a service's kill."""
    return collections.Counter(run["body_digest"] for run in all_runs(context))


def was_denied(ending: Ending) -> bool:
    """Whether the answer says that the bid was not run."""
    return ending.kind == "refused" and ending.not_run is True


def denied_and_ran(
    endings: list[Ending], body_digest: str, runs: list[dict[str, Any]]
) -> list[Ending]:
    """Return the endings of one bid's sends that deny a run which is in a record."""
    denied = [ending for ending in endings if was_denied(ending)]
    if len(denied) == len(endings):
        return denied if any(r["body_digest"] == body_digest for r in runs) else []
    ran = {run["request_id"] for run in runs}
    return [ending for ending in denied if ran & set(ending.request_ids)]


def saved_runs(context: Any) -> list[dict[str, Any]]:
    """Return the records that were read right before their service was killed."""
    runs: list[dict[str, Any]] = context.saved if "saved" in context else []
    return runs


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} services"
    " that take {delay_s:g} s"
)
def step_slow_services(
    context: Any, controls: int, entries: int, n: int, delay_s: float
) -> None:
    """Start a fleet of plain services whose calls take ``delay_s`` seconds."""
    start_fleet(context, controls, entries, services(n, delay_s))


@given("{count:d} bids without a key are under way, one each {every_s:g} s")
def step_bids(context: Any, count: int, every_s: float) -> None:
    """Send bids to all entries in the background."""
    sending = send_bids(caller(context), count, every_s, keyed=False)
    context.running = context.load.start(sending)


@given("{count:d} bids with a key are under way at {entry}, one each {every_s:g} s")
def step_keyed_bids(context: Any, count: int, entry: str, every_s: float) -> None:
    """Send bids to one entry in the background."""
    sending = send_bids(caller_at(context, entry), count, every_s, keyed=True)
    context.running = context.load.start(sending)
    context.bids = count


@when("the record of {name} is saved and its process is killed after {wait_s:g} s")
def step_keep_and_kill(context: Any, name: str, wait_s: float) -> None:
    """Read the record and crash the service right after."""
    time.sleep(wait_s)
    context.saved = context.fleet.runs(name)
    context.fleet.processes["upstream-" + name].kill()


@when("the bids are sent again at {entry}")
def step_resend_bids(context: Any, entry: str) -> None:
    """Send every bid again with its key and wait for the answers."""
    sending = send_bids(caller_at(context, entry), context.bids, 0.02, keyed=True)
    context.resent = context.load.start(sending).result(RESENDS_BOUND_S)


@when("a bid with a key has ended whole")
def step_first_bid(context: Any) -> None:
    """Send one bid and wait for its whole answer."""
    ending = context.load.run(caller(context).bid(BIDS, bid_body(0), key=bid_key(0)))
    assert ending.kind == "whole", show([ending])


@when("another body is sent under its key at each entry")
def step_other_body(context: Any) -> None:
    """Send another bid with the key of the first one."""
    context.endings = [
        context.load.run(caller_at(context, n).bid(BIDS, bid_body(1), key=bid_key(0)))
        for n in context.fleet.entries
    ]


@then("no bid ran twice")
def step_at_most_once(context: Any) -> None:
    """Check that the records of all services together hold no bid twice."""
    counts = runs_of_bids(context)
    repeated = {body: count for body, count in counts.items() if count > 1}
    assert counts and not repeated, repeated


@then("every bid ran exactly once")
def step_exactly_once(context: Any) -> None:
    """Check that the records of all services together hold each bid once."""
    expected = {digest(bid_body(number)): 1 for number in range(context.bids)}
    assert runs_of_bids(context) == expected, runs_of_bids(context)


@then("every bid ended whole, not run or with outcome_unknown, {other}")
def step_bids_ended(context: Any, other: str) -> None:
    """Check how bids ended; connections may only be lost if the step allows it."""
    unexpected = [
        e
        for e in context.endings
        if e.kind not in ("whole", "refused")
        or e.kind == "refused"
        and e.not_run is not True
        and e.code != "outcome_unknown"
    ]
    if other == LOST_CONNECTION:
        unexpected = [e for e in unexpected if e.kind != "unknown"]
    assert not unexpected, show(unexpected)


@then("every resend ended whole or with outcome_unknown")
def step_resends_ended(context: Any) -> None:
    """Check that each resend got an answer or the error ``outcome_unknown``."""
    incomplete = [e for e in context.resent if e.kind != "whole"]
    print(
        f"{len(context.resent) - len(incomplete)} whole,"
        f" {len(incomplete)} outcome_unknown"
    )
    unexpected = [e for e in incomplete if e.code != "outcome_unknown" or e.not_run]
    assert not unexpected, show(unexpected)


@then("all whole answers of a bid are the same")
def step_same_answers(context: Any) -> None:
    """Check that a resend returns the answer of the only run."""
    pairs = list(zip(context.endings, context.resent, strict=True))
    compared = [(a, b) for a, b in pairs if a.kind == b.kind == "whole"]
    assert compared, show(context.endings + context.resent)
    assert all(a.text == b.text for a, b in compared), compared


@then("no bid that was said not to have run is in a service's record")
def step_not_run_bids(context: Any) -> None:
    """Check that no bid answered with ``not_run: true`` is in a record.

    Its request id is in none.  Its body is in none unless the bid was sent again and
    that request may have run.
    """
    runs = all_runs(context)
    resent = context.resent if "resent" in context else [None] * len(context.endings)
    for number, sends in enumerate(zip(context.endings, resent, strict=True)):
        endings = [ending for ending in sends if ending is not None]
        ran = denied_and_ran(endings, digest(bid_body(number)), runs)
        assert not ran, show(ran)


@then("at least {least:d} bid was in the middle of its run at the kill")
def step_interrupted(context: Any, least: int) -> None:
    """Check that the kill interrupted running bids, which the scenario depends on."""
    interrupted = [
        number
        for number, ending in enumerate(context.endings)
        if ending.kind == "unknown" or ending.code == "outcome_unknown"
    ]
    counts = runs_of_bids(context)
    ran = [number for number in interrupted if counts.get(digest(bid_body(number)))]
    kinds = collections.Counter(e.code or e.kind for e in context.endings)
    print(f"endings: {dict(kinds)}; {len(ran)} of the interrupted bids are in a record")
    assert len(ran) >= least, show(context.endings)


@then("each of them is refused with {code} and was not run")
def step_refused_key(context: Any, code: str) -> None:
    """Check the error code, and that the answer says ``not_run: true``."""
    for ending in context.endings:
        assert ending.kind == "refused", show([ending])
        assert ending.code == code and ending.not_run is True, show([ending])


@then("the services' records hold the first bid alone")
def step_first_alone(context: Any) -> None:
    """Check that the key, though reused, led to a single run."""
    assert runs_of_bids(context) == {digest(bid_body(0)): 1}
