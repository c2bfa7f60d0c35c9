"""Who gives a descriptor back when none is free: connections that rest, and second connects of a race.

Clients and their attempts share what the limits leave them. Silent connections come by hundreds in a crowd
and must not keep out the ones that do speak, so they give way.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain
from typing import Protocol

import anyio

from gannetweir.limits import Limits
from gannetweir.net.ports import Evictable
from gannetweir.net.transport import DescriptorCount, Transport
from gannetweir.observability.counters import Counters
from gannetweir.process_handover.handover import Handover


class ClientConnection(Protocol):
    """What is asked of a client's connection here."""

    @property
    def client(self) -> Transport: ...

    @property
    def since(self) -> float: ...

    def evict(self) -> None: ...

    def turn_away(self) -> None: ...


class DescriptorBudget:
    """Keeps the connections that may give way, by how far they have come, the oldest of each first."""

    def __init__(
        self, ledger: DescriptorCount, handover: Handover, counters: Counters, limits: Callable[[], Limits]
    ) -> None:
        self.ledger, self.handover, self.counters, self.limits = ledger, handover, counters, limits
        self.racing: dict[Evictable, None] = {}  # races between the addresses of a server
        self.waiting: dict[ClientConnection, None] = {}  # without a first line so far
        self.asked: dict[ClientConnection, None] = {}  # of those, who has had the answer to a ping
        self.ending: dict[ClientConnection, None] = {}  # answered; the rest of what they send is read
        self.ended: dict[ClientConnection, None] = {}  # ended by their clients; the backend may still speak

    # ---- how far a connection has come

    def came(self, connection: ClientConnection) -> None:
        """It was accepted."""
        self.waiting[connection] = None

    def pinged(self, connection: ClientConnection) -> None:
        """It has had the answer to a ping."""
        self.asked[connection] = None

    def opened(self, connection: ClientConnection) -> None:
        """Its first line is in."""
        self.waiting.pop(connection, None)
        self.asked.pop(connection, None)

    def answered(self, connection: ClientConnection) -> None:
        """It has had its last answer; the rest of what it sends is read."""
        self.opened(connection)
        self.ending[connection] = None

    def left(self, connection: ClientConnection) -> None:
        """Its client has ended it."""
        self.ended[connection] = None

    def forget(self, connection: ClientConnection) -> None:
        """It gives way to nobody any more."""
        for group in (self.waiting, self.asked, self.ending, self.ended):
            group.pop(connection, None)

    # ---- room

    def free(self) -> bool:
        """Is a descriptor free for one more client or attempt?"""
        limits, held = self.limits(), self.ledger.open
        if self.handover.others:  # during an upgrade the limits hold for both together
            held += self.handover.others_hold() + limits.spare_sockets
        return held < limits.client_sockets

    def make(self, at_any_cost: bool = False) -> bool:
        """The same, and if none is free, somebody gives way. `at_any_cost`: a request's attempt is worth more
        than any connection that was answered, has not been heard or has left, whatever it still sends or has
        to read; else it would take what is kept for the watch and the probes.
        """
        if self.free():
            return True
        if any(race.give_way() for race in list(self.racing)):
            return True  # a second connect to a server that one reaches already
        for connection in self._giving_way():
            if not connection.client.unsent and not connection.client.speaks():
                self._evict(connection)
                return True
        if at_any_cost and (last := next(chain(self._giving_way(), self.ended), None)) is not None:
            self._evict(last)
            return True
        return False

    def _evict(self, connection: ClientConnection) -> None:
        self.counters.add("evicted")
        connection.evict()

    def _giving_way(self) -> Iterator[ClientConnection]:
        """Who has been answered goes first, then who was answered a ping and stayed. Of those that still owe
        their first line not the oldest: true clients may take 2 s for it, and in a crowd all would lose their
        place just before. The latest go, though none that has only come, since most write at once.
        """
        yield from list(self.ending)
        yield from list(self.asked)
        settled = anyio.current_time() - self.limits().settle_us / 1e6
        waiting = list(self.waiting)
        yield from (connection for connection in reversed(waiting) if connection.since < settled)
        yield from waiting
