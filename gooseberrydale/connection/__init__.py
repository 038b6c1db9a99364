"""Codecs, transports and state that live for one connection."""
