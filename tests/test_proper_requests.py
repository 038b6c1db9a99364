"""Proper requests are not turned away by a process that may be out of date.

The documents of these tests declare one more route and one more key with each number.
"""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import httpx2
import pytest
from result import Ok, Result

from gooseberrydale import errors
from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.errors import Problem, problem
from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.request.retry import MAX_ATTEMPTS
from gooseberrydale.version.declared import CallerLimits, Declared, KeyHolder
from tests.builders_entry import ASK, KEY_A, KEY_B, FakeSidecar, running
from tests.builders_gateway import (
    RawUpstream,
    ReceivedAnswer,
    Writer,
    answer_bytes,
    call,
    declared,
    json_body,
    route,
    running_gateway,
)
from tests.builders_open_group import TIMEOUT_S, OpenGroup, until
from tests.free_ports import free_address
from tests.sidecar_harness import run

IN_FORCE_S = 4.0
"""A change is in force everywhere within this time."""

OUTDATED_AFTER_S = IN_FORCE_S + 0.5
"""A process that has heard of no change for this long may be out of date."""


def decode(body: bytes) -> Result[Declared, Problem]:
    """Return the document whose number ends ``body``."""
    number = int(body.split()[-1])
    numbers = range(1, number + 1)
    return Ok(
        declared(
            *(route(name=f"r{n}", path_prefix=f"/r{n}/") for n in numbers),
            number=number,
            workspaces=(KeyHolder("a", tuple(f"key-{n}" for n in numbers)),),
        )
    )


async def answer(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


@asynccontextmanager
async def gateway_of(group: OpenGroup) -> AsyncIterator[Gateway]:
    """Run a gateway whose settings list the first replicas of ``group``."""
    upstream = RawUpstream("u1", answer)
    async with running_gateway(
        None, upstream, controls=group.seeds, decode=decode
    ) as gateway:
        yield gateway


def document_of(gateway: Gateway) -> int:
    document = gateway.store.config.document
    return 0 if document is None else document.number


Send = Callable[[Gateway, int], Awaitable[ReceivedAnswer]]


async def ask(gateway: Gateway, number: int) -> ReceivedAnswer:
    """Send a request on the route and with the key of document ``number``."""
    return await call(gateway, f"/r{number}/1", key=f"key-{number}", extra="Wait: 2")


async def ask_with_new_key(gateway: Gateway, number: int) -> ReceivedAnswer:
    """Send a request on an old route, with the key of document ``number``."""
    return await call(gateway, "/r1/1", key=f"key-{number}", extra="Wait: 2")


def assert_to_be_sent_elsewhere(got: ReceivedAnswer) -> None:
    """Check that the answer says that the request has not run, and when to retry."""
    assert got.status == 503
    assert json_body(got)["error"]["not_run"] is True
    assert float(got.headers["retry-after"]) > 0


@pytest.mark.parametrize("send", [ask, ask_with_new_key])
def test_a_gateway_that_is_out_of_date_does_not_deny_new_routes_and_keys(
    tmp_path: pathlib.Path, send: Send
) -> None:
    """Guards against denials by a process that has no session to a replica."""

    async def main() -> None:
        group = await OpenGroup.start(tmp_path, 3)
        async with gateway_of(group) as gateway:
            await until(lambda: group.newest.declare_document(1))
            await until(lambda: document_of(gateway) == 1)
            assert (await ask(gateway, 1)).status == 200
            await group.close()
            await asyncio.sleep(OUTDATED_AFTER_S)
            assert_to_be_sent_elsewhere(await send(gateway, 2))
            # What the last document allows is still served.
            assert (await ask(gateway, 1)).status == 200

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize("send", [ask, ask_with_new_key])
def test_new_routes_and_keys_are_served_after_all_controls_were_replaced(
    tmp_path: pathlib.Path, send: Send
) -> None:
    """Guards against denials by a process that knows only the first replicas."""

    async def main() -> None:
        group = await OpenGroup.start(tmp_path, 4)
        async with gateway_of(group) as gateway:
            await until(lambda: group.newest.declare_document(1))
            await until(lambda: document_of(gateway) == 1)
            for _ in range(4):
                await group.replace_oldest(free_address())
            await until(lambda: group.newest.declare_document(2))
            await asyncio.sleep(IN_FORCE_S)
            assert (await send(gateway, 2)).status == 200
        await group.close()

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize("send", [ask, ask_with_new_key])
def test_a_gateway_that_starts_with_an_old_document_does_not_deny_what_is_newer(
    tmp_path: pathlib.Path, send: Send
) -> None:
    """Guards against denials by the document of a replica that has not caught up."""

    async def main() -> None:
        group = await OpenGroup.start(tmp_path, 3)
        await until(lambda: group.newest.declare_document(1))
        behind, *others = group.seeds
        await group.stop(behind)
        await until(lambda: group.newest.declare_document(2))
        await group.stop(*others)
        await group.restart(behind)
        async with gateway_of(group) as gateway:
            await until(lambda: document_of(gateway) == 1)
            assert_to_be_sent_elsewhere(await send(gateway, 2))
            await group.restart(others[0])
            await until(lambda: document_of(gateway) == 2)
            assert (await send(gateway, 2)).status == 200
        await group.close()

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize("send", [ask, ask_with_new_key])
def test_a_request_waits_for_the_document_that_declares_its_route_or_key(
    tmp_path: pathlib.Path, send: Send
) -> None:
    """Guards against denials while a document is known to be on its way."""

    async def main() -> None:
        group = await OpenGroup.start(tmp_path, 3)
        async with gateway_of(group) as gateway:
            await until(lambda: group.newest.declare_document(1))
            await until(lambda: document_of(gateway) == 1)
            gateway.confirmed.report(gateway.store.revision + 1)
            sent = asyncio.create_task(send(gateway, 2))
            await asyncio.sleep(0.1)
            assert await group.newest.declare_document(2)
            assert (await sent).status == 200
        await group.close()

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize(
    ("document", "body", "extra"),
    [
        (None, b"", "X-Long: " + "x" * 20_000),
        (
            declared(limits=CallerLimits(head_bytes=1_000)),
            b"",
            "X-Long: " + "x" * 2_000,
        ),
        (declared(limits=CallerLimits(body_bytes=1_000)), b"x" * 2_000, ""),
    ],
    ids=["head without a document", "head", "body"],
)
def test_limits_that_may_be_out_of_date_deny_nothing(
    document: Declared | None, body: bytes, extra: str
) -> None:
    """Guards against denials of heads and bodies by default or outdated limits."""

    async def main() -> None:
        async with running_gateway(document, is_current=False) as gateway:
            got = await call(gateway, body=body, extra=extra)
            assert_to_be_sent_elsewhere(got)

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize(
    ("path", "key", "model"),
    [
        ("/v1/chat/completions", "new-key", "lots"),
        ("/v1/chat/completions", KEY_A, "new-profile"),
        ("/v1/chat/completions", KEY_A, "bids"),
        ("/services/new-profile/x", KEY_A, ""),
        ("/services/bids/x", KEY_B, ""),
        ("/v1/models/new-profile", KEY_A, None),
    ],
)
def test_an_entry_that_may_be_out_of_date_does_not_deny_what_it_does_not_know(
    path: str, key: str, model: str | None
) -> None:
    """Guards against denials by a configuration that came from a peer or long ago."""

    async def main() -> None:
        async with running(is_current=False) as entry:
            async with httpx2.AsyncClient(trust_env=False) as client:
                got = await client.request(
                    "GET" if model is None else "POST",
                    f"http://{entry.addresses['http']}{path}",
                    headers={"authorization": f"Bearer {key}"},
                    json={
                        "model": model,
                        "messages": [{"role": "user", "content": "?"}],
                    },
                )
                assert got.status_code == 503
                assert got.json()["error"]["not_run"] is True
                assert float(got.headers["retry-after"]) > 0

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize("known", [None, "inc-old"], ids=["unknown", "outdated"])
def test_an_entry_that_may_be_out_of_date_does_not_deny_a_stream_it_does_not_know(
    known: str | None,
) -> None:
    """Guards against 404 unknown_stream while the upstream still has the stream."""

    async def main() -> None:
        upstream = FakeSidecar("u1")
        upstream.incarnation = known or upstream.incarnation
        async with (
            running(*([upstream] if known else []), is_current=False) as entry,
            httpx2.AsyncClient(trust_env=False) as client,
        ):
            got = await client.get(
                f"http://{entry.addresses['http']}/v1/streams",
                headers={
                    "authorization": f"Bearer {KEY_A}",
                    "last-event-id": "u1/inc-u1/a-request/3",
                },
            )
            assert got.status_code == 503
            assert float(got.headers["retry-after"]) > 0

    run(main(), TIMEOUT_S)


@pytest.mark.parametrize(
    "refusal",
    [
        problem(errors.STALE_DISPATCH, seq=1, limit_s=3.0),
        problem(errors.WRONG_INCARNATION, actual="i2", wanted="i1"),
        problem(errors.TOMBSTONED, attempt=1, request_id="r"),
    ],
    ids=lambda refusal: refusal.code,
)
def test_refusals_of_an_entry_with_outdated_announcements_are_not_passed_on(
    refusal: Problem,
) -> None:
    """Guards against 409 for a proper request that all sidecars refuse an entry."""

    async def refuse(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
        yield fake.refused(req, refusal)

    async def main() -> None:
        fakes = [FakeSidecar(f"u{n}") for n in range(MAX_ATTEMPTS + 1)]
        for fake in fakes:
            fake.script = refuse
        async with (
            running(*fakes) as entry,
            httpx2.AsyncClient(trust_env=False) as client,
        ):
            got = await client.post(
                f"http://{entry.addresses['http']}/v1/chat/completions",
                headers={"authorization": f"Bearer {KEY_A}"},
                json={"model": "lots", "messages": ASK},
            )
            assert got.status_code == 503, got.text
            assert got.json()["error"]["not_run"] is True
            assert float(got.headers["retry-after"]) > 0
        assert sum(len(fake.dispatched) for fake in fakes) == MAX_ATTEMPTS

    run(main(), TIMEOUT_S)
