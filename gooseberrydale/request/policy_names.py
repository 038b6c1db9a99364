"""Names of the routing policies, for checking settings without loading their code."""

POLICY_NAMES = ("affinity", "random", "round-robin", "least-loaded", "hash-only")
