"""Requests sent ahead are read one at a time, however their bytes arrive."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.process.http.message_ends import MessageEnds
from gooseberrydale.process.http.request_framing import make_parser

HEAD = b"POST /%d HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REQUESTS = {
    "without a body": HEAD + b"\r\n",
    "with an empty body": HEAD + b"content-length: 0\r\n\r\n",
    "with a body": HEAD + b"content-length: 12\r\n\r\nGET / HTTP\r\n",
    "with a body of empty lines": HEAD + b"content-length: 8\r\n\r\n" + b"\r\n" * 4,
    "in chunks": CHUNKED + b"4\r\nword\r\n8\r\n\r\n\r\n\r\n\r\n\r\n0\r\n\r\n",
    "in chunks with trailers": CHUNKED + b"4\r\nword\r\n0\r\nx: y\r\nz: 1\r\n\r\n",
    "in chunks of zeros": CHUNKED + b"6\r\n\r\n0\r\n\r\r\n00\r\n\r\n",
    "in chunks that look like ends": CHUNKED
    + b"c\r\n\n0\r\n\r\n0\n0\r\n\r\r\n05\r\n0\r\n\r\n\r\n0;a=b\r\nx: 0\r\n\r\n",
    "after empty lines": b"\r\n\r\n" + HEAD + b"\r\n",
}


class Reader:
    """Parses sections and notes after which of them requests ended."""

    def __init__(self) -> None:
        self.parser = make_parser(self)
        self.ends = MessageEnds()
        self.headers: list[tuple[bytes, bytes]] = []
        self.ended = 0
        self.bodies = [b""]

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.ends.head_complete(self.headers)
        self.headers = []

    def on_body(self, body: bytes) -> None:
        self.bodies[-1] += body

    def on_message_complete(self) -> None:
        self.ended += 1
        self.bodies.append(b"")
        self.ends.message_complete()

    def read(self, data: bytes) -> int:
        """Parse all; return the most requests that ended within one section."""
        most = 0
        view = memoryview(data)
        while len(view):
            before = self.ended
            size = self.ends.section(view)
            assert 1 <= size <= len(view)
            self.parser.feed_data(view[:size])
            view = view[size:]
            most = max(most, self.ended - before)
        return most


def cut(data: bytes, rng: random.Random, longest: int) -> list[bytes]:
    pieces = []
    while data:
        size = rng.randint(1, longest)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


@pytest.mark.parametrize("longest", [1, 2, 3, 7, 50, 10_000])
def test_no_section_has_the_end_of_more_than_one_request(longest: int) -> None:
    rng = random.Random(longest)
    kinds = [rng.choice(sorted(REQUESTS)) for _ in range(200)]
    data = b"".join(REQUESTS[kind] % number for number, kind in enumerate(kinds))
    whole = Reader()
    whole.parser.feed_data(data)
    reader = Reader()
    for piece in cut(data, rng, longest):
        assert reader.read(piece) <= 1
    assert reader.ended == whole.ended == len(kinds)
    assert reader.bodies == whole.bodies


@pytest.mark.parametrize("kind", REQUESTS)
def test_a_section_ends_with_its_request(kind: str) -> None:
    """What follows a request is not parsed with it."""
    first = REQUESTS[kind] % 1
    view = memoryview(first + HEAD % 2)
    reader = Reader()
    parsed = 0
    while not reader.ended:
        size = reader.ends.section(view[parsed:])
        reader.parser.feed_data(view[parsed : parsed + size])
        parsed += size
    assert parsed == len(first)


def test_empty_lines_within_a_chunk_end_no_section() -> None:
    """Guards against bodies that are read in sections of two bytes."""
    ends = MessageEnds()
    head = CHUNKED % 1
    assert ends.section(memoryview(head)) == len(head)
    ends.head_complete([(b"transfer-encoding", b"chunked")])
    chunk = b"100\r\n" + b"\n" * 256 + b"\r\n"
    assert ends.section(memoryview(chunk)) == len(chunk)
