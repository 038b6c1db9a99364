"""Long random runs of three and five replicas with all kinds of faults combined.

``FakeCluster`` and the InvariantErrors of the code check that each term has one leader,
committed entries never change, applied prefixes are equal, and at most one replica may
answer, which has everything committed.
"""

import os
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from tests.builders_replication import NAMES, formed

SOAK = os.environ.get("HYPOTHESIS_PROFILE") == "soak"
RUNS = settings(
    max_examples=settings.default.max_examples if SOAK else 20,
    stateful_step_count=60 if SOAK else 20,
)
LONG_RUNS = 500 if SOAK else 60
names = st.sampled_from(NAMES)
times = st.sampled_from([0.1, 0.3, 1.0, 3.0])


class _Runs(RuleBasedStateMachine):
    """The rules inject faults or let time pass; subclasses set the cluster size."""

    size = 3

    def __init__(self):
        super().__init__()
        self.cluster = formed(self.size)

    def pick(self, name):
        index = NAMES.index(name) % self.size
        return self.cluster.replicas[NAMES[index]]

    @rule(seconds=times, seed=st.integers(0, 1000))
    def calm(self, seconds, seed):
        self.cluster.rng.seed(seed)
        self.cluster.run(seconds)

    @rule(
        seconds=times,
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        repeat=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.02, 0.3, 1.5]),
        sync=st.sampled_from([1.0, 0.3, 0.05]),
        load=st.sampled_from([0.0, 0.1, 0.5]),
        restarts=st.sampled_from([0.0, 0.0, 0.02, 0.1]),
        seed=st.integers(0, 1000),
    )
    def storm(self, seconds, seed, **faults):
        self.cluster.rng.seed(seed)
        self.cluster.run(seconds, **faults)

    @rule(name=names, count=st.integers(1, 8))
    def propose(self, name, count):
        replica = self.cluster.leader() or self.pick(name)
        if replica.node is not None:
            for _ in range(count):
                self.cluster.propose(replica)

    @rule(name=names)
    def propose_anywhere(self, name):
        if self.pick(name).node is not None:
            self.cluster.propose(self.pick(name))

    @rule(source=names, sink=names)
    def cut_one_way(self, source, sink):
        self.cluster.cuts.add((self.pick(source).name, self.pick(sink).name))

    @rule(name=names)
    def isolate(self, name):
        alone = self.pick(name)
        for other in self.cluster.others(alone):
            self.cluster.cuts |= {(alone.name, other.name), (other.name, alone.name)}

    @rule()
    def isolate_leader(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.isolate(leader.name)

    @rule(name=names)
    def cut_from_leader(self, name):
        leader = self.cluster.leader()
        if leader is not None:
            ends = (leader.name, self.pick(name).name)
            self.cluster.cuts |= {ends, ends[::-1]}

    @rule(kept=st.integers(0, 2))
    def followers_lose_power(self, kept):
        """Followers lose unsynced data and must continue without the leader."""
        leader = self.cluster.leader()
        if leader is not None:
            self.isolate(leader.name)
            for follower in self.cluster.others(leader):
                self.cluster.crash(follower, kept)
                self.cluster.restart(follower)

    @rule()
    def mend_cuts(self):
        self.cluster.cuts.clear()

    @rule()
    def freeze_leader(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.frozen.add(leader.name)

    @rule(name=names)
    def freeze(self, name):
        self.cluster.frozen.add(self.pick(name).name)

    @rule()
    def thaw(self):
        self.cluster.frozen.clear()

    @rule(name=names, kept=st.integers(0, 4))
    def crash(self, name, kept):
        self.cluster.crash(self.pick(name), kept)

    @rule(name=names, kept=st.integers(0, 4))
    def crash_and_restart(self, name, kept):
        self.cluster.crash(self.pick(name), kept)
        self.cluster.restart(self.pick(name))

    @rule()
    def restart_all(self):
        for replica in self.cluster.replicas.values():
            if replica.node is None:
                self.cluster.restart(replica)

    @rule(name=names)
    def lose_disk(self, name):
        if self.cluster.may_wipe(self.pick(name)):
            self.cluster.wipe(self.pick(name))
            self.cluster.restart(self.pick(name))

    @rule()
    def lose_disk_right_after_repair(self):
        self.cluster.heal()
        self.cluster.run_until(self.cluster.full)
        victim = self.cluster.leader()
        assert self.cluster.may_wipe(victim), "repair was reported too early"
        self.cluster.wipe(victim)
        self.cluster.restart(victim)

    @rule(seed=st.integers(0, 2**32))
    def many_faults(self, seed):
        """A schedule of random faults that is longer than the generated runs."""
        random_faults(self, random.Random(seed), 25)

    def teardown(self):
        """After all faults end, the cluster must repair itself and commit again."""
        cluster = self.cluster
        cluster.heal()
        cluster.run_until(cluster.full)
        before = len(cluster.answered)
        cluster.run_until(lambda: self._proposal_succeeds(before))
        cluster.run_until(self._all_replicas_agree)

    def _proposal_succeeds(self, before):
        """Propose again, as a caller does if the leader changed before its reply."""
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.propose(leader)
        return len(self.cluster.answered) > before

    def _all_replicas_agree(self):
        newest = max(self.cluster.committed)
        same = (newest, self.cluster.committed[newest][1])
        return all(r.machine == same for r in self.cluster.replicas.values())


def random_faults(runs, rng, count):
    """Apply ``count`` random faults with a storm after each."""

    def anyone():
        return rng.choice(NAMES)

    def kept():
        return rng.randrange(4)

    faults = (
        lambda: runs.cut_one_way(anyone(), anyone()),
        lambda: runs.cut_from_leader(anyone()),
        lambda: runs.isolate(anyone()),
        runs.isolate_leader,
        runs.freeze_leader,
        lambda: runs.freeze(anyone()),
        runs.thaw,
        runs.mend_cuts,
        runs.mend_cuts,
        lambda: runs.crash(anyone(), kept()),
        lambda: runs.crash_and_restart(anyone(), kept()),
        runs.restart_all,
        runs.restart_all,
        lambda: runs.followers_lose_power(kept()),
        lambda: runs.lose_disk(anyone()),
        lambda: runs.propose(anyone(), rng.randint(1, 8)),
        lambda: runs.propose_anywhere(anyone()),
    )
    for _ in range(count):
        if rng.random() < 0.25:
            runs.cluster.heal()
            runs.calm(rng.choice([1.0, 3.0, 5.0]), rng.random())
        rng.choice(faults)()
        runs.storm(
            seconds=rng.choice([0.1, 0.3, 1.0, 3.0]),
            seed=rng.random(),
            loss=rng.choice([0.0, 0.0, 0.1, 0.5]),
            repeat=rng.choice([0.0, 0.3]),
            delay_s=rng.choice([0.02, 0.3, 1.5]),
            sync=rng.choice([1.0, 0.3, 0.05]),
            load=rng.choice([0.0, 0.1, 0.5]),
            restarts=rng.choice([0.0, 0.0, 0.02, 0.1]),
        )


class _FiveRuns(_Runs):
    size = 5


@pytest.mark.parametrize("runs", [_Runs, _FiveRuns])
def test_no_fault_breaks_agreement(runs):
    run_state_machine_as_test(runs, settings=RUNS)


@pytest.mark.parametrize("runs", [_Runs, _FiveRuns])
@pytest.mark.parametrize("seed", range(LONG_RUNS))
def test_long_random_schedule_keeps_agreement(runs, seed):
    run = runs()
    random_faults(run, random.Random(seed), 60)
    run.teardown()
