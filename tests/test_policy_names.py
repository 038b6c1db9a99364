"""Settings accept exactly the names of the routing policies."""

from gooseberrydale.request.baselines import POLICIES
from gooseberrydale.request.policy_names import POLICY_NAMES


def test_the_names_are_those_of_the_policies() -> None:
    assert POLICY_NAMES == tuple(POLICIES)
