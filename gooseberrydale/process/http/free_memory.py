"""Returns memory that the C library keeps free to the operating system.

The allocator keeps what was freed below blocks that are still in use.  After a crowd of
large requests, that may be most of what a process has.
"""

from __future__ import annotations

import ctypes


def return_free_memory() -> None:
    """Return what is free, where the C library offers it: glibc's malloc_trim(3)."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
