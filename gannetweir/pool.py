"""The pool: discovery's list of backends, as the engine holds it. Knows nothing of how it came."""

from __future__ import annotations

from dataclasses import dataclass, field

from gannetweir import interface as i


@dataclass(frozen=True, slots=True)
class Member:
    """One backend: what the module learns of it, and where this relay reaches it."""

    entry: i.ServerEntry
    dial: str


@dataclass(frozen=True, slots=True)
class PoolNews:
    """The whole pool or changes to it."""

    version: int
    whole: bool
    members: list[Member] = field(default_factory=list)


class Pool:
    """Every backend that discovery has named, the ones that left included."""

    def __init__(self) -> None:
        self.version = 0
        self.dials: dict[i.ServerId, str] = {}
        self.states: dict[i.ServerId, int] = {}

    def take(self, news: PoolNews) -> None:
        """Apply news. An entry without an address keeps the one that it had."""
        self.version = news.version
        if news.whole:
            self.states = dict.fromkeys(self.states, i.GONE)
        for member in news.members:
            server = member.entry.server
            self.states[server] = member.entry.state
            if member.dial:
                self.dials[server] = member.dial

    def dial(self, server: i.ServerId) -> str:
        """Where to reach a backend; empty for one never listed, which must not be sent to."""
        return self.dials.get(server, "")

    def ready(self) -> bool:
        """Is there anything to send to?"""
        return i.READY in self.states.values()
