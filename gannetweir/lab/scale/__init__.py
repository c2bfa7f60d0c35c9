"""Capacity measurements of a relay, and simulated control planes for fleets of many relays."""
