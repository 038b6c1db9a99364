"""How much upstreams hold, and how gateways divide it by reservations."""
