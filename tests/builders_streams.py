"""Upstreams that end event streams in different ways."""

from __future__ import annotations

from collections.abc import Callable

from tests.builders_gateway import Script, Writer, chunk, event, reset

HEAD = "HTTP/1.1 200 OK\r\nid: {}\r\nsigned: 1\r\ncontent-type: {}\r\n"
EVENT_STREAM = "text/event-stream; charset=utf-8"
EVENTS = 6
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def end_connection(writer: Writer) -> None:
    """End the connection normally."""
    writer.close()


def reset_after_end(writer: Writer) -> None:
    """End the connection, then reset it before the peer reads its end."""
    writer.write_eof()
    reset(writer)


def framed(framing: str, body: bytes) -> bytes:
    """Return the last header and the complete body in one framing."""
    if framing == "length":
        return b"content-length: %d\r\n\r\n" % len(body) + body
    if framing == "chunked":
        chunks = (chunk(body) if body else b"") + b"0\r\n\r\n"
        return b"transfer-encoding: chunked\r\n\r\n" + chunks
    return b"connection: close\r\n\r\n" + body


def stream_in(
    framing: str,
    *bodies: bytes,
    content_type: str = EVENT_STREAM,
    end: Callable[[Writer], None] = end_connection,
) -> Script:
    """Answer successive requests with ``bodies``, then with the rest of WHOLE.

    Bodies that are framed by their connection end as ``end`` does.
    """
    left = list(bodies)

    async def script(req: dict[str, str], _body: bytes, writer: Writer) -> None:
        if left:
            body = left.pop(0)
        else:
            first = int(req.get("last-event-id", "0")) + 1
            body = b"".join(event(number) for number in range(first, EVENTS + 1))
        head = HEAD.format(req["id"], content_type).encode()
        writer.write(head + framed(framing, body))
        if framing == "connection":
            end(writer)

    return script
