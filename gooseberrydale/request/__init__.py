"""Decisions and state that live for one request."""
