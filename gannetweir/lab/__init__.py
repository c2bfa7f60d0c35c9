"""The project's own world: the real engine and module among modelled parties, on virtual time, from a seed.

Nothing that serves imports it. What it needs beside the relay's own libraries is the extra `lab`.
"""
