"""What an operators' file says of servers' addresses, and the check of it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase

from gannetweir.addresses.address import FAMILIES, Address, AddressError, parse

HOST = "{host}"  # in an address of a pattern: the server's own name


@dataclass(frozen=True, slots=True)
class ServerRule:
    """The addresses of a server, or of all whose names fit a pattern with `*` or `?`."""

    name: str
    addresses: tuple[str, ...]
    dial: bool = True  # what discovery tells is one of them, the last
    line: int = 0

    @property
    def pattern(self) -> bool:
        """Does it mean more than one server?"""
        return any(sign in self.name for sign in "*?[")


@dataclass(frozen=True, slots=True)
class AddressRules:
    """How servers are reached."""

    servers: tuple[ServerRule, ...] = ()
    prefer: tuple[str, ...] = FAMILIES
    fallback_us: int = 30_000  # before the next address is tried, at least; more where connects are slow
    mend_us: int = 4_000_000  # a broken path is tried again at least so often

    def addresses(self, server: str, dial: str = "", dials: Sequence[str] = ()) -> tuple[Address, ...]:
        """All addresses of a server, in the order told, each once. What can't be read is left out: one bad
        literal in a list must not cost the others.
        """
        rule = next((r for r in self.servers if r.name == server or fnmatchcase(server, r.name)), None)
        told = [text.replace(HOST, server) for text in rule.addresses] if rule is not None else []
        told += [*dials, dial] if rule is None or rule.dial else []
        found: dict[Address, None] = {}
        for text in filter(None, told):
            try:
                found[parse(text)] = None
            except AddressError:
                continue
        return tuple(found)


Problem = tuple[int, str, str, str]  # line, where, what was found, what is allowed


def check(rules: AddressRules, hosts: Sequence[str] = (), connect_us: int = 0) -> Iterator[Problem]:
    """All that is wrong; `hosts` are the servers known so far, for which patterns are tried."""
    seen: dict[Address, str] = {}
    names: set[str] = set()
    for rule in rules.servers:
        where = f"server {rule.name}"
        if rule.name in names:
            yield rule.line, where, "a second server of this name", "one of each"
            continue
        names.add(rule.name)
        if not rule.addresses and not rule.dial:
            yield rule.line, where, "no address", "an address, or discovery's: dial #true"
        yield from _addresses(rule, where, seen, hosts)
    if connect_us and rules.fallback_us * 2 > connect_us:
        found = f"{rules.fallback_us / 1000:g}ms"
        yield 0, "reach fallback", found, f"at most half the connect time-out, {connect_us / 2000:g}ms"


def _addresses(
    rule: ServerRule, where: str, seen: dict[Address, str], hosts: Sequence[str]
) -> Iterator[Problem]:
    for text in rule.addresses:
        if rule.pattern and HOST not in text:
            found = f"{text!r} for every server that fits"
            yield rule.line, where, found, f"{HOST} in it, or one server's name"
            continue
        names = [h for h in hosts if fnmatchcase(h, rule.name)] if rule.pattern else [rule.name]
        for name in names or ["x"]:
            try:
                address = parse(text.replace(HOST, name))
            except AddressError as error:
                yield rule.line, where, f"found {text[:120]!r}", str(error)
                break
            if address in seen:
                yield rule.line, where, f"{address} is {seen[address]}'s already", "an address for one server"
                break
            seen[address] = name if names else where
