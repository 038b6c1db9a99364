"""Example upstreams and stores, to try out, test and measure the router with."""
