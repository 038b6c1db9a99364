"""Roles, settings, logs and metrics that live for the whole process."""
