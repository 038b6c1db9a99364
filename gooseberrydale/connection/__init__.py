"""Message codecs, transports, and state that is kept for one connection."""
