"""A client's connection, and the attempts made for its request. The client's relay owns both."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.connection_race import SimulatedConnectionRace


class ClientRelay(Protocol):
    """The interface of a relay that its connected clients use."""

    dead_since_us: int

    def first_line_received(self, client: SimulatedClient, time_budget_us: int) -> None:
        """The client's request has arrived."""

    def client_disconnected(self, client: SimulatedClient) -> None:
        """The client has ended its connection."""


@dataclass(slots=True)
class SimulatedClient:
    """A client's connection. A returning client is a new object with the same key and group."""

    request_number: int  # the checker's number, unique over all relays
    relay: ClientRelay
    request_class: int  # an index into the plan's classes
    duration_us: float  # how long the client stays connected once it is served
    key: int
    group: int
    retries_made: int
    has_returned: bool = False  # the client's earlier connection was broken or migrated
    request_id: int = 0  # the engine's number of the request
    is_established: bool = False
    attempts: dict[int, SimulatedAttempt] = field(default_factory=dict)  # by attempt number


@dataclass(slots=True)
class SimulatedAttempt:
    """An upstream connection, from the engine's command to open it until its end."""

    client: SimulatedClient
    number: int
    backend: SimulatedBackend
    first_line_arrived: bool = False  # the backend has received the first line
    is_established: bool = False
    is_over: bool = False
    address_fault: str = ""  # the fault of the address that won the race
    race: SimulatedConnectionRace | None = None  # None unless a connection race is running

    @property
    def request_id(self) -> int:
        """The engine's number of the attempt's request."""
        return self.client.request_id
