"""Measurements of the router with real processes; not shipped with the product."""
