"""Selection of the control machine that a relay calls, and the backoff with full jitter between calls.

Rendezvous hashing (highest random weight): each relay ranks all machines by a hash of the relay's and the
machine's name. The loss of a machine therefore moves only the relays of that machine, and spreads them evenly
over the others. A `MachineSelector` belongs to the relay's `ControlDriver`.

The timeouts must satisfy the requirement that a relay receives a change at most 6 s after any machine can
serve it. In the worst case a silent watch is detected after 2.75 s, and the first of the two following calls
times out: 2.75 + 0.25 + 1 + 0.5 + 1 = 5.5 s. After a long outage, a call that times out, the longest backoff
and one more call take 1 + 2 + 1 = 4 s.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

# The module's docstring derives the timeout and the two backoffs.
# The timeout covers the time from the start of a call to the header of the response.
CALL_TIMEOUT_US = 1_000_000
# The upper bound of the backoff after one failure; each further failure doubles the bound.
FIRST_BACKOFF_US = 250_000
MAX_BACKOFF_US = 2_000_000
# Enough doublings to reach MAX_BACKOFF_US; the limit keeps the power of two small.
_MAX_DOUBLINGS = 8


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names ranked by a hash of key and name; the order is the same in every process."""
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class MachineSelector:
    """A relay's selected control machine, and the backoff between calls.

    `position` is the index of the selected machine in `ranked`; the first choice has index 0.
    """

    def __init__(self, relay: str, machines: Sequence[str], random_fraction: Callable[[], float]) -> None:
        """`random_fraction` returns a random number from 0 to 1. Raises `ValueError` without a machine."""
        if not machines:
            raise ValueError("expected at least one control machine, got none")
        self.ranked = rendezvous_order(relay, machines)
        self.random_fraction = random_fraction
        self.consecutive_failures = 0
        self.position = 0

    @property
    def machine(self) -> str:
        """The machine to call next."""
        return self.ranked[self.position]

    def record_success(self) -> None:
        """Reset the backoff after the watch received a complete message."""
        self.consecutive_failures = 0

    def record_failure(self) -> int:
        """Select the next machine after a failed call or watch; return the backoff in microseconds."""
        self.position = (self.position + 1) % len(self.ranked)
        doublings = min(self.consecutive_failures, _MAX_DOUBLINGS)
        longest_backoff_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2**doublings)
        self.consecutive_failures += 1
        return int(self.random_fraction() * longest_backoff_us)

    def return_to_first_choice(self) -> bool:
        """Select the first choice; return False if it was already selected."""
        moved = self.position != 0
        self.position = 0
        return moved
