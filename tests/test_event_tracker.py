"""Where the events of a byte stream end, however its bytes arrive."""

from __future__ import annotations

import pytest

from gooseberrydale.connection.sse import EventTracker

# What arrived, and whether that is in the middle of an event.
STREAMS: dict[str, tuple[bytes, bool]] = {
    "nothing": (b"", False),
    "an event": (b"id: 1\ndata: a\n\n", False),
    "events of CRLF lines": (b"data: a\r\n\r\ndata: b\r\n\r\n", False),
    "events of CR lines": (b"data: a\r\rdata: b\r\r", False),
    "lines of both kinds": (b"data: a\n\r\ndata: b\r\n\n", False),
    "further blank lines": (b"\n\ndata: a\n\n\n\n", False),
    "a comment after an event": (b"data: a\n\n: ping\n", False),
    "part of a comment": (b"data: a\n\n: pi", False),
    "an event after a comment": (b": ping\ndata: a\n\n", False),
    "part of a line": (b"data: a\n\ndata: b", True),
    "part of a field name": (b"data: a\n\ni", True),
    "a line without a blank line": (b"data: a\n", True),
    "a CRLF line without a blank line": (b"data: a\r\n", True),
    "half of the blank line's CRLF is missing": (b"data: a\r\n\r", False),
    "a comment within an event": (b"data: a\n: ping\n", True),
}


@pytest.mark.parametrize("case", STREAMS)
def test_tracker_knows_whether_the_stream_is_within_an_event(case: str) -> None:
    stream, inside = STREAMS[case]
    for size in range(1, len(stream) + 2):
        tracker = EventTracker()
        for start in range(0, len(stream), size):
            tracker.feed(stream[start : start + size])
            tracker.feed(b"")
        assert tracker.inside is inside, f"in chunks of {size} bytes"
