"""Protocols for the parts of the relay that drivers use. Each driver takes the narrowest sufficient protocol.

`RelayRuntime` in `net.runtime` implements all of them. Measurements and tests pass smaller implementations.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar, TypeVarTuple

from gannetweir.core import Engine
from gannetweir.limits import Limits
from gannetweir.net.transport import Spawn
from gannetweir.placement.settings import Settings

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")


class DriverContext(Protocol):
    """The engine, the active configuration and a way to start tasks, for every driver.

    A reload replaces `settings` and `limits`, so a driver reads them on each use and does not store them.
    """

    @property
    def engine(self) -> Engine:
        """The engine. Calls that may produce commands are made through `run_engine_call`."""

    @property
    def settings(self) -> Settings:
        """The active platform settings, including the timing that operators set."""

    @property
    def limits(self) -> Limits:
        """The active limits."""

    @property
    def spawn(self) -> Spawn:
        """Starts a task of the relay. An exception in the task ends only that task."""

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *arguments: *Arguments) -> Result:
        """Call the engine with the current time as the last argument, then execute its commands."""


class LoggingContext(DriverContext, Protocol):
    """A driver context that also writes log lines."""

    def log(self, text: str, **fields: object) -> None:
        """Write one log line with the given fields."""


class Evictable(Protocol):
    """An owner of descriptors, some of which can be closed to free capacity."""

    def evict(self) -> bool:
        """Close the descriptors that can be spared. Return False if there are none."""


class RaceContext(Protocol):
    """The parts of the relay that a race between an endpoint's addresses uses."""

    @property
    def limits(self) -> Limits:
        """The active limits."""

    @property
    def spawn(self) -> Spawn:
        """Starts a task of the relay."""

    @property
    def address_races(self) -> dict[Evictable, None]:
        """Races whose additional connects may be evicted, oldest first. A race adds and removes itself."""

    def clock(self) -> int:
        """Return microseconds of a monotonic clock."""

    def has_capacity(self) -> bool:
        """Return whether a descriptor is free for another client or attempt."""


class ConnectContext(DriverContext, RaceContext, Protocol):
    """The parts of the relay that a driver uses to connect to endpoints."""

    def parse_endpoint_address(self, text: str) -> tuple[str, int]:
        """Return the host and port of an endpoint's address. Raises `OSError` for an invalid address."""
