"""What servers tell a hollow fleet's relays of changes: their interface, and the store of record behind them.

Another distribution is a class of its own, under its name in `distributions.MAKERS`, and a driver under that
name in `membership_drivers.DRIVERS`.
"""

from __future__ import annotations

import errno
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Protocol

from gannetweir.lab.scale.child import Usage
from gannetweir.lab.scale.fleet_experiment import Fault
from gannetweir.lab.scale.messages import (
    Publish,
    SetMembership,
)

HOST = "127.0.0.1"
PORTS = range(20_000, 32_000)  # below those that the kernel gives to connecting sockets
BACKEND_AGE_US = 86_400_000_000  # the backends of the first list have run for a day: none is cold


def free_port(hosts: list[str]) -> int:
    """A port that is free on each of these addresses. Not one that the kernel gives to connecting sockets: a
    relay that connects to a dead server's port from that very port would reach itself.
    """
    for port in random.sample(PORTS, 200):
        try:
            for host in hosts:
                with socket.socket() as sock:
                    sock.bind((host, port))
            return port
        except OSError:
            continue
    raise OSError(errno.EADDRINUSE, "no free port was found")


@dataclass(slots=True)
class Store:
    """The store of record, which holds whatever happens to servers: the membership, its version, and when
    each change was made (CLOCK_MONOTONIC, nanoseconds).
    """

    zones: int
    version: int = 1
    members: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed_ns: dict[int, int] = field(default_factory=dict)
    initial_members: list[dict[str, Any]] = field(default_factory=list)
    history: list[Publish] = field(default_factory=list)  # all changes since the first list

    def fill(self, backends: int) -> None:
        """The first list."""
        born_ms = (time.time_ns() // 1000 - BACKEND_AGE_US) // 1000
        for n in range(backends):
            name = f"b{n:05}"
            self.members[name] = {
                "host": name,
                "dial": f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}:7000",
                "site": f"z{n % self.zones:02}",
                "class": "m",
                "health": "Ready",
                "share": 1.0,
                "block": n % 8,
                "born_ms": born_ms,
            }
        self.initial_members = list(self.members.values())  # changes replace members, and leave these

    def change(self) -> Publish:
        """The next change: a backend is drained, or the one that is drained is back with a new start."""
        self.version += 1
        names = list(self.members)
        name = names[self.version // 2 % len(names)]
        member = self.members[name]
        if member["health"] == "Ready":
            self.members[name] = {**member, "health": "Terminating"}
        else:
            self.members[name] = {**member, "health": "Ready", "born_ms": time.time_ns() // 1_000_000}
        self.changed_ns[self.version] = time.monotonic_ns()
        self.history.append(Publish(self.version, self.members[name]))
        return self.history[-1]

    def initial_list(self) -> SetMembership:
        """The first list, from which `history` leads to the present one."""
        return SetMembership(1, list(self.initial_members))

    def current_list(self) -> SetMembership:
        """For a server that starts."""
        return SetMembership(self.version, list(self.members.values()))


@dataclass(slots=True)
class ServedTotals:
    """What the servers have sent since the fleet's start."""

    snapshots: int = 0
    sent: Counter[str] = field(default_factory=Counter)  # bytes, by the servers' own address
    by_second: dict[str, Counter[int]] = field(default_factory=dict)  # the same, where a server counts so


class Distribution(Protocol):
    """The servers of one way. Where a fault is none of theirs they leave it to the fleet."""

    @property
    def servers(self) -> list[str]:
        """HOST:PORT of each, as relays are told them."""

    @property
    def true_relay_servers(self) -> list[str]:
        """HOST:PORT for each true relay beside the hollow ones; none where true relays can't use this way."""

    async def start(self) -> None:
        """Start the servers with the store's list."""

    async def publish(self, change: Publish) -> None:
        """Hand a change of the store to the servers that run."""

    async def begin_fault(self, fault: Fault) -> None:
        """A fault of the servers begins."""

    async def end_fault(self, fault: Fault) -> None:
        """It is over."""

    async def served(self) -> ServedTotals:
        """What was sent so far."""

    def usage(self) -> list[Usage]:
        """What each server process has used, in an order that stays; zeros for one that does not run."""

    def stop(self) -> None:
        """End them all."""
