"""The race between the connects of one connection, as a state machine without sockets (RFC 8305, section 5).

States: connecting (attempts are in progress), won (one is established, all others are closed), lost (no
address is left). After the end, events change nothing, and a connection that is established late is closed:
at most one connection ever carries the line.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gannetweir.addresses.address import Address

WAS_CONNECTED = -1  # the `waited_us` of an established connection in `CloseConnection`


@dataclass(frozen=True, slots=True)
class StartConnect:
    """Start a connect."""

    address: Address


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection, or cancel its connect, at once.

    `waited_us` is how long the connect has been in progress; `WAS_CONNECTED` if it has succeeded.
    """

    address: Address
    waited_us: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `timer_expired` after this time, unless another event comes first."""

    after_us: int


@dataclass(frozen=True, slots=True)
class RaceWon:
    """The race is won: the line goes to this address and to no other."""

    address: Address
    connect_time_us: int


@dataclass(frozen=True, slots=True)
class RaceLost:
    """The race is lost: no address could be connected. One outcome covers all addresses."""


RaceAction = StartConnect | CloseConnection | SetTimer | RaceWon | RaceLost


class PlannedAttempt(NamedTuple):
    """An address not yet tried, and the delay from its start until the next address is tried as well."""

    address: Address
    delay_us: int


class ConnectionRace:
    """Takes the result of each connect and returns what to do next. Owns the connects in progress."""

    def __init__(self, order: Sequence[Address], delays_us: Sequence[int]) -> None:
        self.started_us: dict[Address, int] = {}  # start time of each connect in progress, oldest first
        self._remaining = [PlannedAttempt(*planned) for planned in zip(order, delays_us, strict=True)]
        self._next_attempt_us = 0  # latest start of the next attempt; 0 if no timer is set
        self._winner: Address | None = None
        self._is_finished = False

    def start(self, now_us: int) -> list[RaceAction]:
        """Start the first connect."""
        return self._start_next_attempt(now_us)

    def attempt_started(self, address: Address, now_us: int) -> None:
        """Set the start of a connect that had to wait in this process: the address did not cause the wait."""
        if address in self.started_us:
            self.started_us[address] = now_us

    def timer_expired(self, now_us: int) -> list[RaceAction]:
        """Start the next connect if the time of the last `SetTimer` is over."""
        if self._is_finished or not self._next_attempt_us or now_us < self._next_attempt_us:
            return []
        return self._start_next_attempt(now_us)

    def attempt_failed(self, address: Address, now_us: int) -> list[RaceAction]:
        """Start the next connect at once, after one was refused or broke."""
        if self._is_finished or self.started_us.pop(address, None) is None:
            return []
        return self._start_next_attempt(now_us)

    def attempt_connected(self, address: Address, now_us: int) -> list[RaceAction]:
        """Let the first established connection win; close any later one."""
        started_us = self.started_us.pop(address, None)
        if self._is_finished or started_us is None:
            return [CloseConnection(address, WAS_CONNECTED)] if address != self._winner else []
        self._winner = address
        return [*self._finish(now_us), RaceWon(address, now_us - started_us)]

    def cancel_all_but_oldest(self) -> list[RaceAction]:
        """Release descriptors: cancel all connects but the oldest, and start no other beside the oldest.

        If the oldest fails, the cancelled addresses are tried again.
        """
        if self._is_finished or len(self.started_us) <= 1:
            return []
        cancelled = list(self.started_us)[1:]
        for address in cancelled:
            self._remaining.append(PlannedAttempt(address, 0))
            del self.started_us[address]
        self._next_attempt_us = 0
        return [CloseConnection(address, 0) for address in cancelled]

    def cancel(self, now_us: int) -> list[RaceAction]:
        """End the race without a winner, because the caller no longer needs the connection."""
        return [] if self._is_finished else self._finish(now_us)

    def _start_next_attempt(self, now_us: int) -> list[RaceAction]:
        if not self._remaining:
            self._next_attempt_us = 0
            if self.started_us:
                return []
            self._is_finished = True
            return [RaceLost()]
        address, delay_us = self._remaining.pop(0)
        self.started_us[address] = now_us
        if not self._remaining:
            self._next_attempt_us = 0
            return [StartConnect(address)]
        self._next_attempt_us = now_us + delay_us
        return [StartConnect(address), SetTimer(delay_us)]

    def _finish(self, now_us: int) -> list[RaceAction]:
        """End the race; return the actions that close the connects in progress."""
        self._is_finished = True
        closing: list[RaceAction] = [
            CloseConnection(address, now_us - started_us) for address, started_us in self.started_us.items()
        ]
        self.started_us.clear()
        return closing
