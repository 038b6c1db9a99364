"""Reads of the document that wait share one read that begins after all of them."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Ok, Result

from gooseberrydale.connection.control_messages import DocumentReply
from gooseberrydale.process.control.documents import Documents
from gooseberrydale.process.control.leader_requests import LeaderRequests
from gooseberrydale.version.declarations import Document
from tests.clock import run_paused

READ_S = 0.1


class SlowLog:
    """Stands for the proposer and the commit: a read returns what is held at its end.

    ``reads`` counts the reads that have begun.
    """

    leads = True

    def __init__(self) -> None:
        self.number = 1
        self.reads = 0

    async def submit(self, _req: Any) -> Result[Any, Any]:
        """Answer a read after a while."""
        self.reads += 1
        number = self.number
        await asyncio.sleep(READ_S)
        return Ok(DocumentReply(Document(number, b"body")))


def make_documents(log: SlowLog) -> Documents:
    return Documents(LeaderRequests(log, log, None))  # type: ignore[arg-type]


def test_many_reads_at_once_bring_few_copies_of_the_document() -> None:
    """Guards against callers that fill the memory of control with reads."""

    async def main() -> None:
        log = SlowLog()
        documents = make_documents(log)
        first = asyncio.create_task(documents.read())
        await asyncio.sleep(READ_S / 2)
        results = await asyncio.gather(*(documents.read() for _ in range(400)))
        assert log.reads == 2
        answers = {id(result.ok_value) for result in results}
        assert len(answers) == 1
        assert (await first).is_ok()

    run_paused(main())


def test_a_read_sees_what_was_committed_before_it() -> None:
    async def main() -> None:
        log = SlowLog()
        documents = make_documents(log)
        early = asyncio.create_task(documents.read())
        await asyncio.sleep(READ_S / 2)
        log.number = 2
        late = (await documents.read()).ok_value
        assert (late.number, (await early).ok_value.number) == (2, 1)

    run_paused(main())


def test_a_caller_that_leaves_does_not_end_the_read_of_others() -> None:
    async def main() -> None:
        documents = make_documents(SlowLog())
        leaving = asyncio.create_task(documents.read())
        other = asyncio.create_task(documents.read())
        await asyncio.sleep(READ_S / 2)
        leaving.cancel()
        assert (await other).is_ok()

    run_paused(main())
