"""Thin drivers: sockets, timers and signals round the engine, all in one task group."""
