"""What a simulated relay needs of the world around it."""

from __future__ import annotations

from typing import Protocol

from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.checker import RuleChecker
from gannetweir.lab.model.clients import SimulatedClient
from gannetweir.lab.model.clock import SimulatedClock
from gannetweir.lab.model.plan import WorldPlan
from gannetweir.membership.membership_update import MembershipUpdate


class RelayEnvironment(Protocol):
    """The world as one of its relays sees it."""

    plan: WorldPlan
    clock: SimulatedClock
    checker: RuleChecker

    def backend_at(self, dial_address: str) -> SimulatedBackend:
        """The backend that listens there."""

    def membership_snapshot(self) -> MembershipUpdate:
        """The membership as discovery has announced it."""

    def is_cut_off(self, zone: int) -> bool:
        """Whether nothing of discovery's reaches this zone."""

    def is_partitioned(self, zone: int, backend: SimulatedBackend) -> bool:
        """Whether nothing passes between a zone and a backend."""

    def client_answered(self, client: SimulatedClient, answer: str, retry_after_us: int) -> None:
        """The relay has answered a client: `up`, `busy` or `err`."""

    def client_migrated(self, client: SimulatedClient) -> None:
        """The relay has asked a client to come again."""

    def client_broken(self, client: SimulatedClient) -> None:
        """The relay has ended a client's connection, since the backend did."""
