"""Roles, settings, logs and metrics: objects of which a process has one each."""
