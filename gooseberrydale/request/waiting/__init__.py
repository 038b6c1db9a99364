"""Requests that wait for capacity: their order, and what waits at other gateways."""
