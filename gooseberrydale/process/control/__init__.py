"""The control role: the replicated log and what is built on it."""
