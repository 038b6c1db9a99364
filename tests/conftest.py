"""Time limit of each test, and hypothesis profiles.

The profile ``ci`` runs the same examples each time; ``soak`` draws many random ones.
The environment variable HYPOTHESIS_PROFILE selects the profile.
"""

import os
from collections.abc import Generator, Iterator
from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from tests.time_bound import time_bound

TEST_BOUND_S = 240.0
"""The longest test takes under a minute on a busy machine; one that takes this long
hangs."""

_SUPPRESSED_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=_SUPPRESSED_CHECKS,
)
settings.register_profile(
    "soak",
    derandomize=False,
    deadline=None,
    max_examples=5_000,
    print_blob=True,
    suppress_health_check=_SUPPRESSED_CHECKS,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(autouse=True)
def bounded(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test that hangs, print the stacks of all threads, and run the next."""
    with time_bound(request.node.nodeid, TEST_BOUND_S):
        yield


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, Any, Any]:
    """Add the load of the machine to the report of a failed test."""
    report = yield
    if report.failed:
        report.sections.append(("load of the machine", str(os.getloadavg())))
    return report
