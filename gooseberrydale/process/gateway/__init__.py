"""The gateway role: an entry that forwards requests by declared routes."""

from gooseberrydale.process.gateway.gateway import Gateway

__all__ = ["Gateway"]
