"""Names of the routing policies, to validate settings without importing the code."""

POLICY_NAMES = ("affinity", "random", "round-robin", "least-loaded", "hash-only")
