"""Protocols as state machines: they take bytes and return events and bytes, without sockets or a clock.

The events of clients, endpoints and watches that have fields are named tuples: a frozen dataclass costs
several times as much at import, and a relay's start time is limited.
"""
