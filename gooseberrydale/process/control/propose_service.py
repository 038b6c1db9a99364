"""Serves the requests of entries and sidecars that need a commit.

Lives as long as the process.  Changes by edits and operators' orders do not come
this way: only the operators' interface, which knows who asks, may propose them.
Documents do: the replica that an operator reached passes them to the leader.
"""

from __future__ import annotations

from typing import Any

from result import Err, Ok

from gooseberrydale.connection.control_messages import (
    Ack,
    ClaimReply,
    ClaimReq,
    DeclareReq,
    DocumentReply,
    FenceReply,
    FinishReq,
    MoveReq,
    NameWeightsReq,
    ReadDocumentReq,
    ReadFenceReq,
    ReleaseReq,
    ReportOrderReq,
)
from gooseberrydale.connection.rpc import PROPOSE, RpcServer
from gooseberrydale.errors import NOT_PROPOSABLE, problem
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.proposer import Proposer

REPLY_TYPES: dict[type[Any], type[Any]] = {
    ClaimReq: ClaimReply,
    MoveReq: ClaimReply,
    ReleaseReq: ClaimReply,
    FinishReq: ClaimReply,
    ReadFenceReq: FenceReply,
    ReportOrderReq: Ack,
    DeclareReq: Ack,
    NameWeightsReq: Ack,
    ReadDocumentReq: DocumentReply,
}


class ProposeService:
    """Turns calls of the ``PROPOSE`` method into commits."""

    def __init__(self, commit: GroupCommit, proposer: Proposer) -> None:
        self._commit = commit
        self._proposer = proposer

    def register(self, server: RpcServer) -> None:
        """Serve on ``server``; call before its ``start``."""
        server.unary(PROPOSE, self.handle)

    async def handle(self, req: Any) -> Any:
        """Commit ``req``; a reply with a problem names the leader if it is known."""
        reply_type = REPLY_TYPES.get(type(req))
        if reply_type is None:
            return Ack(problem=problem(NOT_PROPOSABLE, what=type(req).__name__))
        match await self._commit.ask(req):
            case Ok(reply):
                return reply
            case Err(refused):
                return reply_type(problem=refused, leader=self._proposer.leader)
