"""Messages and behaviour of mesh sessions, connected in memory on a paused clock."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import pytest

from gooseberrydale.connection.backoff import Backoff
from gooseberrydale.connection.codec import encode
from gooseberrydale.connection.mesh import (
    Announce,
    ConfigOffer,
    Hello,
    RecordsWanted,
    RevisionAck,
)
from gooseberrydale.connection.mesh_session import MeshSession, SessionEnd
from gooseberrydale.errors import ProblemError
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import (
    RENEWAL_PROPAGATION_FRACTION,
    Directory,
    new_incarnation,
)
from tests.builders_mesh import record
from tests.builders_pipe import OPEN_S, Pipe, make_node
from tests.clock import PausedClockLoop, run_paused

SILENCE_S = 3.0


def test_heartbeats_keep_an_idle_session_open_and_silence_ends_it():
    async def main() -> None:
        pipe = Pipe(await make_node("sidecar", "u1"), await make_node("entry", "e1"))
        await asyncio.sleep(60)
        assert not pipe.opener.done() and not pipe.server.done()
        assert 100 <= pipe.count(RevisionAck) <= 130
        pipe.silent = {"opener", "server"}
        await asyncio.sleep(SILENCE_S + 0.1)
        assert pipe.opener.done() and pipe.server.done()
        assert pipe.opener.result() is pipe.server.result() is SessionEnd.SILENT
        assert all(sender.done() for sender in pipe.senders)

    run_paused(main())


def test_a_stalled_process_reads_pending_messages_before_it_ends_a_session():
    async def main() -> None:
        pipe = Pipe(await make_node("sidecar", "u1"), await make_node("entry", "e1"))
        await asyncio.sleep(2.5)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, PausedClockLoop)
        loop.stall(30)
        await asyncio.sleep(10)
        assert not pipe.opener.done() and not pipe.server.done()
        loop.stall(30)
        pipe.silent = {"opener", "server"}
        await asyncio.sleep(1)
        assert pipe.opener.done() and pipe.server.done()

    run_paused(main())


def test_a_peer_that_sends_no_hello_is_considered_silent():
    async def main() -> None:
        session = MeshSession(await make_node("sidecar", "u1"), opens=True)
        pipe_feed: asyncio.Queue[Any] = asyncio.Queue()
        run = asyncio.create_task(
            session.run(Pipe.feed(None, pipe_feed), OPEN_S)  # type: ignore[arg-type]
        )
        await asyncio.sleep(OPEN_S + 0.1)
        assert run.done() and run.result() is SessionEnd.SILENT

    run_paused(main())


def test_a_peer_whose_first_message_is_not_hello_is_refused():
    async def messages() -> AsyncIterator[Any]:
        yield Announce((record(),))

    async def main() -> None:
        node = await make_node("entry", "e1")
        with pytest.raises(ProblemError):
            await MeshSession(node, opens=False).run(messages(), OPEN_S)
        assert node.directory.version == 0

    run_paused(main())


def test_a_new_configuration_is_sent_on_one_session_only():
    async def main() -> None:
        servers = [await make_node("entry", f"e{n}") for n in range(4)]
        sidecar = await make_node("sidecar", "u1")
        pipes = [Pipe(sidecar, server) for server in servers]
        await asyncio.sleep(1)
        for count, revision in enumerate((7, 8, 9), 1):
            for server in servers:
                server.store.offer(Config(revision=revision))
            await asyncio.sleep(0.05)
            assert sidecar.store.revision == revision
            assert sum(pipe.count(ConfigOffer) for pipe in pipes) == count

    run_paused(main())


def test_successive_configurations_are_each_sent_immediately():
    async def main() -> None:
        entry, sidecar = await make_node("entry", "e1"), await make_node("sidecar", "u")
        Pipe(sidecar, entry)
        await asyncio.sleep(1)
        for revision in (7, 8, 9):
            entry.store.offer(Config(revision=revision))
            await asyncio.sleep(0.05)
            assert sidecar.store.revision == revision

    run_paused(main())


def test_an_unanswered_configuration_request_is_repeated_on_another_session():
    async def main() -> None:
        servers = [await make_node("entry", f"e{n}") for n in range(2)]
        sidecar = await make_node("sidecar", "u1")
        pipes = [Pipe(sidecar, server) for server in servers]
        await asyncio.sleep(1)
        pipes[0].silent = {"opener"}
        servers[0].store.offer(Config(revision=7))
        # The request has expired; a changed record wakes its session.
        await asyncio.sleep(0.6)
        sidecar.directory.offer(record(), asyncio.get_running_loop().time())
        await asyncio.sleep(0.05)
        servers[1].store.offer(Config(revision=7))
        await asyncio.sleep(0.1)
        assert sidecar.store.revision == 7
        assert [pipe.count(ConfigOffer) for pipe in pipes] == [0, 1]

    run_paused(main())


def test_a_configuration_of_a_lower_revision_is_never_accepted():
    async def main() -> None:
        low, high = await make_node("control", "c1", 3), await make_node("entry", "e1")
        high.store.offer(Config(revision=5))
        Pipe(high, low)
        await asyncio.sleep(0.1)
        assert (low.store.revision, high.store.revision) == (5, 5)
        session = MeshSession(high, opens=False)

        async def messages() -> AsyncIterator[Any]:
            yield Hello("control", "c2", "c2-1", "z1", 9)
            yield ConfigOffer(Config(revision=4))

        await session.run(messages(), OPEN_S)
        assert high.store.revision == 5

    run_paused(main())


def test_records_are_sent_once_in_batches_and_not_to_sidecars():
    async def main() -> None:
        first, second = await make_node("entry", "e1"), await make_node("entry", "e2")
        for n in range(600):
            first.directory.offer(record(f"u{n}"), 0.0)
        pipe = Pipe(first, second)
        sidecar_pipe = Pipe(await make_node("sidecar", "u0"), first)
        await asyncio.sleep(1)
        assert len(second.directory.records(1.0)) == 600
        sizes = [len(m.records) for m in pipe.sent["opener"] if isinstance(m, Announce)]
        assert sizes == [256, 256, 88]
        assert Counter(map(type, pipe.sent["server"]))[Announce] == 0
        assert sidecar_pipe.count(Announce) == 0

    run_paused(main())


def test_the_transit_time_of_a_message_is_subtracted_from_the_lease():
    async def main() -> None:
        receiver = await make_node("entry", "e1")
        session = MeshSession(receiver, opens=False)

        async def messages() -> AsyncIterator[Any]:
            # The peer's clock is 500 s ahead; it echoes the local clock exactly.
            yield Hello("sidecar", "u1", "u1-1", "z1", 0, sent_at=500.0, echo_at=0.0)
            await asyncio.sleep(2.0)
            yield Announce((record(),), sent_at=500.5, echo_at=0.5)

        await session.run(messages(), OPEN_S)
        (current,) = receiver.directory.records(asyncio.get_running_loop().time())
        assert current.lease_s == pytest.approx(6.0 - 1.5, abs=0.01)

    run_paused(main())


def test_backoff_delays_stay_between_their_bounds_and_differ():
    backoff = Backoff(0.1, 0.5, random.Random(3))
    delays = [backoff.next_s() for _ in range(50)]
    assert delays[0] <= 0.1
    assert max(delays) <= 0.5
    assert len(set(delays)) == len(delays)
    backoff.reset()
    assert backoff.next_s() <= 0.1


def announced(pipe: Pipe, side: str) -> tuple[int, int]:
    """Return how many full records and how many renewals one side has sent."""
    sent = [m for m in pipe.sent[side] if isinstance(m, Announce)]
    return sum(len(m.records) for m in sent), sum(len(m.renewed) for m in sent)


def test_a_record_is_sent_in_full_once_and_then_renewed():
    async def main() -> None:
        control, gateway = (
            await make_node("control", "c1"),
            await make_node("gateway", "g1"),
        )
        pipe = Pipe(gateway, control)
        loop = asyncio.get_running_loop()
        for seq in range(1, 21):
            control.directory.offer(record(seq=seq), loop.time())
            await asyncio.sleep(1.0)
        assert announced(pipe, "server") == (1, 19)
        current = gateway.directory.get("u1", loop.time())
        assert current is not None and current.seq == 20
        control.directory.offer(record(seq=21, leaving=True), loop.time())
        await asyncio.sleep(0.1)
        assert announced(pipe, "server") == (2, 19)
        current = gateway.directory.get("u1", loop.time())
        assert current is not None and current.leaving

    run_paused(main())


def test_a_renewal_of_an_unknown_record_leads_to_all_records_in_full():
    async def main() -> None:
        control, gateway = (
            await make_node("control", "c1"),
            await make_node("gateway", "g1"),
        )
        pipe = Pipe(gateway, control)
        loop = asyncio.get_running_loop()
        control.directory.offer(record(), loop.time())
        control.directory.offer(record("u2", lease_s=30.0), loop.time())
        await asyncio.sleep(1.0)
        # As if the lease had expired at the gateway before the renewal arrived.
        gateway.directory.expire(loop.time() + 7.0)
        assert gateway.directory.get("u1", loop.time()) is None
        control.directory.offer(record(seq=2), loop.time())
        await asyncio.sleep(1.5)
        current = gateway.directory.get("u1", loop.time())
        assert current is not None and current.seq == 2
        assert pipe.count(RecordsWanted) == 1

    run_paused(main())


def test_a_peer_of_an_earlier_release_receives_full_records():
    async def main() -> None:
        control, gateway = (
            await make_node("control", "c1"),
            await make_node("gateway", "g1"),
        )
        hello = gateway.hello
        gateway.hello = lambda *given: replace(hello(*given), takes_renewals=False)
        pipe = Pipe(gateway, control)
        loop = asyncio.get_running_loop()
        for seq in range(1, 6):
            control.directory.offer(record(seq=seq), loop.time())
            await asyncio.sleep(1.0)
        assert announced(pipe, "server") == (5, 0)

    run_paused(main())


def test_the_bytes_of_a_session_at_the_design_size_are_bounded():
    """350 gateways and 740 upstreams; each lease of 18 s is renewed six times."""
    records, lease_s, rounds = 1_090, 18.0, 4

    def size(messages: list[Any]) -> int:
        return sum(len(encode(msg)) for msg in messages)

    async def main() -> int:
        control = await make_node("control", "c1")
        control.directory = Directory(propagation_fraction=RENEWAL_PROPAGATION_FRACTION)
        control.directory.subscribe(control._records_changed)
        pipe = Pipe(await make_node("gateway", "g1"), control)
        loop = asyncio.get_running_loop()
        for seq in range(1, 1 + rounds * 3):
            for i in range(records):
                upstream = record(f"i-{i:010x}", new_incarnation(i, random.Random(i)))
                upstream = replace(upstream, seq=seq, lease_s=lease_s, pool="a-pool")
                control.directory.offer(upstream, loop.time())
            if seq == 1:
                await asyncio.sleep(1.0)
                pipe.sent["server"].clear()
            await asyncio.sleep(lease_s / 6)
        return size(pipe.sent["server"])

    sent = run_paused(main()) / (rounds * lease_s / 2)
    # The sessions of control may take 11 KB/s at a gateway.
    assert sent <= 11_000
