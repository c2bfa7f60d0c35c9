"""The connects of one connection: a state machine without sockets. Source: RFC 8305, section 5.

States: connecting (attempts are in progress), won (one is up, all others are closed), lost (none is left).
Whatever comes after the end changes nothing but that it is closed, so exactly one connection ever carries the
line.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gannetweir.addresses.address import Address

WAS_CONNECTED = -1  # in `CloseConnection`, instead of a wait


@dataclass(frozen=True, slots=True)
class StartConnect:
    """Begin a connect."""

    address: Address


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """End a connect or a connection at once.

    `waited_us` is how long it had not come up; `WAS_CONNECTED` if it had.
    """

    address: Address
    waited_us: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `timer_expired` after so long, unless something else has come first."""

    after_us: int


@dataclass(frozen=True, slots=True)
class RaceWon:
    """The line goes to this address, and to no other."""

    address: Address
    connect_time_us: int


@dataclass(frozen=True, slots=True)
class RaceLost:
    """No address could be connected: one outcome for all of them."""


RaceAction = StartConnect | CloseConnection | SetTimer | RaceWon | RaceLost


class PlannedAttempt(NamedTuple):
    """An address that is not tried yet, and how long after its start the next one may begin beside it."""

    address: Address
    delay_us: int


class ConnectionRace:
    """Fed what became of each connect; returns what to do next. `started_us` has the attempts in progress."""

    def __init__(self, order: Sequence[Address], delays_us: Sequence[int]) -> None:
        self.started_us: dict[Address, int] = {}  # the oldest first
        self._remaining = [PlannedAttempt(*planned) for planned in zip(order, delays_us, strict=True)]
        self._next_attempt_us = 0  # when the next one begins at the latest; 0: not by the timer
        self._winner: Address | None = None
        self._is_finished = False

    def start(self, now_us: int) -> list[RaceAction]:
        """Begin the first connect."""
        return self._start_next_attempt(now_us)

    def attempt_started(self, address: Address, now_us: int) -> None:
        """The connect is being made only now: what it waited for its turn here is not the address's time."""
        if address in self.started_us:
            self.started_us[address] = now_us

    def timer_expired(self, now_us: int) -> list[RaceAction]:
        """The time of a `SetTimer` is over."""
        if self._is_finished or not self._next_attempt_us or now_us < self._next_attempt_us:
            return []
        return self._start_next_attempt(now_us)

    def attempt_failed(self, address: Address, now_us: int) -> list[RaceAction]:
        """A connect was refused or broke: the next one begins at once."""
        if self._is_finished or self.started_us.pop(address, None) is None:
            return []
        return self._start_next_attempt(now_us)

    def attempt_connected(self, address: Address, now_us: int) -> list[RaceAction]:
        """A connect is up: it wins if it is the first."""
        started_us = self.started_us.pop(address, None)
        if self._is_finished or started_us is None:
            return [CloseConnection(address, WAS_CONNECTED)] if address != self._winner else []
        self._winner = address
        return [*self._finish(now_us), RaceWon(address, now_us - started_us)]

    def cancel_all_but_oldest(self) -> list[RaceAction]:
        """Give descriptors back: only the oldest attempt goes on, and no other begins beside it.

        Should the oldest fail, the others have their turn again.
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
        """The race is given up from outside."""
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
        """End the race; return what closes the attempts in progress."""
        self._is_finished = True
        closing: list[RaceAction] = [
            CloseConnection(address, now_us - started_us) for address, started_us in self.started_us.items()
        ]
        self.started_us.clear()
        return closing
