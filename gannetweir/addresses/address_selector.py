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
from gannetweir.addresses.connection_race import Race
from gannetweir.addresses.rules import AddressRules

FIRST_REST_US = 250_000
MOST_STRIKES = 8
GOOD_US = 10_000_000  # an answer so recent says that the server lives
MUCH_QUICKER = 4.0  # one path over another, before it goes first against the preference
NOTICEABLE_US = 5_000
LATE_US = 30_000  # the same for answers, which take longer and vary more
SLOWEST_US = 250_000


@dataclass(slots=True)
class AddressState:
    """One address of one server."""

    address: Address
    connect_us: float = 0.0  # smoothed; 0: never connected
    answer_us: float = 0.0  # how long a probe's answer takes on it, smoothed; 0: never asked
    strikes: int = 0
    rest_until_us: int = 0  # broken until then, and then to be tried again
    good_us: int = 0  # when the server last answered on it

    def broken(self) -> bool:
        """Did it fail, and has not been found sound since?"""
        return self.strikes > 0

    def due(self, now_us: int) -> bool:
        """Broken, and to be tried again?"""
        return self.strikes > 0 and now_us >= self.rest_until_us


class AddressSelector:
    """All paths of all servers of one relay."""

    def __init__(self, rules: AddressRules, seed: int, connect_us: int) -> None:
        self.rules, self.connect_us = rules, connect_us
        self.rng = random.Random(seed ^ 0x5EA1)
        self.known: dict[str, dict[Address, AddressState]] = {}
        self.owners: dict[Address, str] = {}  # an address is one server's
        self.told: dict[str, tuple[str, tuple[str, ...]]] = {}  # what discovery said of each
        self.choice: dict[str, bool] = {}  # is there anything but discovery's own address?
        self.passed_over = 0  # flows whose preferred address was found broken or much slower, and came later

    def take(self, rules: AddressRules, connect_us: int) -> None:
        """Other rules, from now on. What was learnt of an address that a server keeps stays."""
        self.rules, self.connect_us = rules, connect_us
        old, self.known, self.owners = self.known, {}, {}  # one server's may be another's from now on
        for server, (dial, dials) in self.told.items():
            self._lay(server, dial, dials, old.get(server, {}))

    def tell(self, server: str, dial: str, dials: Sequence[str] = ()) -> None:
        """Discovery has told of a server."""
        told = dial, tuple(dials)
        if self.told.get(server) != told:
            self.told[server] = told
            self._lay(server, *told, self._take_away(server))

    def _lay(self, server: str, dial: str, dials: Sequence[str], old: Mapping[Address, AddressState]) -> None:
        addresses = self.rules.addresses(server, dial, dials)
        # what another server has already is not this one's: its lines would go to the wrong one
        own = [a for a in addresses if self.owners.setdefault(a, server) == server]
        self.known[server] = {a: old.get(a) or AddressState(a) for a in own}
        self.choice[server] = [str(a) for a in own] != [dial]

    def _take_away(self, server: str) -> dict[Address, AddressState]:
        old = self.known.pop(server, {})
        for address in old:
            del self.owners[address]
        return old

    def forget(self, server: str) -> None:
        """It is gone."""
        self._take_away(server)
        self.told.pop(server, None)
        self.choice.pop(server, None)

    def chosen(self, server: str) -> bool:
        """Is the way there chosen here? Not where discovery's address is the only one."""
        return self.choice.get(server, False)

    # ---- the order

    def order(
        self, server: str, now_us: int, probe: bool = False, skip: Collection[Address] = ()
    ) -> list[Address]:
        """The addresses of a server, the first to be tried first. One that is due to be tried again goes
        first, and is not offered to the next ones while it is tried.
        """
        paths = [p for p in self.known.get(server, {}).values() if p.address not in skip]
        sound = self._in_turn([p for p in paths if not p.broken()])
        quick = min((p.connect_us for p in sound if p.connect_us), default=0.0)
        prompt = min((p.answer_us for p in sound if p.answer_us), default=0.0)
        if probe:  # each in its turn
            sound.sort(key=lambda p: p.good_us)
        else:  # a stable sort: the preference holds but where one is noticeably and much slower
            sound.sort(
                key=lambda p: (
                    p.answer_us > max(MUCH_QUICKER * prompt, prompt + LATE_US),
                    p.connect_us > max(MUCH_QUICKER * quick, quick + NOTICEABLE_US),
                )
            )
        broken = sorted((p for p in paths if p.broken()), key=lambda p: (p.rest_until_us, str(p.address)))
        if sound and broken and broken[0].due(now_us):
            first = broken.pop(0)
            first.rest_until_us = now_us + self._rest_us(first)  # no crowd at it
            return [p.address for p in (first, *sound, *broken)]
        return [p.address for p in (*sound, *broken)]

    def preferred(self, server: str, skip: Collection[Address] = ()) -> Address | None:
        """The address that would go first if nothing had been learnt."""
        paths = [path for path in self.known.get(server, {}).values() if path.address not in skip]
        families = [path.address.family for path in paths]
        wanted = next((family for family in self.rules.prefer if family in families), None)
        at = families.index(wanted) if wanted is not None else 0  # the first of its family, as it was told
        return paths[at].address if paths else None

    def _in_turn(self, paths: list[AddressState]) -> list[AddressState]:
        """Families in turn, by preference: the next to be tried is of another kind than what just failed."""
        groups = [[p for p in paths if p.address.family == family] for family in self.rules.prefer]
        groups += [[p for p in paths if p.address.family not in self.rules.prefer]]
        found: list[AddressState] = []
        while any(groups):
            found += [group.pop(0) for group in groups if group]
        return found

    def race(self, server: str, now_us: int, probe: bool = False, skip: Collection[Address] = ()) -> Race:
        """The connects of one flow or probe."""
        order = self.order(server, now_us, probe, skip)
        if order and not probe and order[0] != self.preferred(server, skip):
            self.passed_over += 1
        known = self.known.get(server, {})
        # all of them get their chance within the connect time-out
        most = max(1_000, self.connect_us // (len(order) + 1)) if order else 1_000
        delays = [
            min(most, max(self.rules.fallback_us, min(SLOWEST_US, int(2 * known[a].connect_us))))
            for a in order
        ]
        if order and known[order[0]].broken():
            delays[0] = min(delays[0], self.rules.fallback_us)
        return Race(order, delays)

    # ---- what is learnt

    def _path(self, server: str, address: Address) -> AddressState | None:
        return self.known.get(server, {}).get(address)

    def _rest_us(self, path: AddressState) -> int:
        wait = min(FIRST_REST_US << min(path.strikes, MOST_STRIKES), self.rules.mend_us)
        return int(wait * self.rng.uniform(0.75, 1.0))

    def _strike(self, path: AddressState, now_us: int) -> None:
        path.strikes = min(path.strikes + 1, MOST_STRIKES)
        path.rest_until_us = now_us + self._rest_us(path)

    def connected(self, server: str, address: Address, took_us: int) -> None:
        """A connect came up. That alone mends nothing: one that accepts may still be silent."""
        if (path := self._path(server, address)) is not None:
            path.connect_us += (took_us - path.connect_us) * (0.25 if path.connect_us else 1.0)

    def failed(self, server: str, address: Address, now_us: int) -> None:
        """A connect was refused, could not be made, or broke before the line was out."""
        if (path := self._path(server, address)) is not None:
            self._strike(path, now_us)

    def overtaken(self, server: str, address: Address, waited_us: int, now_us: int) -> None:
        """A connect that began earlier was not up when another won. That is a fault where it had had much
        longer than it ever takes, or than the one that won was given.
        """
        path = self._path(server, address)
        if path is not None and waited_us > max(self.rules.fallback_us, 4 * path.connect_us) * 0.95:
            self._strike(path, now_us)

    def answered(self, server: str, address: Address, now_us: int, took_us: int = 0) -> None:
        """The server has said something on this path: it is sound. `took_us` is a probe's time, which tells
        paths apart that connect alike; set-ups depend on too much else.
        """
        if (path := self._path(server, address)) is not None:
            path.strikes, path.rest_until_us, path.good_us = 0, 0, now_us
            if took_us > 0:
                path.answer_us += (took_us - path.answer_us) * (0.25 if path.answer_us else 1.0)

    def unanswered(self, server: str, address: Address, now_us: int) -> bool:
        """The line was out and nothing came, or an end did. Is it the path's fault, and not the server's? So
        it is held where another path is sound: the server has answered there lately, or has not been asked.
        Should that one fail as well, none is left that is sound, and the failure is the server's.
        """
        path = self._path(server, address)
        if path is None:
            return False
        others = [p for p in self.known[server].values() if p is not path]
        lives = any(not p.broken() and (not p.good_us or now_us - p.good_us <= GOOD_US) for p in others)
        # with no other path that is sound the failure says nothing of this one
        if others:
            self._strike(path, now_us)
        return lives

    def present(self, server: str) -> list[tuple[str, bool, float]]:
        """For the people on call: each address, whether it is broken, its smoothed connect time."""
        return [(str(p.address), p.broken(), p.connect_us) for p in self.known.get(server, {}).values()]
