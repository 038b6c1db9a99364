"""The control role: replicated state, its operators' interface, and orders."""

from gooseberrydale.process.control.control import Control

__all__ = ["Control"]
