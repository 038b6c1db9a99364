"""Measures of the router against real processes; not shipped with the product."""
