"""The log of an open group: first start, standbys, replaced and wiped replicas."""

import random

import pytest

from gooseberrydale.version.replication.bootstrap import common_start
from gooseberrydale.version.replication.core import Role
from tests.builders_replication import STEP_S, OpenCluster

SEEDS = {"c1", "c2", "c3"}


@pytest.mark.parametrize("order", [("c1", "c2", "c3"), ("c3", "c1", "c2")])
def test_every_seed_begins_with_the_same_log(order):
    assert common_start(order) == common_start(sorted(order))


@pytest.mark.parametrize("absent", ["c1", "c2", "c3"])
def test_seeds_begin_without_waiting_for_all_of_them(absent):
    cluster = OpenCluster(3)
    cluster.crash(cluster.replicas[absent])
    cluster.commit()
    cluster.heal()
    cluster.commit()
    assert cluster.voters() == SEEDS


@pytest.mark.parametrize("seed", range(4))
def test_an_additional_replica_follows_without_a_vote(seed):
    cluster = OpenCluster(4, seed)
    cluster.commit()
    assert cluster.voters() == SEEDS
    assert cluster.replicas["c4"].machine[0] == cluster.leader().machine[0]


@pytest.mark.parametrize("seed", range(4))
def test_a_standby_replaces_a_crashed_voter(seed):
    cluster = OpenCluster(4, seed)
    cluster.commit()
    crashed = next(r for r in cluster.running() if r is not cluster.leader())
    if crashed.name == "c4":
        crashed = cluster.replicas[min(SEEDS - {cluster.leader().name})]
    cluster.crash(crashed)
    cluster.run_until(
        lambda: cluster.voters() == {"c1", "c2", "c3", "c4"} - {crashed.name}
    )
    # The group now tolerates the loss of another voter; the first one restarts as a
    # standby.
    other = next(
        r for r in cluster.running() if r is not cluster.leader() and r is not crashed
    )
    cluster.crash(other)
    cluster.restart(crashed)
    cluster.commit()


@pytest.mark.parametrize("seed", range(4))
def test_a_voter_keeps_its_vote_over_a_short_absence(seed):
    cluster = OpenCluster(4, seed)
    cluster.commit()
    voters = cluster.voters()
    absent = cluster.replicas[min(voters - {cluster.leader().name})]
    cluster.crash(absent)
    cluster.run(1.0)
    cluster.restart(absent)
    cluster.commit()
    assert cluster.voters() == voters


@pytest.mark.parametrize("seed", range(6))
def test_a_wiped_and_an_outdated_voter_elect_no_leader_without_the_third(seed):
    cluster = OpenCluster(3, seed)
    cluster.commit()
    outdated, wiped, unavailable = (
        cluster.replicas[name] for name in ("c1", "c2", "c3")
    )
    cluster.cuts = {
        pair for other in ("c2", "c3") for pair in (("c1", other), (other, "c1"))
    }
    cluster.run_until(lambda: cluster.leader() not in (None, outdated))
    cluster.propose(cluster.leader())
    index = cluster.leader().node.last_index
    cluster.run_until(lambda: min(wiped.machine[0], unavailable.machine[0]) >= index)
    cluster.crash(unavailable)
    cluster.wipe(wiped)
    cluster.restart(wiped)
    cluster.cuts.clear()
    for _ in range(int(20 / STEP_S)):
        cluster.run(STEP_S)
        assert cluster.leader() is None
    cluster.restart(unavailable)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run_until(lambda: all(r.machine[0] >= index for r in cluster.running()))


@pytest.mark.parametrize("seed", range(6))
def test_group_survives_two_disks_lost_one_after_the_other(seed):
    cluster = OpenCluster(4, seed)
    cluster.commit()
    for name in ("c1", "c2"):
        cluster.wipe(cluster.replicas[name])
        cluster.run(0.5)
        cluster.restart(cluster.replicas[name])
        cluster.run(4.0)
    cluster.commit()


def test_a_follower_redirects_a_joining_replica_to_the_leader():
    cluster = OpenCluster(4, seed=3)
    cluster.commit()
    # The new replica can reach the leader only through a follower.
    leader, new = cluster.leader(), cluster.replicas["c4"]
    cluster.crash(new)
    new.stored = type(new.stored)()
    cluster.cuts = {("c4", leader.name)}
    cluster.restart(new)
    cluster.run_until(lambda: new.node.state.cluster != "")


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_lose_no_entry(seed):
    """Random crashes, message loss and slow syncs must not break the log.

    The cluster checks the order of entries, leases and leaders at each step.
    """
    rng = random.Random(seed)
    cluster = OpenCluster(4, seed)
    cluster.commit()
    for _ in range(12):
        cluster.run(2.0, loss=0.1, repeat=0.1, load=0.3, sync=0.6, restarts=0.01)
        victim = cluster.replicas[rng.choice(cluster.names)]
        if victim.node is not None and rng.random() < 0.5:
            cluster.crash(victim, rng.randrange(4))
            cluster.run(rng.uniform(0.1, 4.0), load=0.3)
            cluster.restart(victim)
    cluster.heal()
    cluster.commit()


@pytest.mark.parametrize("seed", range(4))
def test_noted_commits_are_applied_before_an_election(seed):
    cluster = OpenCluster(3, seed)
    index = cluster.commit()
    cluster.run(1.0)
    for replica in cluster.replicas.values():
        cluster.crash(replica)
    for replica in cluster.replicas.values():
        cluster.restart(replica)
        assert replica.node.role is Role.FOLLOWER
        assert replica.machine[0] >= index
        assert not replica.node.caught_up
    cluster.commit()


SPREAD = {"a": 1, "b": 1, "c": 1}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("zones", "max_voters", "spread"),
    [
        (("a", "a", "a", "b", "c"), 3, SPREAD),
        (("a", "a", "b", "c", "c"), 3, SPREAD),
        (("a", "a", "a", "a", "b", "b", "c", "c"), 5, {"a": 2, "b": 2, "c": 1}),
        (("a", "a", "a", "b"), 3, {"a": 2, "b": 1}),
    ],
)
def test_voters_are_spread_over_zones(zones, max_voters, spread, seed):
    """Guards against a zone whose loss takes the majority."""
    cluster = OpenCluster(len(zones), seed, zones=zones, max_voters=max_voters)

    def counts():
        return sorted(cluster.voters_by_zone().values())

    cluster.run_until(lambda: counts() == sorted(spread.values()))
    voters = cluster.voters()
    cluster.commit()
    cluster.run(10.0)
    assert cluster.voters() == voters


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("wiped", [False, True], ids=["disks kept", "disks lost"])
def test_group_survives_the_loss_of_each_zone_in_turn(wiped, seed):
    """Guards against a group that shrinks if zones are lost instead of replicas."""
    zones = ("a", "b", "c", "a", "b", "c")
    cluster = OpenCluster(6, seed, zones=zones)
    cluster.commit()
    for zone in "abcabc":
        lost = [r for r in cluster.replicas.values() if cluster.zones[r.name] == zone]
        for replica in lost:
            if wiped:
                cluster.wipe(replica)
            else:
                cluster.crash(replica)
        cluster.run(6.0)
        cluster.commit()
        for replica in lost:
            cluster.restart(replica)
        cluster.run_until(lambda: cluster.voters_by_zone() == SPREAD)


@pytest.mark.parametrize("seed", range(4))
def test_voters_are_not_moved_if_zones_are_not_tolerated(seed):
    cluster = OpenCluster(5, seed)
    cluster.commit()
    cluster.run(10.0)
    assert cluster.voters() == SEEDS
