"""Hypothesis profiles: ``ci`` repeats exactly, ``soak`` looks further.

Choose with the environment variable HYPOTHESIS_PROFILE.
"""

import os

from hypothesis import HealthCheck, settings

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
