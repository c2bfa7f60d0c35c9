"""Soak test: many real relay processes on loopback, faults drawn from a seed, rules that judge records."""
