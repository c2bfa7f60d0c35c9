"""Which control machine a relay asks: rendezvous hashing, so that a machine's loss moves only its own relays,
and moves them evenly over all others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

# What has to fit the rule that a change is told 6 s after it could be: a watch is found silent after 2.75 s;
# then two calls, the first of them never answered: 2.75 + 0.25 + 1 + 0.5 + 1 = 5.5 s. After a long outage a
# call that hangs, the longest wait and one more call: 1 + 2 + 1 = 4 s.
CALL_TIMEOUT_US = 1_000_000  # to the head of the answer
FIRST_BACKOFF_US = 250_000
MAX_BACKOFF_US = 2_000_000


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """The names in an order of the key's own, the same everywhere."""

    def rank(name: str) -> bytes:
        return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

    return sorted(names, key=rank)


class MachineSelector:
    """A relay's choice among control machines, and its waits between calls (full jitter)."""

    def __init__(self, relay: str, machines: Sequence[str], draw: Callable[[], float]) -> None:
        """`draw` gives a number from 0 to 1. Raises `ValueError` without a machine."""
        if not machines:
            raise ValueError("no control machines")
        self.ranked = rendezvous_order(relay, machines)
        self.draw = draw
        self.consecutive_failures = self.position = 0

    @property
    def machine(self) -> str:
        """Whom to call next."""
        return self.ranked[self.position]

    def record_success(self) -> None:
        """The watch has told something whole."""
        self.consecutive_failures = 0

    def record_failure(self) -> int:
        """A call or a watch ended: the next choice is due after so many microseconds."""
        self.position = (self.position + 1) % len(self.ranked)
        max_backoff_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US << min(self.consecutive_failures, 8))
        self.consecutive_failures += 1
        return int(self.draw() * max_backoff_us)

    def return_to_first_choice(self) -> bool:
        """Go back to the first choice, where a watch of another machine's stands. False: it is there."""
        moved, self.position = self.position != 0, 0
        return moved
