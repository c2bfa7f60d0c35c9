"""What drivers need of the relay, as protocols: each driver takes the narrowest that it can do with."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from gannetweir.core import Engine
from gannetweir.limits import Limits
from gannetweir.net.transport import Spawn
from gannetweir.placement.settings import Settings


class DriverContext(Protocol):
    """The engine's ear, and a place for tasks. What a reload replaces is asked for each time, not kept."""

    @property
    def engine(self) -> Engine: ...

    @property
    def settings(self) -> Settings: ...

    @property
    def limits(self) -> Limits: ...

    @property
    def spawn(self) -> Spawn: ...

    def run_engine_call(self, call: Callable[..., Any], *args: Any) -> Any: ...


class Evictable(Protocol):
    """What may give a descriptor back that is wanted elsewhere."""

    def evict_one(self) -> bool: ...


class RaceContext(Protocol):
    """What a race between a server's addresses needs."""

    @property
    def limits(self) -> Limits: ...

    @property
    def spawn(self) -> Spawn: ...

    @property
    def address_races(self) -> dict[Evictable, None]: ...

    def clock(self) -> int: ...

    def has_capacity(self) -> bool: ...


class ConnectContext(DriverContext, RaceContext, Protocol):
    """What a driver needs that connects to servers."""

    def dial(self, text: str) -> tuple[str, int]: ...
