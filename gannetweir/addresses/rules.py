"""The rules of an operators' file for endpoints' addresses, and the check of these rules."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase

from gannetweir.addresses.address import FAMILIES, Address, AddressError, parse_address
from gannetweir.mistakes import Mistake

HOST_PLACEHOLDER = "{host}"  # replaced by the endpoint's name in a rule's address
ATTEMPTS_PER_CONNECT_TIMEOUT = 2  # at least so many addresses are tried within the connect timeout
_MAX_SHOWN_CHARACTERS = 120
_SAMPLE_ENDPOINT_NAME = "x"  # used to check the addresses of a pattern that no known endpoint matches


@dataclass(frozen=True, slots=True)
class EndpointRule:
    """The addresses of an endpoint, or of all endpoints whose names match a pattern with `*` or `?`."""

    name: str
    addresses: tuple[str, ...]
    includes_listed_addresses: bool = True  # appends the addresses that discovery lists
    line: int = 0

    @property
    def is_pattern(self) -> bool:
        """Whether the rule may cover more than one endpoint."""
        return any(sign in self.name for sign in "*?[")

    def covers(self, endpoint_name: str) -> bool:
        """Whether the rule states the addresses of this endpoint."""
        return self.name == endpoint_name or fnmatchcase(endpoint_name, self.name)


@dataclass(frozen=True, slots=True)
class AddressRules:
    """How the relay connects to endpoints with several addresses."""

    endpoint_rules: tuple[EndpointRule, ...] = ()
    family_preference: tuple[str, ...] = FAMILIES
    # The minimum delay before the next address is tried as well; the delay is longer if connects are slow.
    connection_attempt_delay_us: int = 30_000
    max_backoff_us: int = 4_000_000  # the longest backoff of an unhealthy address

    def addresses_of(
        self, endpoint_name: str, address: str = "", additional_addresses: Sequence[str] = ()
    ) -> tuple[Address, ...]:
        """Return all addresses of an endpoint in the order stated, each once; the listed `address` is last.

        Invalid literals are left out: one bad literal in a list must not cost the endpoint the others.
        """
        rule = next((rule for rule in self.endpoint_rules if rule.covers(endpoint_name)), None)
        literals: list[str] = []
        if rule is not None:
            literals += [literal.replace(HOST_PLACEHOLDER, endpoint_name) for literal in rule.addresses]
        if rule is None or rule.includes_listed_addresses:
            literals += [*additional_addresses, address]
        addresses: dict[Address, None] = {}  # an ordered set
        for literal in filter(None, literals):
            try:
                addresses[parse_address(literal)] = None
            except AddressError:
                continue
        return tuple(addresses)


def check_address_rules(
    rules: AddressRules, endpoint_names: Sequence[str] = (), connect_timeout_us: int = 0
) -> Iterator[Mistake]:
    """Return all mistakes. Patterns are checked with `endpoint_names`, the endpoints known so far."""
    owners: dict[Address, str] = {}
    names: set[str] = set()
    for rule in rules.endpoint_rules:
        where = f"server {rule.name}"
        if rule.name in names:
            yield Mistake(rule.line, where, "a second server of this name", "each name once")
            continue
        names.add(rule.name)
        if not rule.addresses and not rule.includes_listed_addresses:
            yield Mistake(rule.line, where, "no address", "an address, or discovery's: dial #true")
        for literal in rule.addresses:
            yield from _literal_mistakes(rule, literal, owners, endpoint_names)
    delay_us = rules.connection_attempt_delay_us
    if connect_timeout_us and delay_us * ATTEMPTS_PER_CONNECT_TIMEOUT > connect_timeout_us:
        max_delay_ms = connect_timeout_us / ATTEMPTS_PER_CONNECT_TIMEOUT / 1000
        allowed = f"at most half the connect time-out, {max_delay_ms:g}ms"
        yield Mistake(0, "reach fallback", f"{delay_us / 1000:g}ms", allowed)


def _literal_mistakes(
    rule: EndpointRule, literal: str, owners: dict[Address, str], endpoint_names: Sequence[str]
) -> Iterator[Mistake]:
    """Return the mistake of one address of a rule, if any; record the address's endpoint in `owners`."""
    where = f"server {rule.name}"
    if rule.is_pattern and HOST_PLACEHOLDER not in literal:
        found = f"{literal!r} for every server that fits"
        yield Mistake(rule.line, where, found, f"{HOST_PLACEHOLDER} in it, or one server's name")
        return
    names = [rule.name]
    if rule.is_pattern:
        names = [name for name in endpoint_names if fnmatchcase(name, rule.name)]
    for name in names or [_SAMPLE_ENDPOINT_NAME]:
        try:
            address = parse_address(literal.replace(HOST_PLACEHOLDER, name))
        except AddressError as error:
            yield Mistake(rule.line, where, f"found {literal[:_MAX_SHOWN_CHARACTERS]!r}", str(error))
            return
        if address in owners:
            found = f"{address} is {owners[address]}'s already"
            yield Mistake(rule.line, where, found, "an address for one server")
            return
        owners[address] = name if names else where
