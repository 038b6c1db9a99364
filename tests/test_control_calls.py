"""Calls between control and other processes, over real sockets on loopback."""

from __future__ import annotations

import asyncio
import random

import pytest

from gooseberrydale.connection.control_client import (
    CALL_TIMEOUT_S,
    SILENT_AFTER_S,
    ControlClient,
)
from gooseberrydale.connection.control_messages import (
    Ack,
    ClaimReply,
    OrderReply,
    OrderReq,
    OrderState,
)
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.rpc import ORDER, PROPOSE, RpcServer
from gooseberrydale.errors import INTERNAL, NO_QUORUM, NOT_LEADER, problem
from gooseberrydale.process.control import Control
from gooseberrydale.process.control.order_sender import RETRY_S
from gooseberrydale.process.control.proposer import InMemoryProposer
from gooseberrydale.version.known_controls import ControlMembers, KnownControls
from tests.builders_control import claim, order
from tests.builders_operators import ANY_PORT, FLEET_TOKEN, running_control
from tests.relay import Relay, RelayMode

TIMEOUT_S = 20.0
UNREACHABLE = "127.0.0.1:1"


class FakeSidecar:
    """Answers orders with the given replies in turn, then repeats the last one."""

    def __init__(self, *answers: OrderReply) -> None:
        self.answers = list(answers)
        self.orders: list[OrderReq] = []
        self.server = RpcServer(ANY_PORT, FLEET_TOKEN)
        self.server.unary(ORDER, self.handle)

    async def handle(self, req: OrderReq) -> OrderReply:
        self.orders.append(req)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def announce(self, control: Control) -> None:
        await self.server.start()
        address = f"127.0.0.1:{self.server.port}"
        now = asyncio.get_running_loop().time()
        record = UpstreamRecord("e1", "i", 1, address, "z", "r", "p", "completion")
        control.directory.offer(record, now)


REFUSED = problem(INTERNAL)
WORKING = OrderReply(1, finished=False)


@pytest.mark.parametrize(
    ("answers", "state", "calls"),
    [
        ([OrderReply(1, True)], OrderState.DONE, 1),
        ([WORKING, OrderReply(1, True)], OrderState.DONE, 2),
        ([OrderReply(1, True, REFUSED)], OrderState.FAILED, 1),
    ],
)
def test_issued_order_reaches_the_sidecar_and_its_outcome_is_committed(
    answers, state, calls
):
    async def main() -> None:
        sidecar = FakeSidecar(*answers)
        async with running_control() as control, asyncio.timeout(TIMEOUT_S):
            await sidecar.announce(control)
            (await control._commit.submit(order("e1"))).unwrap()
            while control.state.orders.orders[0].state is OrderState.ISSUED:
                await asyncio.sleep(0.01)
            assert control.state.orders.orders[0].state is state
            await sidecar.server.close()
        assert [req.number for req in sidecar.orders] == [1] * calls

    asyncio.run(main())


def test_unanswered_order_is_lost_after_its_deadline():
    async def main() -> None:
        async with running_control(order_deadline_s=0.2) as control:
            async with asyncio.timeout(TIMEOUT_S):
                while control.state.limits.order_deadline_s != 0.2:
                    await asyncio.sleep(0.01)
                (await control._commit.submit(order("e1"))).unwrap()
                while control.state.orders.orders[0].state is not OrderState.LOST:
                    await asyncio.sleep(0.01)

    asyncio.run(main())


def test_only_the_leader_sends_orders(monkeypatch):
    async def main() -> None:
        sidecar = FakeSidecar(OrderReply(1, True))
        async with running_control() as control, asyncio.timeout(TIMEOUT_S):
            (await control._commit.submit(order("e1"))).unwrap()
            with monkeypatch.context() as deposed:
                deposed.setattr(InMemoryProposer, "leads", False)
                await sidecar.announce(control)
                await asyncio.sleep(3 * RETRY_S)
                assert sidecar.orders == []
            while control.state.orders.issued():
                await asyncio.sleep(0.01)
            await sidecar.server.close()
        assert len(sidecar.orders) == 1

    asyncio.run(main())


class FakeReplica:
    """A control replica that gives the same reply to every request."""

    def __init__(self, reply: ClaimReply) -> None:
        self.reply = reply
        self.requests = 0
        self.delays_s: list[float] = []
        self.server = RpcServer(ANY_PORT, FLEET_TOKEN)
        self.server.unary(PROPOSE, self.handle)

    async def handle(self, _req: object) -> ClaimReply:
        self.requests += 1
        if self.delays_s:
            await asyncio.sleep(self.delays_s.pop(0))
        return self.reply

    async def start(self) -> str:
        await self.server.start()
        return f"127.0.0.1:{self.server.port}"

    async def start_once(self) -> str:
        """Start unless it has been started."""
        if not self.server.port:
            await self.server.start()
        return f"127.0.0.1:{self.server.port}"


def test_client_follows_the_redirect_to_the_leader_and_keeps_using_it():
    async def main() -> None:
        leader = FakeReplica(ClaimReply(granted=True))
        address = await leader.start()
        not_leader = problem(NOT_LEADER, leader=address)
        follower = FakeReplica(ClaimReply(problem=not_leader, leader=address))
        client = ControlClient(KnownControls([await follower.start()]), FLEET_TOKEN)
        for _ in range(3):
            assert (await client.ask(claim(), TIMEOUT_S)).unwrap().granted
        assert (follower.requests, leader.requests) == (1, 3)
        await client.close()
        await leader.server.close()
        await follower.server.close()

    asyncio.run(main())


def test_client_skips_unreachable_replicas_and_those_without_quorum():
    async def main() -> None:
        cut_off = FakeReplica(ClaimReply(problem=problem(NO_QUORUM)))
        leader = FakeReplica(ClaimReply(granted=True))
        addresses = [UNREACHABLE, await cut_off.start(), await leader.start()]
        for seed in range(4):
            client = ControlClient(
                KnownControls(addresses), FLEET_TOKEN, rng=random.Random(seed)
            )
            assert (await client.ask(claim(), TIMEOUT_S)).unwrap().granted
            await client.close()
        assert cut_off.requests
        await leader.server.close()
        await cut_off.server.close()

    asyncio.run(main())


def test_a_call_that_times_out_does_not_fail_concurrent_calls():
    async def main() -> None:
        replica = FakeReplica(ClaimReply(granted=True))
        client = ControlClient(KnownControls([await replica.start()]), FLEET_TOKEN)
        replica.delays_s = [3 * CALL_TIMEOUT_S, 0.8 * CALL_TIMEOUT_S]
        first = asyncio.create_task(client.ask(claim("k1"), TIMEOUT_S))
        await asyncio.sleep(0.5 * CALL_TIMEOUT_S)
        second = await client.ask(claim("k2"), TIMEOUT_S)
        assert second.unwrap().granted and (await first).unwrap().granted
        assert replica.requests == 3
        await client.close()
        await replica.server.close()

    asyncio.run(main())


ASK_S = 0.9


@pytest.mark.parametrize("open_first", [False, True])
def test_silent_replica_does_not_hold_the_client_for_all_of_its_time(open_first):
    """The replica is silent before it is connected, or falls silent afterwards."""

    async def main() -> None:
        silent, other = (FakeReplica(ClaimReply(granted=True)) for _ in range(2))
        await silent.start()
        relay = Relay(silent.server.port)
        await relay.start()
        for seed in range(6):
            controls = KnownControls([relay.address])
            client = ControlClient(controls, FLEET_TOKEN, rng=random.Random(seed))
            if open_first:
                assert (await client.ask(claim(), TIMEOUT_S)).unwrap().granted
            await relay.set_mode(RelayMode.SILENT)
            members = (relay.address, await other.start_once())
            controls.offer(ControlMembers(1, members))
            assert (await client.ask(claim(), ASK_S)).unwrap().granted
            await client.close()
            await relay.set_mode(RelayMode.FORWARD)
        assert other.requests
        await relay.close()
        await silent.server.close()
        await other.server.close()

    asyncio.run(main())


def test_slow_replica_answers_while_another_one_is_asked():
    async def main() -> None:
        slow = FakeReplica(ClaimReply(granted=True))
        slow.delays_s = [3 * SILENT_AFTER_S]
        address = await slow.start()
        not_leader = problem(NOT_LEADER, leader=address)
        follower = FakeReplica(ClaimReply(problem=not_leader, leader=address))
        addresses = [address, await follower.start()]
        client = ControlClient(KnownControls(addresses), FLEET_TOKEN)
        assert (await client.ask(claim(), ASK_S)).unwrap().granted
        assert slow.requests == 1 and follower.requests
        await client.close()
        await slow.server.close()
        await follower.server.close()

    asyncio.run(main())


def test_client_reports_that_no_replica_can_commit():
    async def main() -> None:
        client = ControlClient(KnownControls([UNREACHABLE]), FLEET_TOKEN)
        refused = (await client.ask(claim(), 0.3)).unwrap_err()
        assert (refused.code, refused.retry_after_s) == ("claim_unavailable", 1.0)
        await client.close()

    asyncio.run(main())


def test_a_permanent_refusal_is_returned_without_a_retry():
    async def main() -> None:
        replica = FakeReplica(Ack(problem=problem(INTERNAL)))  # type: ignore[arg-type]
        client = ControlClient(KnownControls([await replica.start()]), FLEET_TOKEN)
        reply = (await client.ask(claim(), TIMEOUT_S)).unwrap()
        assert reply.problem.code == "internal" and replica.requests == 1
        await client.close()
        await replica.server.close()

    asyncio.run(main())
