"""A soak test: many real relays on loopback under faults drawn from a seed, judged by the rules."""
