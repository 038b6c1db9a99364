"""The log of large commands is bounded by their size."""

from dataclasses import replace

import pytest

from tests.builders_replication import FakeCluster, small_cfg

BOUND = 1_000
SIZE = 300
ENTRIES = 1_000
"""More than are proposed, so that only sizes make the log compact."""


@pytest.fixture
def cluster():
    cluster = FakeCluster(3)
    cluster.cfg = replace(
        small_cfg(cluster.names),
        snapshot_entries=ENTRIES,
        keep_entries=ENTRIES,
        snapshot_bytes=BOUND,
        keep_bytes=BOUND,
    )
    for replica in cluster.replicas.values():
        cluster.crash(replica)
        cluster.restart(replica)
    cluster.run_until(cluster.full)
    return cluster


def commit(cluster, count):
    """Commit large commands; return the most bytes of data that a log has had."""
    largest = 0
    for _ in range(count):
        cluster.run_until(lambda: cluster.leader() is not None)
        cluster.propose(cluster.leader(), b"x" * SIZE)
        index = cluster.leader().node.last_index
        cluster.run_until(lambda: all(r.machine[0] >= index for r in cluster.running()))
        logs = [replica.node._core.log for replica in cluster.running()]
        sizes = [log.data_bytes(log.base_index + 1, log.last_index) for log in logs]
        largest = max(largest, *sizes)
    return largest


def test_logs_hold_a_bounded_size_of_large_commands(cluster):
    """Guards against memory that grows with the size of the configuration."""
    # Each bound may be passed by one entry: those before a snapshot, and those after.
    assert commit(cluster, 40) <= 2 * (BOUND + SIZE)


def test_a_replica_that_is_behind_catches_up_with_a_log_bounded_by_size(cluster):
    behind = next(r for r in cluster.running() if r is not cluster.leader())
    cluster.crash(behind)
    commit(cluster, 20)
    cluster.restart(behind)
    commit(cluster, 1)
    assert len(set(r.machine for r in cluster.running())) == 1


def test_a_command_over_the_bound_is_committed_and_read_back(cluster):
    cluster.cfg = replace(cluster.cfg, snapshot_bytes=10, keep_bytes=10)
    for replica in cluster.replicas.values():
        cluster.crash(replica)
        cluster.restart(replica)
    commit(cluster, 5)
    for replica in cluster.replicas.values():
        cluster.crash(replica)
        cluster.restart(replica)
    commit(cluster, 1)
