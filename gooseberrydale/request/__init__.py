"""Decisions about one request and the state that is kept for it."""
