"""In which order the addresses of an endpoint are tried, how soon the next one, and whose fault a failure is.

The order begins as RFC 8305 (Happy Eyeballs) and RFC 6724 have it: families by preference, interleaved. What
is known of the addresses goes before it: unhealthy ones come last, and among healthy ones a much quicker one
first. An unhealthy address is tried again after a backoff that grows up to a bound, by one probe or
connection, the next address close behind. Load probes go round the healthy addresses, so that the state of
each is fresh.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from gannetweir.addresses.address import Address
from gannetweir.addresses.address_state import AddressState
from gannetweir.addresses.address_table import AddressTable
from gannetweir.addresses.connection_race import ConnectionRace
from gannetweir.addresses.rules import AddressRules

MUCH_SLOWER_RATIO = 4.0  # of one address to another, before it goes behind it against the preference
CONNECT_TIME_TOLERANCE_US = 5_000  # a difference under this is noise
RESPONSE_TIME_TOLERANCE_US = 30_000  # the same for responses, which take longer and vary more
MIN_ATTEMPT_DELAY_BOUND_US = 1_000  # however many addresses share the connect time-out
MAX_ATTEMPT_DELAY_US = 250_000  # RFC 8305, section 5, recommends so much without a history
DELAY_PER_CONNECT_TIME = 2  # RFC 8305, section 5: the delay follows the usual time of a connect
LOST_RACE_MARGIN = 0.95  # of the delay: timers end a little early
MIN_BACKOFF_JITTER = 0.75  # of the backoff: relays that saw one failure do not return together
_RNG_SALT = 0x5EA1  # draws of their own: the engine's stay as they are where a relay selects addresses


class AddressSelector:
    """The order of all addresses of one relay's endpoints. Changes their states by what is recorded."""

    def __init__(self, rules: AddressRules, seed: int, connect_timeout_us: int) -> None:
        self.rules = rules
        self.connect_timeout_us = connect_timeout_us
        self.preferred_bypassed = 0  # connections whose preferred address was unhealthy or much slower
        self._rng = random.Random(seed ^ _RNG_SALT)
        self._table = AddressTable(rules)

    @property
    def states_by_endpoint(self) -> Mapping[str, Mapping[Address, AddressState]]:
        """The states of all addresses, by the endpoint's name."""
        return self._table.states_by_endpoint

    def apply_rules(self, rules: AddressRules, connect_timeout_us: int) -> None:
        """Select by other rules from now on. The state of an address that its endpoint keeps stays."""
        self.rules = rules
        self.connect_timeout_us = connect_timeout_us
        self._table.apply_rules(rules)

    def update_endpoint(self, endpoint_name: str, address: str, more_addresses: Sequence[str] = ()) -> None:
        """Take what discovery lists of an endpoint."""
        self._table.update_endpoint(endpoint_name, address, more_addresses)

    def remove_endpoint(self, endpoint_name: str) -> None:
        """Drop an endpoint that has left the list."""
        self._table.remove_endpoint(endpoint_name)

    def selects_address(self, endpoint_name: str) -> bool:
        """Whether the address is selected here; not where the one that discovery lists is the only one."""
        return self._table.differs_from_listed(endpoint_name)

    def ordered_addresses(
        self, endpoint_name: str, now_us: int, for_probe: bool = False, excluded: Collection[Address] = ()
    ) -> list[Address]:
        """Return the addresses of an endpoint, the first to be tried first.

        An unhealthy one whose backoff is over goes first, and not for others while it is tried: its backoff
        starts again.
        """
        states = self._states_without(endpoint_name, excluded)
        healthy = self._interleave_families([state for state in states if not state.is_unhealthy])
        if for_probe:  # each in its turn
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
        """Return the address that would go first if nothing were known of any; None where there is none.

        It is the first of the preferred family, as listed, or else the first of all.
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
        """Return the connects of one connection or load probe, to be started by the caller."""
        order = self.ordered_addresses(endpoint_name, now_us, for_probe, excluded)
        if not order:
            return ConnectionRace([], [])
        if not for_probe and order[0] != self.preferred_address(endpoint_name, excluded):
            self.preferred_bypassed += 1
        states = self._table.states_of(endpoint_name)
        # all of them get their chance within the connect time-out
        max_delay_us = max(MIN_ATTEMPT_DELAY_BOUND_US, self.connect_timeout_us // (len(order) + 1))
        delays_us = [min(max_delay_us, self._attempt_delay_us(states[address])) for address in order]
        if states[order[0]].is_unhealthy:
            delays_us[0] = min(delays_us[0], self.rules.connection_attempt_delay_us)
        return ConnectionRace(order, delays_us)

    def record_connected(self, endpoint_name: str, address: Address, connect_time_us: int) -> None:
        """Take the time of a connect. The address stays unhealthy, if it is: the endpoint may be silent."""
        if (state := self._state_of(endpoint_name, address)) is not None:
            state.record_connected(connect_time_us)

    def record_connect_failure(self, endpoint_name: str, address: Address, now_us: int) -> None:
        """Count a connect that was refused, could not be made, or broke before the line was sent."""
        if (state := self._state_of(endpoint_name, address)) is not None:
            self._record_failure(state, now_us)

    def record_lost_race(self, endpoint_name: str, address: Address, waited_us: int, now_us: int) -> None:
        """Judge a connect that began earlier and was not up when another won.

        That is a failure where it had much longer than it ever takes, or than the one that won was given.
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
        """Make an address healthy: the endpoint has answered on it.

        `response_time_us` is a load probe's time, which tells addresses apart that connect alike; set-ups
        depend on too much else.
        """
        if (state := self._state_of(endpoint_name, address)) is not None:
            state.record_response(now_us, response_time_us)

    def record_no_response(self, endpoint_name: str, address: Address, now_us: int) -> bool:
        """Judge an attempt whose line was sent and not answered; return whether it is the address's fault.

        Otherwise it is the endpoint's. It is the address's where another one is healthy: the endpoint has
        answered there lately, or was not asked. Should that one fail as well, none is left that is healthy,
        and the failure is the endpoint's.
        """
        state = self._state_of(endpoint_name, address)
        if state is None:
            return False
        others = [other for other in self._table.states_of(endpoint_name).values() if other is not state]
        is_fault_of_address = any(other.may_be_alive(now_us) for other in others)
        if others:  # the failure of an only address says nothing of the address
            self._record_failure(state, now_us)
        return is_fault_of_address

    def _state_of(self, endpoint_name: str, address: Address) -> AddressState | None:
        return self._table.states_of(endpoint_name).get(address)

    def _states_without(self, endpoint_name: str, excluded: Collection[Address]) -> list[AddressState]:
        states = self._table.states_of(endpoint_name).values()
        return [state for state in states if state.address not in excluded]

    def _interleave_families(self, states: list[AddressState]) -> list[AddressState]:
        """Return families in turn, by preference: the next is of another family than what just failed."""
        preference = self.rules.family_preference
        families = [[state for state in states if state.address.family == family] for family in preference]
        families.append([state for state in states if state.address.family not in preference])
        interleaved: list[AddressState] = []
        while any(families):
            interleaved += [family.pop(0) for family in families if family]
        return interleaved

    def _attempt_delay_us(self, state: AddressState) -> int:
        """Return RFC 8305's Connection Attempt Delay: how long until the next address is tried beside."""
        usual_us = int(DELAY_PER_CONNECT_TIME * state.connect_time_us)
        return max(self.rules.connection_attempt_delay_us, min(MAX_ATTEMPT_DELAY_US, usual_us))

    def _record_failure(self, state: AddressState, now_us: int) -> None:
        state.record_failure()
        state.backoff_until_us = now_us + self._backoff_us(state)

    def _backoff_us(self, state: AddressState) -> int:
        jitter = self._rng.uniform(MIN_BACKOFF_JITTER, 1.0)
        return int(state.backoff_us(self.rules.max_backoff_us) * jitter)


def _move_slow_back(states: list[AddressState]) -> None:
    """Move those behind that are much slower than the quickest; the order stays otherwise."""
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
