"""Orders the addresses of an endpoint, and attributes failures to an address or to the endpoint.

The order starts from RFC 8305 (Happy Eyeballs) and RFC 6724: families by preference, interleaved. The history
of the addresses takes precedence: unhealthy addresses come last, and healthy ones that are much slower than
the fastest come behind the others. An unhealthy address is tried again after a bounded, growing backoff, by a
single load probe or connection, and the next address follows after a short delay. Load probes rotate over the
healthy addresses, so that the state of each stays fresh.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from gannetweir.addresses.address import Address
from gannetweir.addresses.address_state import AddressState
from gannetweir.addresses.address_table import AddressTable
from gannetweir.addresses.connection_race import ConnectionRace
from gannetweir.addresses.rules import AddressRules

# An address that takes this many times as long as the fastest goes behind it, against the family preference.
MUCH_SLOWER_RATIO = 4.0
CONNECT_TIME_TOLERANCE_US = 5_000  # a smaller difference is noise
RESPONSE_TIME_TOLERANCE_US = 30_000  # responses take longer than connects and vary more
MIN_ATTEMPT_DELAY_BOUND_US = 1_000  # holds even if many addresses share the connect timeout
MAX_ATTEMPT_DELAY_US = 250_000  # RFC 8305, section 5, recommends this delay without a history
DELAY_PER_CONNECT_TIME = 2  # RFC 8305, section 5: the delay follows the usual connect time
LOST_RACE_MARGIN = 0.95  # timers expire slightly early, so this fraction of the delay counts as all of it
# Lower bound of the random factor on each backoff: relays that saw the same failure do not retry together.
MIN_BACKOFF_JITTER = 0.75
_RNG_SALT = 0x5EA1  # a separate random sequence: selecting addresses must not change the engine's draws


class AddressSelector:
    """Selects the addresses of one relay's endpoints, by the results that the caller records."""

    def __init__(self, rules: AddressRules, seed: int, connect_timeout_us: int) -> None:
        self.rules = rules
        self.connect_timeout_us = connect_timeout_us
        self.preferred_bypassed = 0  # connections whose preferred address was unhealthy or much slower
        self._rng = random.Random(seed ^ _RNG_SALT)
        self._table = AddressTable(rules)

    @property
    def states_by_endpoint(self) -> Mapping[str, Mapping[Address, AddressState]]:
        """The states of all addresses, by endpoint name."""
        return self._table.states_by_endpoint

    def apply_rules(self, rules: AddressRules, connect_timeout_us: int) -> None:
        """Select by other rules from now on. An address that stays with its endpoint keeps its state."""
        self.rules = rules
        self.connect_timeout_us = connect_timeout_us
        self._table.apply_rules(rules)

    def update_endpoint(
        self, endpoint_name: str, address: str, additional_addresses: Sequence[str] = ()
    ) -> None:
        """Update an endpoint with the addresses that discovery lists."""
        self._table.update_endpoint(endpoint_name, address, additional_addresses)

    def remove_endpoint(self, endpoint_name: str) -> None:
        """Remove an endpoint that has left the endpoint list."""
        self._table.remove_endpoint(endpoint_name)

    def selects_address(self, endpoint_name: str) -> bool:
        """Whether the selector picks the address; false if there is only the one that discovery lists."""
        return self._table.differs_from_listed(endpoint_name)

    def ordered_addresses(
        self, endpoint_name: str, now_us: int, for_probe: bool = False, excluded: Collection[Address] = ()
    ) -> list[Address]:
        """Return the addresses of an endpoint in the order in which to try them.

        An unhealthy address whose backoff is over comes first. Its backoff restarts, so that no other caller
        tries the address at the same time.
        """
        states = self._states_without(endpoint_name, excluded)
        healthy = self._interleave_families([state for state in states if not state.is_unhealthy])
        if for_probe:  # the address that answered least recently first
            healthy.sort(key=lambda state: state.last_success_us)
        else:
            _move_slow_back(healthy)
        unhealthy = sorted(
            (state for state in states if state.is_unhealthy),
            key=lambda state: (state.backoff_until_us, str(state.address)),
        )
        ordered = [*healthy, *unhealthy]
        if healthy and unhealthy and unhealthy[0].is_retry_due(now_us):
            retried = unhealthy[0]
            retried.backoff_until_us = now_us + self._backoff_us(retried)
            ordered = [retried, *healthy, *unhealthy[1:]]
        return [state.address for state in ordered]

    def preferred_address(self, endpoint_name: str, excluded: Collection[Address] = ()) -> Address | None:
        """Return the address that would come first without any history; None if there is no address.

        That is the first listed address of the most preferred family, or else the first of all addresses.
        """
        addresses = [state.address for state in self._states_without(endpoint_name, excluded)]
        for family in self.rules.family_preference:
            for address in addresses:
                if address.family == family:
                    return address
        return addresses[0] if addresses else None

    def new_race(
        self, endpoint_name: str, now_us: int, for_probe: bool = False, excluded: Collection[Address] = ()
    ) -> ConnectionRace:
        """Return the race for one connection or load probe, to be started by the caller."""
        order = self.ordered_addresses(endpoint_name, now_us, for_probe, excluded)
        if not order:
            return ConnectionRace([], [])
        if not for_probe and order[0] != self.preferred_address(endpoint_name, excluded):
            self.preferred_bypassed += 1
        states = self._table.states_of(endpoint_name)
        # Every address must be tried within the connect timeout.
        max_delay_us = max(MIN_ATTEMPT_DELAY_BOUND_US, self.connect_timeout_us // (len(order) + 1))
        delays_us = [min(max_delay_us, self._attempt_delay_us(states[address])) for address in order]
        if states[order[0]].is_unhealthy:
            delays_us[0] = min(delays_us[0], self.rules.connection_attempt_delay_us)
        return ConnectionRace(order, delays_us)

    def record_connected(self, endpoint_name: str, address: Address, connect_time_us: int) -> None:
        """Record the duration of a connect.

        An unhealthy address stays unhealthy: the endpoint may accept connections and never answer.
        """
        if (state := self._state_of(endpoint_name, address)) is not None:
            state.record_connected(connect_time_us)

    def record_connect_failure(self, endpoint_name: str, address: Address, now_us: int) -> None:
        """Record a connect that was refused, could not be made, or broke before the line was sent."""
        if (state := self._state_of(endpoint_name, address)) is not None:
            self._record_failure(state, now_us)

    def record_lost_race(self, endpoint_name: str, address: Address, waited_us: int, now_us: int) -> None:
        """Record a connect that began before the winner's and was not established when the winner's was.

        The lost race counts as a failure if the connect took longer than the attempt delay and much longer
        than the address usually takes.
        """
        state = self._state_of(endpoint_name, address)
        if state is None:
            return
        usual_us = max(self.rules.connection_attempt_delay_us, MUCH_SLOWER_RATIO * state.connect_time_us)
        if waited_us > usual_us * LOST_RACE_MARGIN:
            self._record_failure(state, now_us)

    def record_response(
        self, endpoint_name: str, address: Address, now_us: int, response_time_us: int = 0
    ) -> None:
        """Mark an address as healthy: the endpoint has answered on it.

        `response_time_us` is the response time of a load probe, or 0 for any other answer. It distinguishes
        addresses with similar connect times; the duration of a set-up depends on too much else.
        """
        if (state := self._state_of(endpoint_name, address)) is not None:
            state.record_response(now_us, response_time_us)

    def record_no_response(self, endpoint_name: str, address: Address, now_us: int) -> bool:
        """Record an attempt whose line was sent and not answered; return whether the address is at fault.

        The address is at fault if another address of the endpoint is healthy and the endpoint answered on it
        recently or was never asked on it. Otherwise the endpoint is at fault. If the other address fails as
        well, no healthy address is left, and the endpoint is at fault for that failure.
        """
        state = self._state_of(endpoint_name, address)
        if state is None:
            return False
        others = [other for other in self._table.states_of(endpoint_name).values() if other is not state]
        is_fault_of_address = any(other.may_be_alive(now_us) for other in others)
        if others:  # the failure of a sole address says nothing about the address
            self._record_failure(state, now_us)
        return is_fault_of_address

    def _state_of(self, endpoint_name: str, address: Address) -> AddressState | None:
        return self._table.states_of(endpoint_name).get(address)

    def _states_without(self, endpoint_name: str, excluded: Collection[Address]) -> list[AddressState]:
        states = self._table.states_of(endpoint_name).values()
        return [state for state in states if state.address not in excluded]

    def _interleave_families(self, states: list[AddressState]) -> list[AddressState]:
        """Return the states with families alternating: after a failure, another family is tried next."""
        preference = self.rules.family_preference
        families = [[state for state in states if state.address.family == family] for family in preference]
        families.append([state for state in states if state.address.family not in preference])
        interleaved: list[AddressState] = []
        while any(families):
            interleaved += [family.pop(0) for family in families if family]
        return interleaved

    def _attempt_delay_us(self, state: AddressState) -> int:
        """Return RFC 8305's Connection Attempt Delay: how long until the next address is tried as well."""
        usual_us = int(DELAY_PER_CONNECT_TIME * state.connect_time_us)
        return max(self.rules.connection_attempt_delay_us, min(MAX_ATTEMPT_DELAY_US, usual_us))

    def _record_failure(self, state: AddressState, now_us: int) -> None:
        state.record_failure()
        state.backoff_until_us = now_us + self._backoff_us(state)

    def _backoff_us(self, state: AddressState) -> int:
        jitter = self._rng.uniform(MIN_BACKOFF_JITTER, 1.0)
        return int(state.backoff_us(self.rules.max_backoff_us) * jitter)


def _move_slow_back(states: list[AddressState]) -> None:
    """Move addresses that are much slower than the fastest to the end; keep the order otherwise."""
    fastest_connect_us = min(
        (state.connect_time_us for state in states if state.connect_time_us), default=0.0
    )
    fastest_response_us = min(
        (state.response_time_us for state in states if state.response_time_us), default=0.0
    )
    max_connect_us = max(
        MUCH_SLOWER_RATIO * fastest_connect_us, fastest_connect_us + CONNECT_TIME_TOLERANCE_US
    )
    max_response_us = max(
        MUCH_SLOWER_RATIO * fastest_response_us, fastest_response_us + RESPONSE_TIME_TOLERANCE_US
    )
    states.sort(
        key=lambda state: (state.response_time_us > max_response_us, state.connect_time_us > max_connect_us)
    )
