"""State machines that are fed bytes and return events and bytes. No sockets, no clock.

Events are named tuples: a frozen dataclass costs several times as much at import, and a relay's start is
bounded.
"""
