"""What an operators' file says of servers' addresses, and the check of it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase

from gannetweir.addresses.address import FAMILIES, Address, AddressError, parse_address

HOST_PLACEHOLDER = "{host}"  # in an address of a pattern: the server's own name


@dataclass(frozen=True, slots=True)
class EndpointRule:
    """The addresses of a server, or of all whose names fit a pattern with `*` or `?`."""

    name: str
    addresses: tuple[str, ...]
    includes_listed_addresses: bool = True  # what discovery tells is one of them, the last
    line: int = 0

    @property
    def is_pattern(self) -> bool:
        """Does it mean more than one server?"""
        return any(sign in self.name for sign in "*?[")


@dataclass(frozen=True, slots=True)
class AddressRules:
    """How servers are reached."""

    endpoint_rules: tuple[EndpointRule, ...] = ()
    family_preference: tuple[str, ...] = FAMILIES
    connection_attempt_delay_us: int = (
        30_000  # before the next address is tried, at least; more where connects are slow
    )
    max_backoff_us: int = 4_000_000  # a broken path is tried again at least so often

    def addresses_of(
        self, endpoint_name: str, address: str = "", more_addresses: Sequence[str] = ()
    ) -> tuple[Address, ...]:
        """All addresses of a server, in the order told, each once. What can't be read is left out: one bad
        literal in a list must not cost the others.
        """
        rule = next(
            (r for r in self.endpoint_rules if r.name == endpoint_name or fnmatchcase(endpoint_name, r.name)),
            None,
        )
        told = (
            [text.replace(HOST_PLACEHOLDER, endpoint_name) for text in rule.addresses]
            if rule is not None
            else []
        )
        told += [*more_addresses, address] if rule is None or rule.includes_listed_addresses else []
        found: dict[Address, None] = {}
        for text in filter(None, told):
            try:
                found[parse_address(text)] = None
            except AddressError:
                continue
        return tuple(found)


Problem = tuple[int, str, str, str]  # line, where, what was found, what is allowed


def check_address_rules(
    rules: AddressRules, endpoint_names: Sequence[str] = (), connect_timeout_us: int = 0
) -> Iterator[Problem]:
    """All that is wrong; `hosts` are the servers known so far, for which patterns are tried."""
    seen: dict[Address, str] = {}
    names: set[str] = set()
    for rule in rules.endpoint_rules:
        where = f"server {rule.name}"
        if rule.name in names:
            yield rule.line, where, "a second server of this name", "one of each"
            continue
        names.add(rule.name)
        if not rule.addresses and not rule.includes_listed_addresses:
            yield rule.line, where, "no address", "an address, or discovery's: dial #true"
        yield from _addresses(rule, where, seen, endpoint_names)
    if connect_timeout_us and rules.connection_attempt_delay_us * 2 > connect_timeout_us:
        found = f"{rules.connection_attempt_delay_us / 1000:g}ms"
        yield (
            0,
            "reach fallback",
            found,
            f"at most half the connect time-out, {connect_timeout_us / 2000:g}ms",
        )


def _addresses(
    rule: EndpointRule, where: str, seen: dict[Address, str], hosts: Sequence[str]
) -> Iterator[Problem]:
    for text in rule.addresses:
        if rule.is_pattern and HOST_PLACEHOLDER not in text:
            found = f"{text!r} for every server that fits"
            yield rule.line, where, found, f"{HOST_PLACEHOLDER} in it, or one server's name"
            continue
        names = [h for h in hosts if fnmatchcase(h, rule.name)] if rule.is_pattern else [rule.name]
        for name in names or ["x"]:
            try:
                address = parse_address(text.replace(HOST_PLACEHOLDER, name))
            except AddressError as error:
                yield rule.line, where, f"found {text[:120]!r}", str(error)
                break
            if address in seen:
                yield rule.line, where, f"{address} is {seen[address]}'s already", "an address for one server"
                break
            seen[address] = name if names else where
