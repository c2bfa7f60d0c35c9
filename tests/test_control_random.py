"""Seeded runs of a small control plane under random faults, with an independent invariant checker."""

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

MEMBERSHIP = Resource.MEMBERSHIP
MACHINES = ["c0", "c1", "c2"]
RELAYS = [f"r{n}" for n in range(6)]


class RejectBadBodies:
    """The check of every relay: the store may have entries that no relay can use."""

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        return "bad" if entry.body is not None and entry.body.startswith(b'"bad') else ""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        return ""


class InvariantViolationError(AssertionError):
    """The checker found a violated invariant."""


class InvariantChecker:
    """Compares applied versions with all contents that the store has had, and with the relays' check."""

    def __init__(self) -> None:
        self.contents: dict[tuple[int, int], dict[str, bytes]] = {}
        self.last: dict[str, Version] = {}

    def record_version(self, store: MemoryStore, version: Version) -> None:
        self.contents[version.epoch, version.number] = dict(store.contents[MEMBERSHIP].entries)

    def check_applied(self, relay: str, version: Version, entries: dict[str, bytes]) -> None:
        last = self.last.get(relay, version)
        if (version.epoch, version.number) < (last.epoch, last.number):
            raise InvariantViolationError(f"{relay} applied an older version")
        self.last[relay] = version
        if self.contents.get((version.epoch, version.number)) != entries:
            raise InvariantViolationError(f"{relay} applied a content that the store never had")
        if any(body.startswith(b'"bad') for body in entries.values()):
            raise InvariantViolationError(f"{relay} applied a version that fails its check")


class FaultyRun:
    """A run of a store, its machines and relays; random events deliver or corrupt messages in flight."""

    def __init__(self, seed: int, kind: type[Follower]) -> None:
        self.rng = random.Random(seed)
        self.now_us = 10**9
        self.store = MemoryStore()
        self.checker = InvariantChecker()
        self.change_store(bad=False)
        self.machines = {name: self.machine_from_store() for name in MACHINES}
        self.followers = {relay: kind(MEMBERSHIP, RejectBadBodies()) for relay in RELAYS}
        self.selectors = {relay: MachineSelector(relay, MACHINES, self.rng.random) for relay in RELAYS}
        self.connected_machine: dict[str, str | None] = dict.fromkeys(RELAYS)
        self.sent_slices: list[Slice] = []
        self.in_flight: dict[str, list[Slice]] = {relay: [] for relay in RELAYS}

    def machine_from_store(self) -> ControlMachine:
        snapshot = self.store.read(MEMBERSHIP)
        return ControlMachine({MEMBERSHIP: Publisher(MEMBERSHIP, snapshot.version, snapshot.entries)})

    def change_store(self, bad: bool) -> None:
        key = f"s{self.rng.randrange(12)}"
        body = b'"bad"' if bad else self.rng.choice([None, b'"%d"' % self.rng.randrange(99)])
        changes = {key: body}
        if not bad:  # a good change also replaces all bad bodies
            entries = self.store.contents[MEMBERSHIP].entries
            changes |= {key: b'"ok"' for key, body in entries.items() if body.startswith(b'"bad')}
        self.checker.record_version(self.store, self.store.put(MEMBERSHIP, changes))

    def sync_machine(self, name: str) -> None:
        """Synchronize a machine with the store."""
        publisher = self.machines[name].publishers[MEMBERSHIP]
        try:
            changes = self.store.changes_since(MEMBERSHIP, publisher.newest)
            if changes is None:
                snapshot = self.store.read(MEMBERSHIP)
                publisher.load(snapshot.version, snapshot.entries)
            for change in changes or ():
                publisher.publish(change)
        except RejectedError:
            raise InvariantViolationError(f"{name} rejected a change from the store") from None

    def restart_machine(self, name: str, new_machine: ControlMachine) -> None:
        self.machines[name] = new_machine
        for relay, at in self.connected_machine.items():
            if at == name:
                self.disconnect(relay)

    def disconnect(self, relay: str) -> None:
        name = self.connected_machine[relay]
        if name is not None:
            self.machines[name].disconnect(relay)
        self.connected_machine[relay] = None
        self.in_flight[relay].clear()
        self.followers[relay].disconnected()
        self.selectors[relay].record_failure()

    def connect(self, relay: str) -> None:
        name = self.selectors[relay].machine
        try:
            self.machines[name].connect(
                relay, {MEMBERSHIP: self.followers[relay].applied_version}, self.now_us
            )
        except MachineBehindError:
            self.selectors[relay].record_failure()
        else:
            self.connected_machine[relay] = name

    def send_next(self, relay: str) -> None:
        name = self.connected_machine[relay]
        if name is None:
            return self.connect(relay)
        machine = self.machines[name]
        if machine.is_ack_overdue(relay, self.now_us):
            return self.disconnect(relay)
        part = machine.poll(relay, self.now_us)
        if isinstance(part, Wait):
            return None
        machine.record_sent(relay, 500)
        self.in_flight[relay].append(part)
        self.sent_slices.append(part)
        return None

    def deliver(self, relay: str, faults: bool) -> None:
        in_flight = self.in_flight[relay]
        if not in_flight:
            return
        part = in_flight.pop(0 if not faults or self.rng.random() < 0.9 else -1)
        if faults and self.rng.random() < 0.1:
            part = self.corrupt(part)
        follower = self.followers[relay]
        events = follower.receive(part)
        while not follower.is_idle:
            events += follower.step(self.rng.randrange(1, 4))
        for event in events:
            self.process_event(relay, event, faults)

    def corrupt(self, part: Slice) -> Slice:
        """Return a slice with a gap, another base, another content or another digest, or an earlier slice."""
        target = part.target
        kind = self.rng.randrange(5)
        entries = (*part.entries[1:], Entry("s0", b'"malformed"'))
        return [
            replace(part, index=part.index + 1, count=part.count + 1),
            replace(part, base=max(0, target.number - 2)),
            replace(part, entries=entries),
            self.rng.choice(self.sent_slices),
            replace(part, target=replace(target, digest=0)),
        ][kind]

    def process_event(self, relay: str, event: FollowerEvent, faults: bool) -> None:
        name = self.connected_machine[relay]
        if isinstance(event, ApplyEntries):
            return
        if isinstance(event, Ack):
            self.checker.check_applied(relay, event.version, self.followers[relay].applied.entries)
        if name is None or (faults and self.rng.random() < 0.1):  # the answer is lost on the way
            return
        self.machines[name].record_answer(relay, event)
        if isinstance(event, Nack) and event.reason in (Reason.OLDER, Reason.CONFLICT):
            self.disconnect(relay)

    def inject_fault(self, old_machine: ControlMachine) -> None:
        kind = self.rng.randrange(7)
        name = self.rng.choice(MACHINES)
        if kind == 0:
            self.restart_machine(name, self.machine_from_store())
        elif kind == 1:
            for each in MACHINES:
                self.restart_machine(each, self.machine_from_store())
        elif kind == 2:
            self.restart_machine(name, old_machine)  # restored from an old backup
        elif kind == 3:
            self.disconnect(self.rng.choice(RELAYS))
        elif kind == 4:
            self.now_us -= self.rng.randrange(10**7)
        elif kind == 5:
            self.checker.record_version(
                self.store,
                self.store.restore(self.rng.randint(1, self.store.logs[MEMBERSHIP].newest.number)),
            )
        else:
            self.change_store(bad=True)

    def run(self) -> None:
        for _ in range(400):
            self.now_us += self.rng.randrange(200_000)
            relay = self.rng.choice(RELAYS)
            event = self.rng.random()
            if event < 0.1:
                self.change_store(bad=False)
            elif event < 0.3:
                self.sync_machine(self.rng.choice(MACHINES))
            elif event < 0.35:
                self.inject_fault(self.machine_from_oldest_version())
            elif event < 0.7:
                self.send_next(relay)
            else:
                self.deliver(relay, faults=True)
        self.check_convergence()

    def machine_from_oldest_version(self) -> ControlMachine:
        oldest = self.store.logs[MEMBERSHIP].changes[0]
        publisher = Publisher(MEMBERSHIP, oldest.version, _entries_of(oldest.entries))
        return ControlMachine({MEMBERSHIP: publisher})

    def check_convergence(self) -> None:
        """Check that every relay applies the newest version once faults have stopped."""
        self.change_store(bad=False)
        for _ in range(60):
            self.now_us += 500_000
            for name in MACHINES:
                self.sync_machine(name)
            for relay in RELAYS:
                self.send_next(relay)
                while self.in_flight[relay]:
                    self.deliver(relay, faults=False)
        newest = self.store.logs[MEMBERSHIP].newest
        behind = [
            relay
            for relay, follower in self.followers.items()
            if follower.applied_version != newest or not follower.is_idle
        ]
        if behind:
            raise InvariantViolationError(f"not converged: {behind}")


def _entries_of(changes: Mapping[str, bytes | None]) -> list[Entry]:
    return [Entry(key, body) for key, body in changes.items() if body is not None]


@pytest.mark.parametrize("seed", range(100))
def test_relays_converge_under_random_faults(seed: int) -> None:
    FaultyRun(seed, Follower).run()


class IgnoresDigest(Follower):
    def _accept(self, assembly: VersionAssembly) -> None:
        assembly.first_slice = replace(
            assembly.first_slice, target=replace(assembly.target, digest=assembly.digest)
        )
        super()._accept(assembly)


class SkipsEntryChecks(Follower):
    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.check.check_entry = lambda resource, entry: ""  # type: ignore[method-assign]


class AcceptsOlderVersions(Follower):
    def _check_order(self, part: Slice) -> None:
        if part.base is not None:
            super()._check_order(part)


class StopsAfterRejection(Follower):
    def receive(self, part: Slice) -> list[FollowerEvent]:
        is_stuck = self.permanent_rejection is not None and self.permanent_rejection[0] != part.target
        return [] if is_stuck else super().receive(part)


@pytest.mark.parametrize(
    ("kind", "rule"),
    [
        (IgnoresDigest, "the store never had"),
        (SkipsEntryChecks, "fails its check"),
        (AcceptsOlderVersions, "applied an older version"),
        (StopsAfterRejection, "not converged"),
    ],
)
def test_the_checker_detects_each_injected_fault(kind: type[Follower], rule: str) -> None:
    found = set[str]()
    for seed in range(40):
        try:
            FaultyRun(seed, kind).run()
        except InvariantViolationError as violation:
            found.add(str(violation))
            if rule in str(violation):
                return
    raise AssertionError(found)
