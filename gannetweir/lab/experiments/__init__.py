"""Experiments on the simulated world and the emulator, and the storage, comparison and charts of results."""
