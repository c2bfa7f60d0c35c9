"""Scale: capacity measurements and simulated control planes of many relays."""
