"""Hypothesis profiles: ``ci`` repeats exactly, ``soak`` looks further.

Choose with the environment variable HYPOTHESIS_PROFILE.
"""

import os
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from tests.time_bound import time_bound

TEST_BOUND_S = 240.0
"""The longest test takes under a minute on a busy machine."""

_QUIET = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, suppress_health_check=_QUIET
)
settings.register_profile(
    "soak",
    derandomize=False,
    deadline=None,
    max_examples=5_000,
    print_blob=True,
    suppress_health_check=_QUIET,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(autouse=True)
def bounded(request: pytest.FixtureRequest) -> Iterator[None]:
    """A test that hangs fails, with the stacks of all threads; the next one runs."""
    with time_bound(request.node.nodeid, TEST_BOUND_S):
        yield
