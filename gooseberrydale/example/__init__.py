"""Small upstreams and stores for trying the router out, for tests and measures."""
