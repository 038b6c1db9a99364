"""Quotas at entries: enforcement, accounting, declaration and sharing."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import openai
import pytest
from result import Err, Ok

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.connection.rpc import RpcChannel, RpcServer
from gooseberrydale.errors import QUEUE_FULL, problem
from gooseberrydale.process.cfg import EntryCfg, FleetCfg, NodeCfg
from gooseberrydale.process.entry.quota_link import QuotaLink, entry_fleet
from gooseberrydale.process.quota_client import QuotaClient, QuotaDemand
from gooseberrydale.request.background import Background
from gooseberrydale.version import declaration_file
from gooseberrydale.version.quotas.quota import Quota, QuotaUnit
from tests.builders_entry import (
    TOKEN,
    FakeSidecar,
    answer_words,
    ask,
    make_config,
    openai_client,
    run,
    running,
)
from tests.free_ports import free_port


def config_with_quota(quota: Quota) -> Any:
    """The configuration of the tests, with a quota for the first workspace."""
    config = make_config()
    name = next(iter(config.workspaces))
    workspaces = {
        **config.workspaces,
        name: replace(config.workspaces[name], quota=quota),
    }
    return replace(config, workspaces=workspaces)


async def refuse(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    yield fake.refused(req, problem(QUEUE_FULL, retry_after_s=0.1))


def fake_sidecar(script: Any) -> FakeSidecar:
    fake = FakeSidecar("u1")
    fake.script = script
    return fake


def test_a_caller_over_its_quota_gets_429_and_nothing_is_dispatched() -> None:
    async def main() -> None:
        fake = fake_sidecar(answer_words)
        quota = Quota(4.0, 1.0)
        async with running(fake, config=config_with_quota(quota)) as entry:
            await asyncio.sleep(0.3)
            served, waits_s = 0, []
            # Closed here: a client that is garbage-collected later closes itself in
            # whichever event loop runs then.
            async with openai_client(entry) as client:
                for _ in range(8):
                    try:
                        await ask(client)
                        served += 1
                    except openai.RateLimitError as exc:
                        assert exc.code == "over_quota"
                        waits_s.append(float(exc.response.headers["retry-after"]))
            assert served and len(waits_s) == 8 - served
            assert len(fake.dispatched) == served
            assert all(wait_s > 0 for wait_s in waits_s)

    run(main())


SENT = {"answered": (answer_words, 1), "refused by its upstream": (refuse, 0)}


@pytest.mark.parametrize("case", SENT)
def test_only_an_attempt_that_may_have_run_counts(case: str) -> None:
    script, counted = SENT[case]

    async def main() -> None:
        config = config_with_quota(Quota(1_000.0, 1_000.0))
        workspace = next(iter(config.workspaces))
        async with running(fake_sidecar(script), config=config) as entry:
            async with openai_client(entry) as client:
                try:
                    await ask(client)
                except openai.APIStatusError:
                    pass
            await asyncio.sleep(0.05)
            assert entry.quotas.spent(workspace) == counted

    run(main())


def test_a_token_quota_counts_prompt_and_answer() -> None:
    async def main() -> None:
        config = config_with_quota(Quota(1e6, 1e6, QuotaUnit.TOKENS))
        workspace = next(iter(config.workspaces))
        async with running(fake_sidecar(answer_words), config=config) as entry:
            async with openai_client(entry) as client:
                await ask(client, max_tokens=500)
            await asyncio.sleep(0.05)
            assert entry.quotas.spent(workspace) > 500

    run(main())


QUOTA_TABLES: dict[str, tuple[dict[str, Any], Quota]] = {
    "requests": ({"per_s": 5.0, "burst": 9}, Quota(5.0, 9.0)),
    "tokens": (
        {"per_s": 5, "burst": 9, "unit": "tokens", "plain_tokens": 200},
        Quota(5.0, 9.0, QuotaUnit.TOKENS, 200),
    ),
}


@pytest.mark.parametrize("case", QUOTA_TABLES)
def test_quotas_are_read_from_a_declaration_file(case: str) -> None:
    table, quota = QUOTA_TABLES[case]
    result = declaration_file.read({"workspaces": {"a": {"quota": table}}})
    assert isinstance(result, Ok)
    assert result.ok_value.workspaces["a"].quota == quota


FAULTS = {
    "negative": ({"per_s": -1.0, "burst": 1.0}, "workspaces.a.quota.per_s"),
    "not finite": ({"per_s": 1.0, "burst": float("inf")}, "workspaces.a.quota.burst"),
    "too large": ({"per_s": 1e300, "burst": 1.0}, "workspaces.a.quota.per_s"),
    "text": ({"per_s": "many", "burst": 1.0}, "workspaces.a.quota.per_s"),
    "unit": ({"per_s": 1.0, "burst": 1.0, "unit": "bytes"}, "workspaces.a.quota.unit"),
    "no burst": ({"per_s": 1.0}, "workspaces.a.quota.burst"),
}


@pytest.mark.parametrize("case", FAULTS)
def test_an_invalid_quota_is_refused_with_the_name_of_its_field(case: str) -> None:
    table, key = FAULTS[case]
    result = declaration_file.read({"workspaces": {"a": {"quota": table}}})
    assert isinstance(result, Err)
    assert [fault.key for fault in result.err_value] == [key]
    assert all(fault.remedy for fault in result.err_value)


def test_only_entries_that_are_listed_by_address_share_quotas() -> None:
    listed = FleetCfg(entries=("a:1", "b:1"))
    fleet = entry_fleet(EntryCfg(rpc="b:1"), listed, NodeCfg("n"))
    assert (fleet.own.name, [peer.name for peer in fleet.others]) == ("b:1", ["a:1"])
    fleet = entry_fleet(EntryCfg(rpc="c:1"), listed, NodeCfg("n"))
    assert (fleet.own.address, len(fleet.others)) == ("", 2)
    assert entry_fleet(EntryCfg(rpc="c:1"), FleetCfg(), NodeCfg("n")).own.name == "c:1"


def test_two_entries_together_stay_within_one_quota() -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        listed = tuple(f"127.0.0.1:{port}" for port in ports)
        quota = Quota(5.0, 20.0)
        clients, closing = [], []
        for address in listed:
            background = Background()
            link = QuotaLink(lambda to: RpcChannel(to, TOKEN), background)
            server = RpcServer(address, TOKEN)
            link.register(server)
            fleet = entry_fleet(
                EntryCfg(rpc=address), FleetCfg(entries=listed), NodeCfg(address)
            )
            client = QuotaClient(
                fleet.own.name,
                address,
                link,
                lambda fleet=fleet: fleet,
                lambda: {"a": quota},
                random.Random(address),
                has_static_fleet=True,
            )
            await server.start()
            await client.start()
            clients.append(client)
            closing += [client.close, link.close, server.close]
        started_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.0)
        refused = [
            await clients[i % 2].admit(QuotaDemand("a", quota, 1)) is not None
            for i in range(80)
        ]
        elapsed_s = asyncio.get_running_loop().time() - started_at
        granted = refused.count(False)
        assert 5 <= granted <= quota.per_s * elapsed_s + quota.burst
        assert granted < 40
        for close in closing:
            await close()

    run(main())
