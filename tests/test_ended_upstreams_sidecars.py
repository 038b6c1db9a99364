"""A request that ends its upstreams is refused by entries after a few attempts.

An entry counts the attempts of one request id, so repeats of the same content under
other ids could each end an upstream, as with gateways, which forward without sidecars:
ten bids of one content, sent one after the other through two entries, ended ten
upstreams.
The sidecar is the process that sees which attempts ran when its upstream ended, so it
must report them to the entries.
"""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from collections.abc import Awaitable, Callable

import pytest

from tests.builders_ending import HARMFUL
from tests.builders_ending_sidecars import Deployment, deployment
from tests.builders_entry import run

BIDS = 10
REPORTED_S = 1.0
"""Time in which a sidecar finds that its upstream ended and reports it to entries."""


def play(
    scenario: Callable[[Deployment], Awaitable[None]],
    *,
    names_incarnations: bool = True,
    completions: bool = False,
) -> None:
    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            async with deployment(
                path, names_incarnations=names_incarnations, completions=completions
            ) as fleet:
                await scenario(fleet)

    run(main())


@pytest.mark.parametrize("names_incarnations", [True, False])
def test_entries_refuse_repeats_of_a_request_that_ends_upstreams(
    names_incarnations: bool,
) -> None:
    async def scenario(fleet: Deployment) -> None:
        answers = []
        for number in range(BIDS):
            entry = fleet.entries[number % len(fleet.entries)]
            answers.append(await fleet.bid(entry, HARMFUL))
            await asyncio.sleep(REPORTED_S)
        assert fleet.harmful == 3
        assert [answer.status_code for answer in answers] == [502] * 3 + [503] * 7
        error = answers[-1].json()["error"]
        assert (error["code"], error["not_run"]) == ("ends_upstreams", True)
        assert "retry-after" not in answers[-1].headers
        assert (await fleet.bid(fleet.entries[0], b"harmless")).status_code == 200

    play(scenario, names_incarnations=names_incarnations)


def test_entries_refuse_prompts_with_a_part_that_ends_upstreams() -> None:
    """No two prompts are alike; all have one message that ends what answers them."""
    harmful = HARMFUL.decode()

    async def scenario(fleet: Deployment) -> None:
        answers = []
        for number in range(BIDS):
            entry = fleet.entries[number % len(fleet.entries)]
            answers.append(
                await fleet.ask(entry, "guide", harmful, f"question {number}")
            )
            await asyncio.sleep(REPORTED_S)
            sound = await fleet.ask(entry, "guide", f"lot {number}", "question")
            assert sound.status_code == 200
        # The entry itself repeats the first two at all upstreams.
        assert fleet.harmful <= 2 * len(fleet.upstreams)
        assert [answer.status_code for answer in answers[2:]] == [503] * (BIDS - 2)
        error = answers[-1].json()["error"]
        assert (error["code"], error["not_run"]) == ("part_ends_upstreams", True)
        assert "retry-after" not in answers[-1].headers

    play(scenario, completions=True)
