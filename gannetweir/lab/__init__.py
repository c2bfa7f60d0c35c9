"""Simulations, emulations and experiments for the relay: the real engine with simulated or emulated peers.

The serving code never imports this package. Its additional libraries are in the extra `lab`.
"""
