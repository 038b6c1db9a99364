"""gRPC service for requests of other processes that need a commit.

Configuration changes and orders of operators are refused here; only the operators'
interface, which authenticates them, may propose them. Documents, departures and
software versions are accepted, because the replica that an operator or upstream reached
forwards them to the leader.
"""

from __future__ import annotations

from typing import Any

from result import Err, Ok

from gooseberrydale.connection.control_messages import (
    Ack,
    ClaimReply,
    ClaimReq,
    DeclareReq,
    DepartReq,
    DocumentReply,
    FenceReply,
    FinishReq,
    MoveReq,
    NameWeightsReq,
    ReadDocumentReq,
    ReadFenceReq,
    ReleaseReq,
    ReportOrderReq,
    ServeSoftwareReq,
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
    DepartReq: Ack,
    ServeSoftwareReq: Ack,
    ReadDocumentReq: DocumentReply,
}


class ProposeService:
    """Handles calls of the ``PROPOSE`` method by committing their requests."""

    def __init__(self, commit: GroupCommit, proposer: Proposer) -> None:
        self._commit = commit
        self._proposer = proposer

    def register(self, server: RpcServer) -> None:
        """Register the method with ``server``; call this before it is started."""
        server.unary(PROPOSE, self.handle)

    async def handle(self, req: Any) -> Any:
        """Commit ``req``; a reply with a problem names the leader if it is known."""
        reply_type = REPLY_TYPES.get(type(req))
        if reply_type is None:
            return Ack(problem=problem(NOT_PROPOSABLE, what=type(req).__name__))
        match await self._commit.submit(req):
            case Ok(reply):
                return reply
            case Err(refused):
                return reply_type(problem=refused, leader=self._proposer.leader)
