"""Versioned state: configuration, weights, upstream records, replicated log."""
