"""The names that settings may hold are those of the policies."""

from gooseberrydale.request.baselines import POLICIES
from gooseberrydale.request.policy_names import POLICY_NAMES


def test_every_policy_can_be_named() -> None:
    assert POLICY_NAMES == tuple(POLICIES)
