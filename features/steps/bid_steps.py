"""Steps around calls that may not be repeated: sent, resent, and counted in records."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import time
from typing import Any

from behave import given, then, when

from features.steps.fleet_steps import BIDS, KEY, caller, services, show, start_fleet
from tests.callers import Caller, Ending
from tests.fleet import Fleet, wait_until

LOST_CONNECTION = "or by a lost connection"
RESENDS_BOUND_S = 180.0


def bid_body(number: int) -> dict[str, Any]:
    """The body of one bid; no two numbers give the same."""
    return {"lot": number, "cents": 100}


def digest(body: dict[str, Any]) -> str:
    """What a service's record holds of a body."""
    data = json.dumps(body, separators=(",", ":")).encode()
    return hashlib.sha256(data).hexdigest()


def bid_key(number: int) -> str:
    """The idempotency key of one bid."""
    return f"bid-{number}"


async def send_bids(
    sender: Caller, count: int, every_s: float, *, keyed: bool
) -> list[Ending]:
    """Send bids one after the other without waiting for answers; never resend."""
    tasks = []
    for number in range(count):
        key = bid_key(number) if keyed else ""
        send = sender.bid(BIDS, bid_body(number), key=key)
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*tasks))


def at_entry(context: Any, name: str) -> Caller:
    """A caller that knows one entry alone."""
    return Caller([context.fleet.entry_url(name)], KEY)


def runs_of_bids(context: Any) -> dict[str, int]:
    """How often each body was run, by the records, those kept before kills included."""
    counts: dict[str, int] = collections.Counter()
    for name in context.fleet.upstreams:
        process = context.fleet.processes["upstream-" + name]
        wait_until(process.running.__bool__, name)
        counts.update(run["body_digest"] for run in record(context.fleet, name))
    counts.update(run["body_digest"] for run in kept_runs(context))
    return counts


def record(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    """The record of a service, once it answers."""
    wait_until(lambda: fleet.answers_health(name), f"{name} does not answer")
    return fleet.runs(name)


def kept_runs(context: Any) -> list[dict[str, Any]]:
    """Records that were read right before their service was killed."""
    found: list[dict[str, Any]] = context.kept if "kept" in context else []
    return found


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} services"
    " that take {delay_s:g} s"
)
def step_slow_services(
    context: Any, controls: int, entries: int, n: int, delay_s: float
) -> None:
    """Start a fleet of plain services whose calls take a while."""
    start_fleet(context, controls, entries, services(n, delay_s))


@given("{count:d} bids without a key are under way, one each {every_s:g} s")
def step_bids(context: Any, count: int, every_s: float) -> None:
    """Send bids to all entries in the background."""
    sending = send_bids(caller(context), count, every_s, keyed=False)
    context.running = context.load.start(sending)


@given("{count:d} bids with a key are under way at {entry}, one each {every_s:g} s")
def step_keyed_bids(context: Any, count: int, entry: str, every_s: float) -> None:
    """Send bids to one entry in the background."""
    sending = send_bids(at_entry(context, entry), count, every_s, keyed=True)
    context.running = context.load.start(sending)
    context.bids = count


@when("the record of {name} is kept and its process is killed after {wait_s:g} s")
def step_keep_and_kill(context: Any, name: str, wait_s: float) -> None:
    """Read the record and crash the service right after."""
    time.sleep(wait_s)
    context.kept = context.fleet.runs(name)
    context.fleet.processes["upstream-" + name].kill()


@when("the bids are sent again at {entry}")
def step_resend_bids(context: Any, entry: str) -> None:
    """Send every bid once more, under its key, and wait for the answers."""
    sending = send_bids(at_entry(context, entry), context.bids, 0.02, keyed=True)
    context.resent = context.load.start(sending).result(RESENDS_BOUND_S)


@when("a bid with a key has ended whole")
def step_first_bid(context: Any) -> None:
    """Run one bid to its end."""
    ending = context.load.run(caller(context).bid(BIDS, bid_body(0), key=bid_key(0)))
    assert ending.kind == "whole", show([ending])


@when("another body is sent under its key at each entry")
def step_other_body(context: Any) -> None:
    """Use the key of the first bid for another."""
    context.endings = [
        context.load.run(at_entry(context, n).bid(BIDS, bid_body(1), key=bid_key(0)))
        for n in context.fleet.entries
    ]


@then("no bid ran twice")
def step_at_most_once(context: Any) -> None:
    """No record, nor all of them together, holds a bid more than once."""
    counts = runs_of_bids(context)
    twice = {body: count for body, count in counts.items() if count > 1}
    assert counts and not twice, twice


@then("every bid ran exactly once")
def step_exactly_once(context: Any) -> None:
    """All records together hold each bid once."""
    wanted = {digest(bid_body(number)): 1 for number in range(context.bids)}
    assert runs_of_bids(context) == wanted, runs_of_bids(context)


@then("every bid ended whole, not run or with outcome_unknown, {other}")
def step_bids_ended(context: Any, other: str) -> None:
    """Nothing wrong came, and no connection was lost but to a killed entry."""
    strange = [
        e
        for e in context.endings
        if e.kind not in ("whole", "refused")
        or e.kind == "refused"
        and e.not_run is not True
        and e.code != "outcome_unknown"
    ]
    if other == LOST_CONNECTION:
        strange = [e for e in strange if e.kind != "unknown"]
    assert not strange, show(strange)


@then("every resend ended whole or with outcome_unknown")
def step_resends_ended(context: Any) -> None:
    """A resend is answered, or is told that nothing is known."""
    short = [e for e in context.resent if e.kind != "whole"]
    print(f"{len(context.resent) - len(short)} whole, {len(short)} outcome_unknown")
    strange = [e for e in short if e.code != "outcome_unknown" or e.not_run]
    assert not strange, show(strange)


@then("all whole answers of a bid are the same")
def step_same_answers(context: Any) -> None:
    """A resend gets the answer of the one run."""
    both = list(zip(context.endings, context.resent, strict=True))
    compared = [(a, b) for a, b in both if a.kind == b.kind == "whole"]
    assert compared, show(context.endings + context.resent)
    assert all(a.text == b.text for a, b in compared), compared


@then("no bid that was said not to have run is in a service's record")
def step_not_run_bids(context: Any) -> None:
    """Compare each ``not_run: true`` with the records, by the bid's body."""
    counts = runs_of_bids(context)
    for endings in (context.endings, context.resent if "resent" in context else ()):
        for number, ending in enumerate(endings):
            told = ending.kind == "refused" and ending.not_run is True
            assert not (told and counts.get(digest(bid_body(number)))), show([ending])


@then("at least {least:d} bid was in the middle of its run at the kill")
def step_was_hit(context: Any, least: int) -> None:
    """The kill met running bids, so the scenario proves something."""
    hit = [
        number
        for number, ending in enumerate(context.endings)
        if ending.kind == "unknown" or ending.code == "outcome_unknown"
    ]
    counts = runs_of_bids(context)
    ran = [number for number in hit if counts.get(digest(bid_body(number)))]
    kinds = collections.Counter(e.code or e.kind for e in context.endings)
    print(f"endings: {dict(kinds)}; {len(ran)} of the cut bids are in a record")
    assert len(ran) >= least, show(context.endings)


@then("each of them is refused with {code} and was not run")
def step_refused_key(context: Any, code: str) -> None:
    """A typed refusal that says that nothing was run."""
    for ending in context.endings:
        assert ending.kind == "refused", show([ending])
        assert ending.code == code and ending.not_run is True, show([ending])


@then("the services' records hold the first bid alone")
def step_first_alone(context: Any) -> None:
    """Neither body of the reused key ran again."""
    assert runs_of_bids(context) == {digest(bid_body(0)): 1}
