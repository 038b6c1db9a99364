"""Serves HTTP: listeners, connections, and the limits on what clients send."""
