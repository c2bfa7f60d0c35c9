"""A soak test: many real relays on loopback under troubles drawn from a seed, judged by the rules."""
