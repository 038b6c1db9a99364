"""The sidecar role: the process beside each upstream that admits its requests."""

from gooseberrydale.process.sidecar.role import Sidecar

__all__ = ["Sidecar"]
