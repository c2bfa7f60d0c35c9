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


class EvictableConnection(Protocol):
    """What is asked of a client's connection here."""

    @property
    def client(self) -> Transport: ...

    @property
    def accepted_at_s(self) -> float: ...

    def evict(self) -> None: ...

    def close_before_request(self) -> None: ...


class DescriptorBudget:
    """Keeps the connections that may give way, by how far they have come, the oldest of each first."""

    def __init__(
        self,
        descriptor_count: DescriptorCount,
        handover: Handover,
        counters: Counters,
        current_limits: Callable[[], Limits],
    ) -> None:
        self.descriptor_count, self.handover, self.counters, self.current_limits = (
            descriptor_count,
            handover,
            counters,
            current_limits,
        )
        self.address_races: dict[Evictable, None] = {}  # races between the addresses of a server
        self.awaiting_first_line: dict[EvictableConnection, None] = {}  # without a first line so far
        self.ping_answered: dict[EvictableConnection, None] = {}  # of those, who has had the answer to a ping
        self.finally_answered: dict[
            EvictableConnection, None
        ] = {}  # answered; the rest of what they send is read
        self.client_ended: dict[
            EvictableConnection, None
        ] = {}  # ended by their clients; the backend may still speak

    # ---- how far a connection has come

    def note_accepted(self, connection: EvictableConnection) -> None:
        """It was accepted."""
        self.awaiting_first_line[connection] = None

    def note_ping(self, connection: EvictableConnection) -> None:
        """It has had the answer to a ping."""
        self.ping_answered[connection] = None

    def note_request(self, connection: EvictableConnection) -> None:
        """Its first line is in."""
        self.awaiting_first_line.pop(connection, None)
        self.ping_answered.pop(connection, None)

    def note_final_answer(self, connection: EvictableConnection) -> None:
        """It has had its last answer; the rest of what it sends is read."""
        self.note_request(connection)
        self.finally_answered[connection] = None

    def note_client_ended(self, connection: EvictableConnection) -> None:
        """Its client has ended it."""
        self.client_ended[connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        """It gives way to nobody any more."""
        for group in (self.awaiting_first_line, self.ping_answered, self.finally_answered, self.client_ended):
            group.pop(connection, None)

    # ---- room

    def has_capacity(self) -> bool:
        """Is a descriptor free for one more client or attempt?"""
        limits, held = self.current_limits(), self.descriptor_count.open
        if self.handover.peers:  # during an upgrade the limits hold for both together
            held += self.handover.count_peer_descriptors() + limits.spare_sockets
        return held < limits.client_sockets

    def make_capacity(self, for_request: bool = False) -> bool:
        """The same, and if none is free, somebody gives way. `at_any_cost`: a request's attempt is worth more
        than any connection that was answered, has not been heard or has left, whatever it still sends or has
        to read; else it would take what is kept for the watch and the probes.
        """
        if self.has_capacity():
            return True
        if any(race.evict_one() for race in list(self.address_races)):
            return True  # a second connect to a server that one reaches already
        for connection in self._eviction_order():
            if not connection.client.unsent and not connection.client.has_unread_input():
                self._evict(connection)
                return True
        if for_request and (last := next(chain(self._eviction_order(), self.client_ended), None)) is not None:
            self._evict(last)
            return True
        return False

    def _evict(self, connection: EvictableConnection) -> None:
        self.counters.add("evicted")
        connection.evict()

    def _eviction_order(self) -> Iterator[EvictableConnection]:
        """Who has been answered goes first, then who was answered a ping and stayed. Of those that still owe
        their first line not the oldest: true clients may take 2 s for it, and in a crowd all would lose their
        place just before. The latest go, though none that has only come, since most write at once.
        """
        yield from list(self.finally_answered)
        yield from list(self.ping_answered)
        settled = anyio.current_time() - self.current_limits().settle_us / 1e6
        waiting = list(self.awaiting_first_line)
        yield from (connection for connection in reversed(waiting) if connection.accepted_at_s < settled)
        yield from waiting
