"""A randomised soak test of the real programs, as separate processes on one machine.

A seed determines which faults are injected and when.  Faults are signals to processes,
relays that disturb the connections between them, and deleted data folders.  Meanwhile
callers send requests.  At the end the guarantees of the product are checked against the
answers that callers received and the runs that upstreams recorded.
"""
