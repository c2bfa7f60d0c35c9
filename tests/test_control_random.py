"""Seeded days of a small control plane under drawn faults, with a checker that knows the rules by itself."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace

import pytest

from gannetweir.control.assembly import VersionAssembly
from gannetweir.control.follower import ApplyEntries, Follower, FollowerEvent
from gannetweir.control.machine import ControlMachine, Wait
from gannetweir.control.machine_selector import MachineSelector
from gannetweir.control.publisher import MachineBehindError, Publisher
from gannetweir.control.versions import Ack, Entry, Nack, Reason, RejectedError, Resource, Slice, Version
from gannetweir.lab.scale.store import MemoryStore

M = Resource.MEMBERSHIP
MACHINES = ["c0", "c1", "c2"]
RELAYS = [f"r{n}" for n in range(6)]


class BadBodies:
    """Every relay's check: the store may hold what no relay can use."""

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        return "bad" if entry.body is not None and entry.body.startswith(b'"bad') else ""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        return ""


class RuleBrokenError(AssertionError):
    """A rule of the checker's."""


class Checker:
    """Knows which contents the store ever had, and which of them are good."""

    def __init__(self) -> None:
        self.contents: dict[tuple[int, int], dict[str, bytes]] = {}
        self.last: dict[str, Version] = {}

    def made(self, store: MemoryStore, version: Version) -> None:
        self.contents[version.epoch, version.number] = dict(store.contents[M].entries)

    def in_force(self, relay: str, version: Version, entries: dict[str, bytes]) -> None:
        last = self.last.get(relay, version)
        if (version.epoch, version.number) < (last.epoch, last.number):
            raise RuleBrokenError(f"{relay} went back")
        self.last[relay] = version
        if self.contents.get((version.epoch, version.number)) != entries:
            raise RuleBrokenError(f"{relay} holds what was never a version")
        if any(body.startswith(b'"bad') for body in entries.values()):
            raise RuleBrokenError(f"{relay} is on a version that is not good")


class Day:
    """One store, its machines and relays; messages are in flight until a draw delivers or spoils them."""

    def __init__(self, seed: int, kind: type[Follower]) -> None:
        self.draw, self.now = random.Random(seed), 10**9
        self.store, self.checker = MemoryStore(), Checker()
        self.change(bad=False)
        self.machines = {name: self.copy() for name in MACHINES}
        self.followers = {r: kind(M, BadBodies()) for r in RELAYS}
        self.calls = {r: MachineSelector(r, MACHINES, self.draw.random) for r in RELAYS}
        self.at: dict[str, str | None] = dict.fromkeys(RELAYS)
        self.history: list[Slice] = []
        self.flights: dict[str, list[Slice]] = {r: [] for r in RELAYS}

    def copy(self) -> ControlMachine:
        found = self.store.read(M)
        return ControlMachine({M: Publisher(M, found.version, found.entries)})

    def change(self, bad: bool) -> None:
        key = f"s{self.draw.randrange(12)}"
        body = b'"bad"' if bad else self.draw.choice([None, b'"%d"' % self.draw.randrange(99)])
        changes = {key: body}
        if not bad:  # what is bad is mended by the next change
            held = self.store.contents[M].entries
            changes |= {k: b'"ok"' for k, b in held.items() if b.startswith(b'"bad')}
        self.checker.made(self.store, self.store.put(M, changes))

    def follow(self, name: str) -> None:
        """A machine hears of what the store has."""
        publisher = self.machines[name].publishers[M]
        try:
            changes = self.store.changes_since(M, publisher.newest)
            if changes is None:
                found = self.store.read(M)
                publisher.load(found.version, found.entries)
            for change in changes or ():
                publisher.publish(change)
        except RejectedError:
            raise RuleBrokenError("the store's own change was turned down") from None

    def restart(self, name: str, copy: ControlMachine) -> None:
        self.machines[name] = copy
        for relay, at in self.at.items():
            if at == name:
                self.lose(relay)

    def lose(self, relay: str) -> None:
        if self.at[relay] is not None:
            self.machines[self.at[relay]].disconnect(relay)
        self.at[relay] = None
        self.flights[relay].clear()
        self.followers[relay].disconnected()
        self.calls[relay].record_failure()

    def call(self, relay: str) -> None:
        name = self.calls[relay].machine
        try:
            self.machines[name].connect(relay, {M: self.followers[relay].applied_version}, self.now)
        except MachineBehindError:
            self.calls[relay].record_failure()
        else:
            self.at[relay] = name

    def serve(self, relay: str) -> None:
        name = self.at[relay]
        if name is None:
            return self.call(relay)
        machine = self.machines[name]
        if machine.is_ack_overdue(relay, self.now):
            return self.lose(relay)
        part = machine.poll(relay, self.now)
        if isinstance(part, Wait):
            return None
        machine.record_sent(relay, 500)
        self.flights[relay].append(part)
        self.history.append(part)
        return None

    def deliver(self, relay: str, faults: bool) -> None:
        flights = self.flights[relay]
        if not flights:
            return
        part = flights.pop(0 if not faults or self.draw.random() < 0.9 else -1)
        if faults and self.draw.random() < 0.1:
            part = self.spoilt(part)
        follower = self.followers[relay]
        events = follower.receive(part)
        while not follower.is_idle:
            events += follower.step(self.draw.randrange(1, 4))
        for event in events:
            self.hear(relay, event, faults)

    def spoilt(self, part: Slice) -> Slice:
        """A gap, another base, another content, one that went out long ago, or another digest."""
        target, kind = part.target, self.draw.randrange(5)
        entries = (*part.entries[1:], Entry("s0", b'"spoilt"'))
        return [
            replace(part, index=part.index + 1, count=part.count + 1),
            replace(part, base=max(0, target.number - 2)),
            replace(part, entries=entries),
            self.draw.choice(self.history),
            replace(part, target=replace(target, digest=0)),
        ][kind]

    def hear(self, relay: str, event: FollowerEvent, faults: bool) -> None:
        follower, at = self.followers[relay], self.at[relay]
        if isinstance(event, ApplyEntries):
            return
        if isinstance(event, Ack):
            self.checker.in_force(relay, event.version, follower.applied.entries)
        if at is None or (faults and self.draw.random() < 0.1):  # the answer is lost
            return
        self.machines[at].record_answer(relay, event)
        if isinstance(event, Nack) and event.reason in (Reason.OLDER, Reason.CONFLICT):
            self.lose(relay)

    def fault(self, old: ControlMachine) -> None:
        kind, name = self.draw.randrange(7), self.draw.choice(MACHINES)
        if kind == 0:
            self.restart(name, self.copy())
        elif kind == 1:
            for each in MACHINES:
                self.restart(each, self.copy())
        elif kind == 2:
            self.restart(name, old)  # restored from an old copy
        elif kind == 3:
            self.lose(self.draw.choice(RELAYS))
        elif kind == 4:
            self.now -= self.draw.randrange(10**7)
        elif kind == 5:
            self.checker.made(
                self.store, self.store.restore(self.draw.randint(1, self.store.logs[M].newest.number))
            )
        else:
            self.change(bad=True)

    def play(self) -> None:
        for _ in range(400):
            self.now += self.draw.randrange(200_000)
            relay, what = self.draw.choice(RELAYS), self.draw.random()
            if what < 0.1:
                self.change(bad=False)
            elif what < 0.3:
                self.follow(self.draw.choice(MACHINES))
            elif what < 0.35:
                first = self.store.logs[M].changes[0]
                self.fault(ControlMachine({M: Publisher(M, first.version, _entries_of(first.entries))}))
            elif what < 0.7:
                self.serve(relay)
            else:
                self.deliver(relay, faults=True)
        self.settle()

    def settle(self) -> None:
        """No more faults: all has to come to the last version."""
        self.change(bad=False)
        for _ in range(60):
            self.now += 500_000
            for name in MACHINES:
                self.follow(name)
            for relay in RELAYS:
                self.serve(relay)
                while self.flights[relay]:
                    self.deliver(relay, faults=False)
        want = self.store.logs[M].newest
        late = [r for r, f in self.followers.items() if f.applied_version != want or not f.is_idle]
        if late:
            raise RuleBrokenError(f"not converged: {late}")


def _entries_of(changes: Mapping[str, bytes | None]) -> list[Entry]:
    return [Entry(key, body) for key, body in changes.items() if body is not None]


@pytest.mark.parametrize("seed", range(100))
def test_a_day_of_drawn_faults(seed: int) -> None:
    Day(seed, Follower).play()


class NoDigest(Follower):
    def _accept(self, assembly: VersionAssembly) -> None:
        assembly.first_slice = replace(
            assembly.first_slice, target=replace(assembly.target, digest=assembly.digest)
        )
        super()._accept(assembly)


class NoChecks(Follower):
    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.check.check_entry = lambda resource, entry: ""  # type: ignore[method-assign]


class GoesBack(Follower):
    def _check_order(self, part: Slice) -> None:
        if part.base is not None:
            super()._check_order(part)


class NeverAgain(Follower):
    def receive(self, part: Slice) -> list[FollowerEvent]:
        stuck = self.permanent_rejection is not None and self.permanent_rejection[0] != part.target
        return [] if stuck else super().receive(part)


@pytest.mark.parametrize(
    ("kind", "rule"),
    [
        (NoDigest, "never a version"),
        (NoChecks, "not good"),
        (GoesBack, "went back"),
        (NeverAgain, "not converged"),
    ],
)
def test_the_checker_catches_each_rule_broken_on_purpose(kind: type[Follower], rule: str) -> None:
    found = set[str]()
    for seed in range(40):
        try:
            Day(seed, kind).play()
        except RuleBrokenError as broken:
            found.add(str(broken))
            if rule in str(broken):
                return
    raise AssertionError(found)
