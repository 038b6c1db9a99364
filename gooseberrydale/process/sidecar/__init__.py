"""The sidecar role: the process beside each upstream, and the gate before it."""

from gooseberrydale.process.sidecar.role import Sidecar

__all__ = ["Sidecar"]
