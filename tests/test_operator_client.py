"""How the operators' client treats replicas that end within their response."""

from __future__ import annotations

import pytest

from gooseberrydale.process.operator_client import OperatorClient, Target
from tests.builders_sidecar import Request, Writer, send_body, tiny_upstream
from tests.sidecar_harness import run

CUT_OFF = {
    "in a body of known length": b"content-length: 9\r\n\r\n{",
    "in a chunk": b"transfer-encoding: chunked\r\n\r\n9\r\n{",
    "between chunks": b"transfer-encoding: chunked\r\n\r\n1\r\n{\r\n",
    "in the head": b"content-len",
    "after the head": b"\r\n",
}


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("case", CUT_OFF)
def test_next_replica_is_called_after_a_response_that_is_cut_off(
    case: str, method: str
) -> None:
    async def cut(_req: Request, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + CUT_OFF[case])
        await writer.drain()
        writer.close()

    async def answer(_req: Request, writer: Writer) -> None:
        await send_body(writer, b'{"done": true}')

    async def main() -> None:
        async with tiny_upstream(cut) as dying, tiny_upstream(answer) as other:
            target = Target((dying.url, other.url), token="t", timeout_s=2.0)
            async with OperatorClient(target) as client:
                if method == "GET":
                    result = await client.get("/status")
                else:
                    result = await client.post("/changes", {})
        assert result.ok() == {"done": True}
        assert len(dying.requests) == 1

    run(main())
