"""The control role: replicated state, the operators' interface, and orders."""

from gooseberrydale.process.control.control import Control

__all__ = ["Control"]
