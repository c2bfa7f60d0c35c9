"""The connects of one flow: a state machine without sockets. Source: RFC 8305, section 5.

States: waiting (connects are out), won (one is up, all others are closed), lost (none is left). Whatever
comes after the end changes nothing but that it is closed, so exactly one connection ever carries the line.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gannetweir.addresses.address import Address


@dataclass(frozen=True, slots=True)
class StartConnect:
    """Begin a connect."""

    address: Address


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """End a connect or a connection at once. `waited_us` is how long it had not come up, or -1 if it had."""

    address: Address
    waited_us: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `due` after so long, unless something else has come first."""

    after_us: int


@dataclass(frozen=True, slots=True)
class RaceWon:
    """The line goes here, and nowhere else."""

    address: Address
    connect_time_us: int


@dataclass(frozen=True, slots=True)
class RaceLost:
    """No address could be connected: one outcome for all of them."""


RaceAction = StartConnect | CloseConnection | SetTimer | RaceWon | RaceLost


class ConnectionRace:
    """Fed what became of each connect; says what to do next."""

    def __init__(self, order: Sequence[Address], delays_us: Sequence[int]) -> None:
        self.remaining = list(zip(order, delays_us, strict=True))
        self.started_us: dict[Address, int] = {}  # when each connect that is out began
        self.next_attempt_us = 0  # when the next one begins at the latest; 0: none is left
        self.winner: Address | None = None
        self.is_finished = False

    def start(self, now_us: int) -> list[RaceAction]:
        """The first connect."""
        return self._start_next_attempt(now_us)

    def _start_next_attempt(self, now_us: int) -> list[RaceAction]:
        if not self.remaining:
            self.next_attempt_us = 0
            if self.started_us:
                return []
            self.is_finished = True
            return [RaceLost()]
        address, delay = self.remaining.pop(0)
        self.started_us[address] = now_us
        self.next_attempt_us = now_us + delay if self.remaining else 0
        return [StartConnect(address), *([SetTimer(delay)] if self.remaining else [])]

    def attempt_started(self, address: Address, now_us: int) -> None:
        """The connect is being made only now: what it waited for its turn here is not the path's time."""
        if address in self.started_us:
            self.started_us[address] = now_us

    def timer_expired(self, now_us: int) -> list[RaceAction]:
        """The clock has come to a `Wake`."""
        if self.is_finished or not self.next_attempt_us or now_us < self.next_attempt_us:
            return []
        return self._start_next_attempt(now_us)

    def attempt_failed(self, address: Address, now_us: int) -> list[RaceAction]:
        """A connect was refused or broke: the next one begins at once."""
        if self.is_finished or self.started_us.pop(address, None) is None:
            return []
        return self._start_next_attempt(now_us)

    def attempt_connected(self, address: Address, now_us: int) -> list[RaceAction]:
        """A connect is up: it wins if it is the first."""
        begun = self.started_us.pop(address, None)
        if self.is_finished or begun is None:
            return [CloseConnection(address, -1)] if address != self.winner else []
        self.is_finished, self.winner = True, address
        closes: list[RaceAction] = [
            CloseConnection(other, now_us - since) for other, since in self.started_us.items()
        ]
        self.started_us.clear()
        return [*closes, RaceWon(address, now_us - begun)]

    def cancel_all_but_oldest(self) -> list[RaceAction]:
        """A descriptor is wanted: all connects but the oldest end, and no other begins beside it."""
        if self.is_finished or len(self.started_us) < 2:
            return []
        rest = list(self.started_us)[1:]
        for address in rest:
            self.remaining.append((address, 0))  # should the oldest fail, they have their turn again
            del self.started_us[address]
        self.next_attempt_us = 0
        return [CloseConnection(address, 0) for address in rest]

    def cancel(self, now_us: int) -> list[RaceAction]:
        """It is given up from outside."""
        if self.is_finished:
            return []
        self.is_finished = True
        closes: list[RaceAction] = [
            CloseConnection(address, now_us - since) for address, since in self.started_us.items()
        ]
        self.started_us.clear()
        return closes
