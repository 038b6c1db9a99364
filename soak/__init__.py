"""A randomised soak of the real programs as separate processes on one machine.

A seed decides which faults come when.  They are injected from outside: signals to the
processes, a relay between them, folders that are emptied.  While callers go on, and
afterwards, the promises of the product are checked from what callers and upstreams see.
"""
