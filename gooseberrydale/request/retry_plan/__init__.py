"""Decides who waits for capacity, and when refused callers may retry."""
