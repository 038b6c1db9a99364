"""The entry role: serves callers over HTTP and hands their requests to sidecars.

Lives as long as the process and keeps nothing that a restart may lose.
"""

from gooseberrydale.process.entry.entry import Entry

__all__ = ["Entry"]
