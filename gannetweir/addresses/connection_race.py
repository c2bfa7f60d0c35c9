"""The connects of one flow: a state machine without sockets. Source: RFC 8305, section 5.

States: waiting (connects are out), won (one is up, all others are closed), lost (none is left). Whatever
comes after the end changes nothing but that it is closed, so exactly one connection ever carries the line.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gannetweir.addresses.address import Address


@dataclass(frozen=True, slots=True)
class Connect:
    """Begin a connect."""

    address: Address


@dataclass(frozen=True, slots=True)
class Close:
    """End a connect or a connection at once. `waited_us` is how long it had not come up, or -1 if it had."""

    address: Address
    waited_us: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Call `due` after so long, unless something else has come first."""

    after_us: int


@dataclass(frozen=True, slots=True)
class Won:
    """The line goes here, and nowhere else."""

    address: Address
    took_us: int


@dataclass(frozen=True, slots=True)
class Lost:
    """No address could be connected: one outcome for all of them."""


Action = Connect | Close | Wake | Won | Lost


class Race:
    """Fed what became of each connect; says what to do next."""

    def __init__(self, order: Sequence[Address], delays_us: Sequence[int]) -> None:
        self.left = list(zip(order, delays_us, strict=True))
        self.out: dict[Address, int] = {}  # when each connect that is out began
        self.next_us = 0  # when the next one begins at the latest; 0: none is left
        self.winner: Address | None = None
        self.over = False

    def begin(self, now_us: int) -> list[Action]:
        """The first connect."""
        return self._next(now_us)

    def _next(self, now_us: int) -> list[Action]:
        if not self.left:
            self.next_us = 0
            if self.out:
                return []
            self.over = True
            return [Lost()]
        address, delay = self.left.pop(0)
        self.out[address] = now_us
        self.next_us = now_us + delay if self.left else 0
        return [Connect(address), *([Wake(delay)] if self.left else [])]

    def started(self, address: Address, now_us: int) -> None:
        """The connect is being made only now: what it waited for its turn here is not the path's time."""
        if address in self.out:
            self.out[address] = now_us

    def due(self, now_us: int) -> list[Action]:
        """The clock has come to a `Wake`."""
        if self.over or not self.next_us or now_us < self.next_us:
            return []
        return self._next(now_us)

    def failed(self, address: Address, now_us: int) -> list[Action]:
        """A connect was refused or broke: the next one begins at once."""
        if self.over or self.out.pop(address, None) is None:
            return []
        return self._next(now_us)

    def connected(self, address: Address, now_us: int) -> list[Action]:
        """A connect is up: it wins if it is the first."""
        begun = self.out.pop(address, None)
        if self.over or begun is None:
            return [Close(address, -1)] if address != self.winner else []
        self.over, self.winner = True, address
        closes: list[Action] = [Close(other, now_us - since) for other, since in self.out.items()]
        self.out.clear()
        return [*closes, Won(address, now_us - begun)]

    def give_way(self) -> list[Action]:
        """A descriptor is wanted: all connects but the oldest end, and no other begins beside it."""
        if self.over or len(self.out) < 2:
            return []
        rest = list(self.out)[1:]
        for address in rest:
            self.left.append((address, 0))  # should the oldest fail, they have their turn again
            del self.out[address]
        self.next_us = 0
        return [Close(address, 0) for address in rest]

    def stop(self, now_us: int) -> list[Action]:
        """It is given up from outside."""
        if self.over:
            return []
        self.over = True
        closes: list[Action] = [Close(address, now_us - since) for address, since in self.out.items()]
        self.out.clear()
        return closes
