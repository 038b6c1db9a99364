"""Decides which requests a listener reads, by what their heads say of their bodies.

The parser takes everything behind a head that offers or asks for another protocol as
bytes of that protocol, and it accepts codings that no application here decodes.
"""

from __future__ import annotations

from collections.abc import Iterable

from httptools import HttpRequestParser

CONNECTION = b"connection"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"
UPGRADE = b"upgrade"
VERSIONS = ("1.0", "1.1")

Headers = Iterable[tuple[bytes, bytes]]


def make_parser(protocol: object) -> HttpRequestParser:
    """Return a parser that reports to ``protocol``.

    A pipelined request behind one with ``Connection: close`` is not an error: the first
    one is answered before the connection is closed.
    """
    parser = HttpRequestParser(protocol)
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser


def is_readable(method: bytes, version: str, headers: Headers) -> bool:
    """Return whether it is certain where the body ends, and what it is.

    ``headers`` have names in lower case.  Source: RFC 9112, sections 6.1 and 6.3.
    """
    if method == b"CONNECT" or version not in VERSIONS:
        return False
    codings = [value for name, value in headers if name == TRANSFER_ENCODING]
    if not codings:
        return True
    return version == "1.1" and [c.strip().lower() for c in codings] == [CHUNKED]


def head_without_upgrade(
    method: bytes, target: bytes, version: str, headers: Headers
) -> bytes:
    """Return a request's head without the offer to change the protocol.

    A server may ignore the offer (RFC 9110, section 7.8).
    """
    lines = [b"%s %s HTTP/%s" % (method, target, version.encode())]
    for name, value in headers:
        if name == CONNECTION:
            tokens = (token.strip() for token in value.split(b","))
            value = b", ".join(t for t in tokens if t.lower() != UPGRADE)
        if name != UPGRADE:
            lines.append(b"%s: %s" % (name, value))
    return b"\r\n".join((*lines, b"", b""))
