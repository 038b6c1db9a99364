"""The revision in force in a process never decreases and has a single content."""

from __future__ import annotations

import pytest

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config

FOURTH = Config(revision=4, leaving=frozenset({"e1"}))


@pytest.mark.parametrize(
    ("offered", "taken", "in_force"),
    [
        (Config(revision=3), False, 4),
        (Config(), False, 4),
        (Config(revision=4, leaving=frozenset({"e1"})), False, 4),
        (Config(revision=5), True, 5),
    ],
)
def test_only_a_newer_configuration_is_accepted(offered, taken, in_force):
    store = ConfigStore()
    assert store.offer(FOURTH)
    assert store.offer(offered) is taken
    assert store.revision == in_force
    assert store.config == (offered if taken else FOURTH)


def test_different_content_with_the_same_revision_raises():
    store = ConfigStore()
    store.offer(FOURTH)
    with pytest.raises(InvariantError, match="two configurations"):
        store.offer(Config(revision=4))
    assert store.config == FOURTH
