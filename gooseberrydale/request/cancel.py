"""Cancels one attempt at its sidecar.

A cancel stops the attempt if it runs, and makes the sidecar refuse it if it arrives
later.  A call that is not repeatable may be tried again only after the sidecar has
confirmed that the attempt can never start.
"""

from __future__ import annotations

import asyncio

import grpc.aio
from loguru import logger

from gooseberrydale.connection.channels import ChannelPool, Endpoint
from gooseberrydale.connection.codec import CodecError
from gooseberrydale.connection.messages import CancelReply, CancelReq
from gooseberrydale.connection.rpc import CANCEL, RpcChannel

MAX_TRIES = 2


async def cancel(
    pool: ChannelPool, sidecar: Endpoint, req: CancelReq, timeout_s: float
) -> CancelReply | None:
    """Send ``req``; if there is no reply, once more over a new connection.

    Returns None if neither try got a reply.
    """
    channel = pool.acquire(sidecar)
    try:
        for _ in range(MAX_TRIES):
            reply = await _try(channel, req, timeout_s)
            if reply is not None:
                return reply
            channel = pool.replace(sidecar, channel)
        return None
    finally:
        pool.release(channel)


async def _try(
    channel: RpcChannel, req: CancelReq, timeout_s: float
) -> CancelReply | None:
    try:
        # A timeout of the call would not cover a connection that never opens.
        async with asyncio.timeout(timeout_s):
            reply: CancelReply = await channel.call(CANCEL, req)
            return reply
    except (TimeoutError, grpc.aio.AioRpcError, CodecError) as exc:
        logger.debug("cancel of request {} failed: {!r}", req.request_id, exc)
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
    return None


async def confirm_not_run(
    pool: ChannelPool, sidecar: Endpoint, req: CancelReq, timeout_s: float
) -> bool:
    """Whether the sidecar confirmed that the attempt did not and will not start."""
    reply = await cancel(pool, sidecar, req, timeout_s)
    return reply is not None and reply.not_run
