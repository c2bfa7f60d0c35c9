"""Which control machine a relay calls: rendezvous hashing, and backoff with full jitter between calls.

Rendezvous hashing (highest random weight): each relay ranks all machines by a hash of its own name and
theirs, so that the loss of a machine moves only that machine's relays, and spreads them evenly over all
others. A `MachineSelector` belongs to the relay's `ControlDriver`.

The time-outs have to fit the rule that a relay has a change at most 6 s after it could be had. A watch is
found silent after 2.75 s; then come two calls, of which the first is never answered: 2.75 + 0.25 + 1 + 0.5
+ 1 = 5.5 s. After a long outage there is a call that hangs, the longest backoff and one more call: 1 + 2 +
1 = 4 s.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

CALL_TIMEOUT_US = 1_000_000  # from a call to the header of its answer; see above
FIRST_BACKOFF_US = 250_000  # the longest after one failure; doubled with each further one; see above
MAX_BACKOFF_US = 2_000_000  # however many calls failed; see above
_MAX_DOUBLINGS = 8  # reach MAX_BACKOFF_US, and bound the shift


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """The names in an order of the key's own, the same everywhere."""
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class MachineSelector:
    """A relay's present choice among its ranked control machines, and the backoff between calls.

    `position` is the choice's place in `ranked`, 0 for the first choice.
    """

    def __init__(self, relay: str, machines: Sequence[str], random_fraction: Callable[[], float]) -> None:
        """`draw` gives a random number from 0 to 1. Raises `ValueError` without a machine."""
        if not machines:
            raise ValueError("no control machines")
        self.ranked = rendezvous_order(relay, machines)
        self.random_fraction = random_fraction
        self.consecutive_failures = 0
        self.position = 0

    @property
    def machine(self) -> str:
        """The machine to call next."""
        return self.ranked[self.position]

    def record_success(self) -> None:
        """The watch has brought a complete message: the backoff starts again at its shortest."""
        self.consecutive_failures = 0

    def record_failure(self) -> int:
        """A call or a watch failed: go on to the next machine, due after so many microseconds."""
        self.position = (self.position + 1) % len(self.ranked)
        doublings = min(self.consecutive_failures, _MAX_DOUBLINGS)
        longest_backoff_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2**doublings)
        self.consecutive_failures += 1
        return int(self.random_fraction() * longest_backoff_us)

    def return_to_first_choice(self) -> bool:
        """Choose the first machine again. False if it was the choice already."""
        moved = self.position != 0
        self.position = 0
        return moved
