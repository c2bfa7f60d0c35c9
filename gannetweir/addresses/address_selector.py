"""What was learnt of each path to a server, and what follows: in which order addresses are tried, how soon
the next one, and whether a failure is the path's or the server's.

The order begins as RFC 8305 and RFC 6724 have it: families by preference, taken in turn. What was learnt goes
before it: paths that are broken come last, and among sound ones a much quicker one first. A broken path is
tried again rarely, after waits that grow up to a bound, by one probe or flow, the next address close behind.
Probes go round the sound paths, so that each has news of its own.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from gannetweir.addresses.address import Address
from gannetweir.addresses.connection_race import ConnectionRace
from gannetweir.addresses.rules import AddressRules

INITIAL_BACKOFF_US = 250_000
MAX_CONSECUTIVE_FAILURES = 8
RECENT_SUCCESS_US = 10_000_000  # an answer so recent says that the server lives
MUCH_SLOWER_RATIO = 4.0  # one path over another, before it goes first against the preference
CONNECT_TIME_TOLERANCE_US = 5_000
RESPONSE_TIME_TOLERANCE_US = 30_000  # the same for answers, which take longer and vary more
MAX_ATTEMPT_DELAY_US = 250_000


@dataclass(slots=True)
class AddressState:
    """One address of one server."""

    address: Address
    connect_time_us: float = 0.0  # smoothed; 0: never connected
    response_time_us: float = 0.0  # how long a probe's answer takes on it, smoothed; 0: never asked
    consecutive_failures: int = 0
    backoff_until_us: int = 0  # broken until then, and then to be tried again
    last_success_us: int = 0  # when the server last answered on it

    def is_unhealthy(self) -> bool:
        """Did it fail, and has not been found sound since?"""
        return self.consecutive_failures > 0

    def is_retry_due(self, now_us: int) -> bool:
        """Broken, and to be tried again?"""
        return self.consecutive_failures > 0 and now_us >= self.backoff_until_us


class AddressSelector:
    """All paths of all servers of one relay."""

    def __init__(self, rules: AddressRules, seed: int, connect_timeout_us: int) -> None:
        self.rules, self.connect_timeout_us = rules, connect_timeout_us
        self.rng = random.Random(seed ^ 0x5EA1)
        self.states_by_endpoint: dict[str, dict[Address, AddressState]] = {}
        self.endpoint_by_address: dict[Address, str] = {}  # an address is one server's
        self.listed_addresses: dict[str, tuple[str, tuple[str, ...]]] = {}  # what discovery said of each
        self.has_choice_by_endpoint: dict[str, bool] = {}  # is there anything but discovery's own address?
        self.preferred_bypassed = (
            0  # flows whose preferred address was found broken or much slower, and came later
        )

    def apply_rules(self, rules: AddressRules, connect_timeout_us: int) -> None:
        """Other rules, from now on. What was learnt of an address that a server keeps stays."""
        self.rules, self.connect_timeout_us = rules, connect_timeout_us
        old, self.states_by_endpoint, self.endpoint_by_address = (
            self.states_by_endpoint,
            {},
            {},
        )  # one server's may be another's from now on
        for server, (dial, dials) in self.listed_addresses.items():
            self._assign_addresses(server, dial, dials, old.get(server, {}))

    def update_endpoint(self, endpoint_name: str, address: str, more_addresses: Sequence[str] = ()) -> None:
        """Discovery has told of a server."""
        told = address, tuple(more_addresses)
        if self.listed_addresses.get(endpoint_name) != told:
            self.listed_addresses[endpoint_name] = told
            self._assign_addresses(endpoint_name, *told, self._release_addresses(endpoint_name))

    def _assign_addresses(
        self, server: str, dial: str, dials: Sequence[str], old: Mapping[Address, AddressState]
    ) -> None:
        addresses = self.rules.addresses_of(server, dial, dials)
        # what another server has already is not this one's: its lines would go to the wrong one
        own = [a for a in addresses if self.endpoint_by_address.setdefault(a, server) == server]
        self.states_by_endpoint[server] = {a: old.get(a) or AddressState(a) for a in own}
        self.has_choice_by_endpoint[server] = [str(a) for a in own] != [dial]

    def _release_addresses(self, server: str) -> dict[Address, AddressState]:
        old = self.states_by_endpoint.pop(server, {})
        for address in old:
            del self.endpoint_by_address[address]
        return old

    def remove_endpoint(self, endpoint_name: str) -> None:
        """It is gone."""
        self._release_addresses(endpoint_name)
        self.listed_addresses.pop(endpoint_name, None)
        self.has_choice_by_endpoint.pop(endpoint_name, None)

    def selects_address(self, endpoint_name: str) -> bool:
        """Is the way there chosen here? Not where discovery's address is the only one."""
        return self.has_choice_by_endpoint.get(endpoint_name, False)

    # ---- the order

    def ordered_addresses(
        self, endpoint_name: str, now_us: int, for_probe: bool = False, excluded: Collection[Address] = ()
    ) -> list[Address]:
        """The addresses of a server, the first to be tried first. One that is due to be tried again goes
        first, and is not offered to the next ones while it is tried.
        """
        paths = [
            p for p in self.states_by_endpoint.get(endpoint_name, {}).values() if p.address not in excluded
        ]
        sound = self._interleave_families([p for p in paths if not p.is_unhealthy()])
        quick = min((p.connect_time_us for p in sound if p.connect_time_us), default=0.0)
        prompt = min((p.response_time_us for p in sound if p.response_time_us), default=0.0)
        if for_probe:  # each in its turn
            sound.sort(key=lambda p: p.last_success_us)
        else:  # a stable sort: the preference holds but where one is noticeably and much slower
            sound.sort(
                key=lambda p: (
                    p.response_time_us > max(MUCH_SLOWER_RATIO * prompt, prompt + RESPONSE_TIME_TOLERANCE_US),
                    p.connect_time_us > max(MUCH_SLOWER_RATIO * quick, quick + CONNECT_TIME_TOLERANCE_US),
                )
            )
        broken = sorted(
            (p for p in paths if p.is_unhealthy()), key=lambda p: (p.backoff_until_us, str(p.address))
        )
        if sound and broken and broken[0].is_retry_due(now_us):
            first = broken.pop(0)
            first.backoff_until_us = now_us + self._backoff_us(first)  # no crowd at it
            return [p.address for p in (first, *sound, *broken)]
        return [p.address for p in (*sound, *broken)]

    def preferred_address(self, endpoint_name: str, excluded: Collection[Address] = ()) -> Address | None:
        """The address that would go first if nothing had been learnt."""
        paths = [
            path
            for path in self.states_by_endpoint.get(endpoint_name, {}).values()
            if path.address not in excluded
        ]
        families = [path.address.family for path in paths]
        wanted = next((family for family in self.rules.family_preference if family in families), None)
        at = families.index(wanted) if wanted is not None else 0  # the first of its family, as it was told
        return paths[at].address if paths else None

    def _interleave_families(self, paths: list[AddressState]) -> list[AddressState]:
        """Families in turn, by preference: the next to be tried is of another kind than what just failed."""
        groups = [[p for p in paths if p.address.family == family] for family in self.rules.family_preference]
        groups += [[p for p in paths if p.address.family not in self.rules.family_preference]]
        found: list[AddressState] = []
        while any(groups):
            found += [group.pop(0) for group in groups if group]
        return found

    def new_race(
        self, endpoint_name: str, now_us: int, for_probe: bool = False, excluded: Collection[Address] = ()
    ) -> ConnectionRace:
        """The connects of one flow or probe."""
        order = self.ordered_addresses(endpoint_name, now_us, for_probe, excluded)
        if order and not for_probe and order[0] != self.preferred_address(endpoint_name, excluded):
            self.preferred_bypassed += 1
        known = self.states_by_endpoint.get(endpoint_name, {})
        # all of them get their chance within the connect time-out
        most = max(1_000, self.connect_timeout_us // (len(order) + 1)) if order else 1_000
        delays = [
            min(
                most,
                max(
                    self.rules.connection_attempt_delay_us,
                    min(MAX_ATTEMPT_DELAY_US, int(2 * known[a].connect_time_us)),
                ),
            )
            for a in order
        ]
        if order and known[order[0]].is_unhealthy():
            delays[0] = min(delays[0], self.rules.connection_attempt_delay_us)
        return ConnectionRace(order, delays)

    # ---- what is learnt

    def _state_of(self, endpoint_name: str, address: Address) -> AddressState | None:
        return self.states_by_endpoint.get(endpoint_name, {}).get(address)

    def _backoff_us(self, path: AddressState) -> int:
        wait = min(
            INITIAL_BACKOFF_US << min(path.consecutive_failures, MAX_CONSECUTIVE_FAILURES),
            self.rules.max_backoff_us,
        )
        return int(wait * self.rng.uniform(0.75, 1.0))

    def _record_failure(self, path: AddressState, now_us: int) -> None:
        path.consecutive_failures = min(path.consecutive_failures + 1, MAX_CONSECUTIVE_FAILURES)
        path.backoff_until_us = now_us + self._backoff_us(path)

    def record_connected(self, endpoint_name: str, address: Address, connect_time_us: int) -> None:
        """A connect came up. That alone mends nothing: one that accepts may still be silent."""
        if (path := self._state_of(endpoint_name, address)) is not None:
            path.connect_time_us += (connect_time_us - path.connect_time_us) * (
                0.25 if path.connect_time_us else 1.0
            )

    def record_connect_failure(self, endpoint_name: str, address: Address, now_us: int) -> None:
        """A connect was refused, could not be made, or broke before the line was out."""
        if (path := self._state_of(endpoint_name, address)) is not None:
            self._record_failure(path, now_us)

    def record_lost_race(self, endpoint_name: str, address: Address, waited_us: int, now_us: int) -> None:
        """A connect that began earlier was not up when another won. That is a fault where it had had much
        longer than it ever takes, or than the one that won was given.
        """
        path = self._state_of(endpoint_name, address)
        if (
            path is not None
            and waited_us > max(self.rules.connection_attempt_delay_us, 4 * path.connect_time_us) * 0.95
        ):
            self._record_failure(path, now_us)

    def record_response(
        self, endpoint_name: str, address: Address, now_us: int, response_time_us: int = 0
    ) -> None:
        """The server has said something on this path: it is sound. `took_us` is a probe's time, which tells
        paths apart that connect alike; set-ups depend on too much else.
        """
        if (path := self._state_of(endpoint_name, address)) is not None:
            path.consecutive_failures, path.backoff_until_us, path.last_success_us = 0, 0, now_us
            if response_time_us > 0:
                path.response_time_us += (response_time_us - path.response_time_us) * (
                    0.25 if path.response_time_us else 1.0
                )

    def record_no_response(self, endpoint_name: str, address: Address, now_us: int) -> bool:
        """The line was out and nothing came, or an end did. Is it the path's fault, and not the server's? So
        it is held where another path is sound: the server has answered there lately, or has not been asked.
        Should that one fail as well, none is left that is sound, and the failure is the server's.
        """
        path = self._state_of(endpoint_name, address)
        if path is None:
            return False
        others = [p for p in self.states_by_endpoint[endpoint_name].values() if p is not path]
        lives = any(
            not p.is_unhealthy()
            and (not p.last_success_us or now_us - p.last_success_us <= RECENT_SUCCESS_US)
            for p in others
        )
        # with no other path that is sound the failure says nothing of this one
        if others:
            self._record_failure(path, now_us)
        return lives

    def address_status(self, endpoint_name: str) -> list[tuple[str, bool, float]]:
        """For the people on call: each address, whether it is broken, its smoothed connect time."""
        return [
            (str(p.address), p.is_unhealthy(), p.connect_time_us)
            for p in self.states_by_endpoint.get(endpoint_name, {}).values()
        ]
