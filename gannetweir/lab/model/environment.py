"""The interface between a simulated relay and the world that contains it."""

from __future__ import annotations

from typing import Protocol

from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.checker import RuleChecker
from gannetweir.lab.model.clients import SimulatedClient
from gannetweir.lab.model.clock import SimulatedClock
from gannetweir.lab.model.plan import WorldPlan
from gannetweir.membership.membership_update import MembershipUpdate


class RelayEnvironment(Protocol):
    """The world as a simulated relay uses it."""

    plan: WorldPlan
    clock: SimulatedClock
    checker: RuleChecker

    def backend_at(self, dial_address: str) -> SimulatedBackend:
        """The backend that listens at this address."""

    def membership_snapshot(self) -> MembershipUpdate:
        """The membership as discovery currently lists it."""

    def is_cut_off(self, zone: int) -> bool:
        """Whether discovery's updates cannot reach this zone."""

    def is_partitioned(self, zone: int, backend: SimulatedBackend) -> bool:
        """Whether a network partition separates a zone from a backend."""

    def client_answered(self, client: SimulatedClient, answer: str, retry_after_us: int) -> None:
        """The relay has answered a client: `up`, `busy` or `err`."""

    def client_migrated(self, client: SimulatedClient) -> None:
        """The relay has migrated a client: the client is to reconnect."""

    def client_broken(self, client: SimulatedClient) -> None:
        """The relay has ended a client's connection because the backend ended its own."""
