"""The descriptor budget: decides which connection is evicted when no descriptor is free.

Clients and their attempts share the descriptors that the limits leave for them. The rest is reserved for the
endpoint watch, the load probes and the operators. Idle connections may arrive by the hundreds and must not
keep out clients that send requests, so connections are evicted in this order:

1. additional connects of races between the addresses of an endpoint, since each race keeps one connect;
2. clients that were sent their final answer, whose remaining input is discarded;
3. clients that were sent the answer to a ping;
4. clients whose first line has been awaited for longer than `Limits.eviction_grace_us`, the newest first;
5. all other clients whose first line is awaited, the oldest first;
6. only for the attempt of a request: clients that have ended while their endpoint may still send lines.

In steps 2 to 5 a connection with unsent or unread bytes is skipped, unless the attempt of a request finds no
other. A client whose request awaits its answer or is established is never evicted.
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
    """The parts of a client connection that the budget uses."""

    @property
    def client(self) -> Transport:
        """The client's side."""

    @property
    def accepted_at_s(self) -> float:
        """Time of the accept, in seconds of the event loop's clock."""

    def evict(self) -> None:
        """Send the pending answer, if any, and close all descriptors at once."""

    def close_before_request(self) -> None:
        """Reject the client if it has sent no request."""


class DescriptorBudget:
    """Decides whether a descriptor may be opened, and evicts connections to free one.

    Owns the groups of evictable connections, by their progress and oldest first. The connections report their
    progress to the budget.
    """

    def __init__(
        self,
        descriptor_count: DescriptorCount,
        handover: Handover,
        counters: Counters,
        current_limits: Callable[[], Limits],
    ) -> None:
        self.descriptor_count, self.handover, self.counters = descriptor_count, handover, counters
        self.current_limits = current_limits
        self.address_races: dict[Evictable, None] = {}  # each race adds and removes itself
        self.awaiting_first_line: dict[EvictableConnection, None] = {}
        self.ping_answered: dict[EvictableConnection, None] = {}  # a subset of `awaiting_first_line`
        self.final_answer_sent: dict[EvictableConnection, None] = {}  # further input is discarded
        self.client_ended: dict[EvictableConnection, None] = {}  # the endpoint may still send lines

    def record_accepted(self, connection: EvictableConnection) -> None:
        """Record that a connection was accepted and its first line is awaited."""
        self.awaiting_first_line[connection] = None

    def record_ping_answered(self, connection: EvictableConnection) -> None:
        """Record that a ping of the connection was answered."""
        self.ping_answered[connection] = None

    def record_request(self, connection: EvictableConnection) -> None:
        """Record that the first line was received: the connection can't be evicted until it is answered."""
        self.awaiting_first_line.pop(connection, None)
        self.ping_answered.pop(connection, None)

    def record_final_answer(self, connection: EvictableConnection) -> None:
        """Record that the final answer was sent. Further input of the connection is discarded."""
        self.record_request(connection)
        self.final_answer_sent[connection] = None

    def record_client_ended(self, connection: EvictableConnection) -> None:
        """Record that the client has ended the connection."""
        self.client_ended[connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        """Remove a connection that is closed or being evicted."""
        for group in (
            self.awaiting_first_line,
            self.ping_answered,
            self.final_answer_sent,
            self.client_ended,
        ):
            group.pop(connection, None)

    def has_capacity(self) -> bool:
        """Return whether a descriptor is free for another client or attempt."""
        limits, in_use = self.current_limits(), self.descriptor_count.open
        if self.handover.peers:  # during an upgrade both processes together keep to the limits
            in_use += self.handover.count_peer_descriptors() + limits.reserved_sockets
        return in_use < limits.client_sockets

    def make_capacity(self, for_request: bool = False) -> bool:
        """Return whether a descriptor is free, evicting a connection if necessary.

        With `for_request`, the attempt of a request has priority over every connection that was answered, has
        sent no request or has ended, even if that connection has unsent or unread bytes. Otherwise the
        attempt would use a descriptor that is reserved for the watch and the load probes.
        """
        if self.has_capacity():
            return True
        if any(race.evict() for race in list(self.address_races)):
            return True
        for connection in self._eviction_order():
            if not connection.client.unsent and not connection.client.has_unread_input():
                self._evict(connection)
                return True
        if for_request:
            return self._evict_first(chain(self._eviction_order(), self.client_ended))
        return False

    def _evict_first(self, candidates: Iterator[EvictableConnection]) -> bool:
        connection = next(candidates, None)
        if connection is None:
            return False
        self._evict(connection)
        return True

    def _evict(self, connection: EvictableConnection) -> None:
        self.counters.add("evicted")
        connection.evict()

    def _eviction_order(self) -> Iterator[EvictableConnection]:
        """Yield the evictable connections, the next one to evict first.

        Among connections whose first line is awaited, the newest are evicted first. Real clients may take 2 s
        to send their first line, and among many idle connections evicting the oldest would close all of them
        just before that. Connections accepted within the grace period come last, because most clients write
        at once.
        """
        yield from list(self.final_answer_sent)
        yield from list(self.ping_answered)
        accepted_before_s = anyio.current_time() - self.current_limits().eviction_grace_us / 1e6
        awaiting = list(self.awaiting_first_line)
        yield from (client for client in reversed(awaiting) if client.accepted_at_s < accepted_before_s)
        yield from awaiting


def max_descriptors(limits: Limits) -> int:
    """Return the upper bound for the descriptors of clients and their attempts that the invariant guard
    checks.

    The bound includes the reserved descriptors, except the fixed ones.
    """
    return max(limits.client_sockets, limits.sockets - limits.fixed_sockets)
