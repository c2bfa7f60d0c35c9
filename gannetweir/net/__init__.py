"""Drivers that connect the engine to sockets, timers and signals, all in one task group."""
