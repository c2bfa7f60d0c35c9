"""The interface of servers that distribute the membership to a skeleton fleet, and the store of record.

A distribution is a class, listed by name in `distributions.FACTORIES`, and a driver for relays, listed by the
same name in `membership_drivers.DRIVERS`.
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
PORTS = range(20_000, 32_000)  # below the ephemeral ports, which the kernel gives to connecting sockets
BACKEND_AGE_US = 86_400_000_000  # one day: no backend of the initial list is warming up


def free_port(hosts: list[str]) -> int:
    """Return a port that is free on each of these addresses. Raises `OSError` if none is found.

    It is never an ephemeral port, which the kernel may give to connecting sockets: a relay that connects to
    the port of a dead server from that same port would be connected to itself.
    """
    for port in random.sample(PORTS, 200):
        try:
            for host in hosts:
                with socket.socket() as sock:
                    sock.bind((host, port))
            return port
        except OSError:
            continue
    raise OSError(errno.EADDRINUSE, "found no free port in 200 attempts")


@dataclass(slots=True)
class Store:
    """The store of record, which no fault of servers affects.

    It has the membership, the version, and the time of each change (CLOCK_MONOTONIC, nanoseconds).
    """

    zones: int
    version: int = 1
    members: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed_ns: dict[int, int] = field(default_factory=dict)
    initial_members: list[dict[str, Any]] = field(default_factory=list)
    history: list[Publish] = field(default_factory=list)  # all changes since the initial list

    def fill(self, backends: int) -> None:
        """Add this number of backends to the initial list."""
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
        # Changes replace members and do not modify them, so that the initial members stay as they are.
        self.initial_members = list(self.members.values())

    def change(self) -> Publish:
        """Make and return the next change: a backend starts to drain, or the draining one has restarted."""
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
        """Return the initial list; with the changes of `history` it becomes the current list."""
        return SetMembership(1, list(self.initial_members))

    def current_list(self) -> SetMembership:
        """Return the current list, for a server that starts."""
        return SetMembership(self.version, list(self.members.values()))


@dataclass(slots=True)
class ServedTotals:
    """What the servers have sent since the fleet's start."""

    snapshots: int = 0
    sent: Counter[str] = field(default_factory=Counter)  # bytes by address or name of the server
    # Bytes by server and second, for servers that count them by second.
    by_second: dict[str, Counter[int]] = field(default_factory=dict)


class Distribution(Protocol):
    """The servers of one distribution. They ignore faults that are not faults of servers."""

    @property
    def servers(self) -> list[str]:
        """HOST:PORT of each server, for the configuration of the skeleton relays."""

    @property
    def true_relay_servers(self) -> list[str]:
        """HOST:PORT for each true relay; empty if true relays can't use this distribution."""

    async def start(self) -> None:
        """Start the servers with the list of the store."""

    async def publish(self, change: Publish) -> None:
        """Send a change of the store to the running servers."""

    async def begin_fault(self, fault: Fault) -> None:
        """Begin a fault of the servers."""

    async def end_fault(self, fault: Fault) -> None:
        """End a fault of the servers."""

    async def served(self) -> ServedTotals:
        """Return what has been sent so far."""

    def usage(self) -> list[Usage]:
        """Return the usage of each server process, always in the same order.

        A process that does not run has zeros, or is missing at the end of the list.
        """

    def stop(self) -> None:
        """Stop all servers."""
