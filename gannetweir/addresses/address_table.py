"""The addresses of each endpoint, by the operators' rules and by the endpoint list of discovery."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from gannetweir.addresses.address import Address
from gannetweir.addresses.address_state import AddressState
from gannetweir.addresses.rules import AddressRules


class ListedAddresses(NamedTuple):
    """The addresses of an endpoint as discovery lists them."""

    address: str
    additional_addresses: tuple[str, ...]


class AddressTable:
    """The addresses of all endpoints of one relay, with their states. An address belongs to one endpoint."""

    def __init__(self, rules: AddressRules) -> None:
        self.states_by_endpoint: dict[str, dict[Address, AddressState]] = {}
        self._rules = rules
        self._endpoint_by_address: dict[Address, str] = {}
        self._listed: dict[str, ListedAddresses] = {}
        self._differs_from_listed: dict[str, bool] = {}

    def apply_rules(self, rules: AddressRules) -> None:
        """Reassign all addresses by other rules. An address that stays with its endpoint keeps its state."""
        previous = self.states_by_endpoint
        self._rules = rules
        self.states_by_endpoint = {}
        self._endpoint_by_address = {}  # the rules may move an address to another endpoint
        for endpoint_name, listed in self._listed.items():
            self._assign(endpoint_name, listed, previous.get(endpoint_name, {}))

    def update_endpoint(
        self, endpoint_name: str, address: str, additional_addresses: Sequence[str] = ()
    ) -> None:
        """Update an endpoint with the addresses that discovery lists; does nothing if they are unchanged."""
        listed = ListedAddresses(address, tuple(additional_addresses))
        if self._listed.get(endpoint_name) != listed:
            self._listed[endpoint_name] = listed
            self._assign(endpoint_name, listed, self._release(endpoint_name))

    def remove_endpoint(self, endpoint_name: str) -> None:
        """Remove an endpoint and the states of its addresses."""
        self._release(endpoint_name)
        self._listed.pop(endpoint_name, None)
        self._differs_from_listed.pop(endpoint_name, None)

    def differs_from_listed(self, endpoint_name: str) -> bool:
        """Whether an endpoint's addresses are other than just the one that discovery lists."""
        return self._differs_from_listed.get(endpoint_name, False)

    def states_of(self, endpoint_name: str) -> dict[Address, AddressState]:
        """Return the states of an endpoint's addresses in the order stated; empty for an unknown endpoint."""
        return self.states_by_endpoint.get(endpoint_name, {})

    def _assign(
        self, endpoint_name: str, listed: ListedAddresses, previous: Mapping[Address, AddressState]
    ) -> None:
        addresses = self._rules.addresses_of(endpoint_name, listed.address, listed.additional_addresses)
        # An address of another endpoint is left out: lines sent to it would reach the wrong endpoint.
        assigned = [
            address
            for address in addresses
            if self._endpoint_by_address.setdefault(address, endpoint_name) == endpoint_name
        ]
        self.states_by_endpoint[endpoint_name] = {
            address: previous.get(address) or AddressState(address) for address in assigned
        }
        self._differs_from_listed[endpoint_name] = [str(address) for address in assigned] != [listed.address]

    def _release(self, endpoint_name: str) -> dict[Address, AddressState]:
        states = self.states_by_endpoint.pop(endpoint_name, {})
        for address in states:
            del self._endpoint_by_address[address]
        return states
