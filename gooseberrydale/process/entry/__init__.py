"""The entry role: serves callers over HTTP and forwards their requests to sidecars.

An entry holds no state that must survive a restart.
"""

from gooseberrydale.process.entry.entry import Entry

__all__ = ["Entry"]
