"""One client's connection, and the attempts made for it. The relay that has the client owns both."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.connection_race import SimulatedConnectionRace


class ClientRelay(Protocol):
    """What a client needs of the relay that it is connected to."""

    dead_since_us: int

    def first_line_received(self, client: SimulatedClient, time_budget_us: int) -> None:
        """The client's request has come in."""

    def client_disconnected(self, client: SimulatedClient) -> None:
        """The client has ended its connection."""


@dataclass(slots=True)
class SimulatedClient:
    """One connection of a client. A client that comes again is another one, with the same key and group."""

    request_number: int  # the checker's, over all relays
    relay: ClientRelay
    request_class: int  # its index in the plan
    duration_us: float  # how long the client stays once it is served
    key: int
    group: int
    retries_made: int
    has_returned: bool = False  # after a break or a migration
    request_id: int = 0  # the engine's
    is_established: bool = False
    attempts: dict[int, SimulatedAttempt] = field(default_factory=dict)  # by their numbers


@dataclass(slots=True)
class SimulatedAttempt:
    """One upstream connection, from the order to open it until it is over."""

    client: SimulatedClient
    number: int
    backend: SimulatedBackend
    first_line_arrived: bool = False  # at the backend
    is_established: bool = False
    is_over: bool = False
    address_fault: str = ""  # of the address that won the race
    race: SimulatedConnectionRace | None = None  # while its addresses race

    @property
    def request_id(self) -> int:
        """The engine's number of the request that it is made for."""
        return self.client.request_id
