"""Replicas over real sockets and files, in one process."""

import asyncio
import errno
import random
import threading

import pytest

from gooseberrydale.connection.peer_frames import PeerAck
from gooseberrydale.connection.rpc import REPLICATE, RpcServer
from gooseberrydale.process.cfg import ControlCfg
from gooseberrydale.process.control.first_start import init_folder, recover_folder
from gooseberrydale.process.control.peers import PeerLink
from gooseberrydale.process.control.replica import Replica
from gooseberrydale.version.replication.files import OsFiles
from gooseberrydale.version.replication.messages import Envelope, JoinReq, Member
from gooseberrydale.version.replication.storage import StorageError
from tests.free_ports import free_address
from tests.relay import Relay

TOKEN = "fleet"
NAMES = ("c1", "c2", "c3")
TIMEOUT_S = 90.0
HANG_BOUND_S = 2 * TIMEOUT_S


class CountingMachine:
    """Answers each command with its position; a resent command keeps its position."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        if command not in self.commands:
            self.commands.append(command)
        return b"%d" % self.commands.index(command)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, data):
        self.commands = data.split(b"\n")


class FaultyFiles(OsFiles):
    """Real files on a disk that can be made to fill up or hang."""

    def __init__(self):
        super().__init__()
        self.full = False
        self.sync_allowed = threading.Event()
        self.sync_allowed.set()

    def sync(self, path):
        # Bounded, because a thread that waits forever would keep the test run from
        # ending.
        if not self.sync_allowed.wait(HANG_BOUND_S):
            raise OSError(errno.EIO, "the disk hung to the end of the test")
        super().sync(path)

    def append(self, path, data):
        if self.full:
            raise OSError(errno.ENOSPC, "no space")
        super().append(path, data)


class RunningReplica:
    """A running replica with its listener and state machine."""

    def __init__(self, folder, name, listen, addresses, start):
        self.cfg = ControlCfg(folder / name, replicas=addresses, snapshot_entries=20)
        self.machine = CountingMachine()
        self.files = FaultyFiles()
        self.server = RpcServer(listen, TOKEN)
        self.replica = Replica(
            self.cfg,
            TOKEN,
            self.machine,
            self.server,
            name=name,
            # A new seed for each start gives an emptied disk another identity.
            rng=random.Random(f"{name}/{start}"),
            files=self.files,
        )

    async def start(self):
        await self.server.start()
        await self.replica.start()
        return self

    async def close(self):
        await self.replica.close()
        await self.server.close()


class ReplicaGroup:
    """Replicas by name; those still running are closed at the end of the test."""

    def __init__(self, folder, names=NAMES):
        self.folder = folder
        self.listen = {name: free_address() for name in names}
        self.addresses = dict(self.listen)
        self.running = {}
        self.starts = 0

    async def start(self, *names):
        for name in names:
            listen = self.listen[name]
            self.starts += 1
            replica = RunningReplica(
                self.folder, name, listen, self.addresses, self.starts
            )
            self.running[name] = await replica.start()

    async def stop(self, *names):
        for name in names:
            await self.running.pop(name).close()

    def leader(self):
        leaders = [
            replica for replica in self.running.values() if replica.replica.is_leader
        ]
        return leaders[0] if leaders else None

    def repaired(self):
        leader = self.leader()
        if leader is None:
            return False
        repairs = leader.replica.status.repairs
        identities = {s.replica.status.identity for s in self.running.values()}
        done = {repair.identity for repair in repairs if repair.state == "done"}
        return done == identities and len(repairs) == len(done)

    async def commit(self, command):
        """Propose to the current leader until the command is committed."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                leader = self.leader()
                if leader is not None:
                    answer = await leader.replica.propose(command, 2.0)
                    if answer.is_ok():
                        return answer.unwrap()
                await asyncio.sleep(0.05)


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.05)


async def no_step(*_):
    """Do nothing; the default of the optional steps of ``run``."""


def run(folder, scenario, before=no_step, after=no_step):
    """Start a group of three and run the scenario on it."""

    async def main():
        group = ReplicaGroup(folder)
        await before(group)
        init_folder(folder / "c1", "c1")
        try:
            await group.start(*NAMES)
            await until(group.repaired)
            await scenario(group)
        finally:
            await group.stop(*group.running)
            await after()

    asyncio.run(main())


def test_commands_reach_every_replica_and_survive_a_restart(tmp_path):
    async def scenario(group):
        for number in range(50):
            assert await group.commit(b"%d" % number) == b"%d" % number
        await group.stop(*NAMES)
        await group.start(*NAMES)
        assert await group.commit(b"50") == b"50"
        machines = [replica.machine for replica in group.running.values()]
        await until(lambda: all(len(m.commands) == 51 for m in machines))

    run(tmp_path, scenario)


def test_follower_names_the_leader(tmp_path):
    async def scenario(group):
        leader = group.leader()
        follower = next(s for s in group.running.values() if s is not leader)
        problem = (await follower.replica.propose(b"x")).unwrap_err()
        assert problem.code == "not_leader" and problem.not_run is True
        address = group.addresses[leader.replica.status.name]
        assert address in problem.message
        assert follower.replica.leader_address == address

    run(tmp_path, scenario)


def test_leader_without_followers_stops_answering(tmp_path):
    async def scenario(group):
        leader = group.leader()
        others = [n for n in NAMES if n != leader.replica.status.name]
        await group.stop(*others)
        problem = (await leader.replica.propose(b"x", 10.0)).unwrap_err()
        refusals = {"no_quorum": None, "not_leader": True}  # before, after lease end
        assert problem.not_run is refusals[problem.code]
        await until(lambda: not leader.replica.may_lead())

    run(tmp_path, scenario)


def test_group_survives_two_disks_lost_one_after_the_other(tmp_path):
    async def scenario(group):
        for number in range(30):
            await group.commit(b"%d" % number)
        for name in ("c1", "c2"):
            lost = group.running[name].replica.status.identity
            await group.stop(name)
            (tmp_path / name).rename(tmp_path / f"{name}.lost")
            await group.start(name)
            assert group.running[name].replica.status.identity != lost
            await until(group.repaired)
        await group.stop("c3")
        assert await group.commit(b"30") == b"30"

    run(tmp_path, scenario)


def test_no_command_is_answered_before_two_disks_stored_it(tmp_path):
    async def scenario(group):
        leader = group.leader()
        followers = [s for s in group.running.values() if s is not leader]
        for follower in followers:
            follower.files.sync_allowed.clear()
        try:
            answer = await leader.replica.propose(b"0", 0.7)
            assert answer.unwrap_err().code == "no_quorum"
            assert not leader.machine.commands
        finally:
            for follower in followers:
                follower.files.sync_allowed.set()
        await group.commit(b"1")

    run(tmp_path, scenario)


def test_full_disk_of_the_leader_is_reported_and_the_others_commit(tmp_path):
    async def scenario(group):
        leader = group.leader()
        leader.files.full = True
        assert (await leader.replica.propose(b"0", 5.0)).unwrap() == b"0"
        await until(lambda: leader.replica.status.problem is not None)
        assert leader.replica.status.problem.code == "disk_full"
        assert (await leader.replica.propose(b"1", 5.0)).unwrap() == b"1"
        leader.files.full = False
        await until(lambda: leader.replica.status.problem is None)
        assert await group.commit(b"2") == b"2"
        # Commands that the full disk could not store are present after a restart.
        await group.stop(*NAMES)
        await group.start(*NAMES)
        await until(lambda: leader_has(group, [b"0", b"1", b"2"]))

    run(tmp_path, scenario)


def leader_has(group, commands):
    return all(
        [c for c in commands if c in replica.machine.commands] == commands
        for replica in group.running.values()
    )


def test_full_disk_of_the_leader_refuses_if_the_others_make_no_quorum(tmp_path):
    async def scenario(group):
        leader = group.leader()
        others = [
            name for name, replica in group.running.items() if replica is not leader
        ]
        leader.files.full = True
        assert (await leader.replica.propose(b"0", 5.0)).unwrap() == b"0"
        await until(lambda: leader.replica.status.problem is not None)
        await group.stop(others[0])
        problem = (await leader.replica.propose(b"1", 0.5)).unwrap_err()
        assert (problem.code, problem.not_run) == ("disk_full", None)
        leader.files.full = False
        await group.start(others[0])
        await until(lambda: leader.replica.status.problem is None)
        await group.commit(b"2")

    run(tmp_path, scenario)


def test_lost_majority_needs_a_recovery_by_the_operator(tmp_path):
    async def scenario(group):
        await group.commit(b"0")
        await until(lambda: all(s.machine.commands for s in group.running.values()))
        await group.stop(*NAMES)
        for name in ("c1", "c2"):
            (tmp_path / name).rename(tmp_path / f"{name}.lost")
        await group.start(*NAMES)
        await asyncio.sleep(4.0)
        assert group.leader() is None
        await group.stop("c3")
        report = recover_folder(tmp_path / "c3", "c3", force=True)
        assert "lost disks are gone" in report.warning
        await group.start("c3")
        await until(group.repaired)
        assert await group.commit(b"1") == b"1"

    run(tmp_path, scenario)


def test_silent_connections_are_replaced(tmp_path):
    relays = []

    async def put_relays_between(group):
        for name, address in group.listen.items():
            relay = Relay(int(address.rpartition(":")[2]))
            await relay.start()
            relays.append(relay)
            group.addresses[name] = relay.address

    async def scenario(group):
        for relay in relays:
            relay.silence_open()
        assert await group.commit(b"0") == b"0"
        await until(group.repaired)

    async def remove_relays():
        for relay in relays:
            await relay.close()

    run(tmp_path, scenario, put_relays_between, remove_relays)


def test_unacknowledged_stream_is_replaced():
    arrived = asyncio.Queue()
    streams = []

    async def serve(batches):
        streams.append(batches)
        async for batch in batches:
            if len(streams) > 1:
                arrived.put_nowait(batch)
                yield PeerAck()

    async def main():
        server = RpcServer("127.0.0.1:0", TOKEN)
        server.streaming(REPLICATE, serve)
        await server.start()
        link = PeerLink(f"127.0.0.1:{server.port}", TOKEN)
        link.start()
        async with asyncio.timeout(TIMEOUT_S):
            while arrived.empty():
                link.send(Envelope("x", Member("c1", "a"), "b", JoinReq()))
                await asyncio.sleep(0.1)
        await link.close()
        await server.close()

    asyncio.run(main())


def test_init_never_replaces_a_log(tmp_path):
    init_folder(tmp_path / "c1", "c1")
    with pytest.raises(StorageError, match="first start only"):
        init_folder(tmp_path / "c1", "c1")
    with pytest.raises(StorageError, match="holds no log"):
        recover_folder(tmp_path / "c2", "c2", force=True)
