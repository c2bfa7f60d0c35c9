"""The descriptor budget: who gives a descriptor back when none is free.

Clients and their attempts share the descriptors that the limits leave them; the rest is reserved for the
watch, the probes and the operators. Silent connections come by hundreds in a crowd and must not keep out the
clients that do send requests, so they are evicted, in this order:

1. second connects of races between an endpoint's addresses, since one connect is left to each race;
2. clients that have had their final answer, whose remaining input is only read to be discarded;
3. clients that have had the answer to a ping;
4. clients that owe their first line for longer than `Limits.eviction_grace_us`, the latest first;
5. all others that owe their first line, the oldest first;
6. for a request's attempt alone: clients that have ended, whose endpoint may still send lines.

Up to the fifth a connection with unsent or unread bytes is passed over, unless a request's attempt finds no
other. A request that waits for its answer or is established is never evicted.
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
    """What the budget needs of a client's connection."""

    @property
    def client(self) -> Transport:
        """The client's side."""

    @property
    def accepted_at_s(self) -> float:
        """When it was accepted, in seconds of the event loop's clock."""

    def evict(self) -> None:
        """Answer if an answer is owed, and give all descriptors back now."""

    def close_before_request(self) -> None:
        """Reject it, if it has sent no request so far."""


class DescriptorBudget:
    """Decides whether a descriptor may be opened. Owns the groups of connections that may be evicted, by how
    far each has come, the oldest first; the connections report their progress.
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
        self.address_races: dict[Evictable, None] = {}  # each adds and removes itself
        self.awaiting_first_line: dict[EvictableConnection, None] = {}
        self.ping_answered: dict[EvictableConnection, None] = {}  # some of those that await their first line
        self.final_answer_sent: dict[EvictableConnection, None] = {}  # their remaining input is discarded
        self.client_ended: dict[EvictableConnection, None] = {}  # the endpoint may still send lines

    def record_accepted(self, connection: EvictableConnection) -> None:
        """It was accepted and owes its first line."""
        self.awaiting_first_line[connection] = None

    def record_ping_answered(self, connection: EvictableConnection) -> None:
        """It has had the answer to a ping."""
        self.ping_answered[connection] = None

    def record_request(self, connection: EvictableConnection) -> None:
        """Its first line is in: it can't be evicted until it is answered."""
        self.awaiting_first_line.pop(connection, None)
        self.ping_answered.pop(connection, None)

    def record_final_answer(self, connection: EvictableConnection) -> None:
        """It has had its final answer; the rest of what it sends is discarded."""
        self.record_request(connection)
        self.final_answer_sent[connection] = None

    def record_client_ended(self, connection: EvictableConnection) -> None:
        """Its client has ended it."""
        self.client_ended[connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        """It is closed, or is being evicted."""
        for group in (
            self.awaiting_first_line,
            self.ping_answered,
            self.final_answer_sent,
            self.client_ended,
        ):
            group.pop(connection, None)

    def has_capacity(self) -> bool:
        """Whether a descriptor is free for one more client or attempt."""
        limits, in_use = self.current_limits(), self.descriptor_count.open
        if self.handover.peers:  # during an upgrade the limits hold for both processes together
            in_use += self.handover.count_peer_descriptors() + limits.reserved_sockets
        return in_use < limits.client_sockets

    def make_capacity(self, for_request: bool = False) -> bool:
        """The same, and if none is free, one is evicted. `for_request`: a request's attempt is worth more
        than any connection that was answered, has sent no request or has ended, whatever it still sends or
        has to read; else it would use what is reserved for the watch and the probes.
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
        """Of those that still owe their first line not the oldest go first: true clients may take 2 s for it,
        and in a crowd all would lose their place just before. The latest go, though none that was accepted
        just now, since most clients write at once.
        """
        yield from list(self.final_answer_sent)
        yield from list(self.ping_answered)
        accepted_before_s = anyio.current_time() - self.current_limits().eviction_grace_us / 1e6
        awaiting = list(self.awaiting_first_line)
        yield from (client for client in reversed(awaiting) if client.accepted_at_s < accepted_before_s)
        yield from awaiting


def max_descriptors(limits: Limits) -> int:
    """The most descriptors that clients and their attempts may hold at once, for the invariant guard: with
    all that is reserved for others but the fixed ones.
    """
    return max(limits.client_sockets, limits.sockets - limits.fixed_sockets)
