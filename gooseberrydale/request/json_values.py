"""Counts the values of JSON text before it is decoded.  Pure.

A decoded value takes up to a hundred times its text, so that a limit on bytes doesn't
bound the memory of what is decoded.
"""

from __future__ import annotations

import re

VALUE = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{]', re.DOTALL)
"""A string, or the start of an array or object."""


def has_more_values(data: bytes | bytearray, limit: int) -> bool:
    """Whether valid JSON has more than ``limit`` strings, objects and arrays."""
    # Quotes and brackets within strings count here too.
    most = data.count(b'"') // 2 + data.count(b"{") + data.count(b"[")
    if most <= limit:
        return False
    # The search ends with the first value beyond the limit.
    return any(number > limit for number, _ in enumerate(VALUE.finditer(data), 1))
