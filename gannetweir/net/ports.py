"""What drivers need of the relay, as protocols: each driver takes the narrowest that it can do with.

`RelayRuntime` in `net.runtime` is all of them in one. A measurement or a test gives a driver a smaller one.
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
    """What every driver needs: the engine, the configuration in force, and a place for tasks.

    A reload replaces `settings` and `limits`, so a driver asks for them each time and keeps neither.
    """

    @property
    def engine(self) -> Engine:
        """The engine; its calls that may lead to commands go through `run_engine_call`."""

    @property
    def settings(self) -> Settings:
        """The platform's settings in force, with the operators' timing in them."""

    @property
    def limits(self) -> Limits:
        """Every size, count and time in force."""

    @property
    def spawn(self) -> Spawn:
        """Starts a task of the relay; a fault in it ends that task alone."""

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *arguments: *Arguments) -> Result:
        """Call the engine with the present time as the last argument, then execute what it commands."""


class LoggingContext(DriverContext, Protocol):
    """What a driver needs that also reports to the people on call."""

    def log(self, text: str, **fields: object) -> None:
        """Write one log line and what it is about."""


class Evictable(Protocol):
    """What holds descriptors that it can do without."""

    def evict(self) -> bool:
        """Give descriptors back now; False if there were none to give."""


class RaceContext(Protocol):
    """What a race between the addresses of an endpoint needs."""

    @property
    def limits(self) -> Limits:
        """Every size, count and time in force."""

    @property
    def spawn(self) -> Spawn:
        """Starts a task of the relay."""

    @property
    def address_races(self) -> dict[Evictable, None]:
        """The races whose second connects may be evicted, oldest first; a race adds and removes itself."""

    def clock(self) -> int:
        """Microseconds of a monotonic clock."""

    def has_capacity(self) -> bool:
        """Whether a descriptor is free for one more client or attempt."""


class ConnectContext(DriverContext, RaceContext, Protocol):
    """What a driver needs that connects to endpoints."""

    def parse_endpoint_address(self, text: str) -> tuple[str, int]:
        """Host and port of an endpoint. Raises `OSError` for what can't be connected to."""
