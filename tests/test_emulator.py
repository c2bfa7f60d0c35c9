"""A real relay with emulated backends on real sockets: address faults of each kind, alone and in pairs."""

import random
import socket
import time
from itertools import combinations
from pathlib import Path

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from gannetweir.addresses.address import IPV6, UNIX, Address
from gannetweir.addresses.address_selector import AddressSelector
from gannetweir.addresses.rules import AddressRules
from gannetweir.lab.emulator.address_listener import loopback_addresses
from gannetweir.lab.emulator.attempts import RESOLUTION_MS, TICKS_REMEMBERED, AttemptOverlaps, now_ms
from gannetweir.lab.emulator.backend import EmulatedBackend, EmulatedSessionStore, spawn_in
from gannetweir.lab.emulator.emulator import Emulator
from gannetweir.lab.emulator.plan import EmulatorPlan
from gannetweir.lab.model.checker import RuleChecker
from gannetweir.limits import Limits
from gannetweir.net.dialer import AddressRaceDriver
from gannetweir.net.ports import Evictable
from gannetweir.net.transport import DescriptorCount, Spawn

FAMILIES = ("unix", "ipv6", "ipv4")
FAULT_KINDS = ("refuse", "hole", "stall", "reset", "slow")
SINGLE_FAULTS: list[tuple[tuple[str, ...], str]] = [
    ((kind,), family_alone)
    for kind in FAULT_KINDS
    for family_alone in FAMILIES
    if (kind, family_alone) != ("hole", "unix")
]
FAULT_PAIRS: list[tuple[tuple[str, ...], str]] = [(pair, "") for pair in combinations(FAULT_KINDS, 2)]


def addresses_of(emulator: Emulator, family: str) -> list[tuple[str, str]]:
    """Return the name of each backend with its address of that family."""
    return [
        (name, text)
        for name, backend in emulator.backends.items()
        for text, listener in backend.listeners.items()
        if listener.address.family == family
    ]


@pytest.mark.parametrize(("faults", "family_alone"), SINGLE_FAULTS + FAULT_PAIRS)
def test_requests_are_served_once_over_working_addresses(faults: tuple[str, ...], family_alone: str) -> None:
    """Every backend has faults at one or two of its three address families. Requests are served over the
    others, and no request has two attempts in flight at once: a retry starts only after the attempt before
    has ended.
    """
    families = (family_alone,) if family_alone else ("ipv6", "unix" if "hole" not in faults[1:] else "ipv4")

    async def run() -> None:
        plan = EmulatorPlan(backends=2, families=FAMILIES, capacity=1000, other_connections=100)
        async with Emulator(plan) as emulator:
            for fault, family in zip(faults, families, strict=True):
                for name, text in addresses_of(emulator, family):
                    emulator.backends[name].set_fault(text, fault)
            answers = await emulator.clients.request_many(60, 6)
            assert answers["up"] >= 55, answers
            # A request whose overlap is undecided, as on a busy machine, is replaced by another.
            while emulator.clients.request_count - emulator.undecided_overlaps() < 60:
                assert emulator.clients.request_count < 240, emulator.attempt_overlaps.undecided_overlaps
                answers += await emulator.clients.request_many(
                    60 + emulator.undecided_overlaps() - emulator.clients.request_count, 6
                )
            assert not emulator.violations(), emulator.checker.violations[:3]
            assert answers["up"] >= emulator.clients.request_count - 5, answers
            sent, written = await emulator.count_first_lines()
            attempts = [trace.attempts for trace in emulator.checker.traces.values()]
            assert sent == written == sum(attempts) and max(attempts) <= 6
            # Only `stall` and `reset` make an attempt fail after its connect.
            if not {"stall", "reset"} & set(faults):
                assert sent == answers["up"] and max(attempts) == 1

    anyio.run(run)


def test_recovered_address_is_used_within_5_s_and_all_refusing_is_one_outcome() -> None:
    async def run() -> None:
        async with Emulator(
            EmulatorPlan(backends=1, families=("ipv6", "ipv4"), capacity=1000, other_connections=100)
        ) as emulator:
            ((name, ipv6_address),) = addresses_of(emulator, "ipv6")
            ((_, ipv4_address),) = addresses_of(emulator, "ipv4")
            backend = emulator.backends[name]
            backend.set_fault(ipv6_address, "refuse")
            assert (await emulator.clients.request_many(30, 3))["up"] == 30
            assert (
                backend.listeners[ipv6_address].first_lines == 0
                and backend.listeners[ipv4_address].first_lines == 30
            )
            backend.set_fault(ipv6_address, "")
            with anyio.fail_after(5.0):
                while not backend.listeners[ipv6_address].first_lines:
                    await emulator.clients.request_many(3, 1)
            for text in (ipv6_address, ipv4_address):
                backend.set_fault(text, "refuse")
            answers = await emulator.clients.request_many(5, 1)
            assert answers["busy"] == 5 and not emulator.violations()
            relay = emulator.relays[0]
            await relay.stop()
            counts = await relay.counters()
            # If all addresses of a backend refuse, an attempt counts one failed connect, not one per address.
            assert counts["attempts.connect_failed"] <= 5

    anyio.run(run)


def test_unix_socket_replaced_by_a_restart_is_used_again() -> None:
    async def run() -> None:
        async with Emulator(
            EmulatorPlan(backends=2, families=("unix", "ipv4"), capacity=1000, other_connections=100)
        ) as emulator:
            assert (await emulator.clients.request_many(20, 4))["up"] == 20
            await emulator.restart_backend("b1")
            with anyio.fail_after(10.0):
                lines_before = sum(d.first_lines for d in emulator.backends["b1"].listeners.values())
                while sum(d.first_lines for d in emulator.backends["b1"].listeners.values()) == lines_before:
                    await emulator.clients.request_many(4, 2)
            assert not emulator.violations(), emulator.checker.violations[:3]

    anyio.run(run)


def test_second_connect_is_evicted_and_the_first_continues() -> None:
    """Two connects that never complete race. If a descriptor is needed, only the second one is evicted."""

    async def run() -> None:
        no_attempts = AttemptOverlaps(RuleChecker(), lambda: 0)
        backend = EmulatedBackend(
            "a",
            loopback_addresses(1, "", ("ipv6", "ipv4")),
            10,
            EmulatedSessionStore(100),
            no_attempts,
            random.Random(1),
        )
        descriptors = DescriptorCount()
        selector = AddressSelector(AddressRules(), 1, 250_000)
        selector.update_endpoint("a", "", tuple(backend.listeners))
        async with anyio.create_task_group() as tasks:
            await tasks.start(backend.run)
            for text in backend.listeners:
                backend.set_fault(text, "hole")

            class Host:
                limits, address_races, capacity_left = Limits(), dict[Evictable, None](), True

                def clock(self) -> int:
                    return int(anyio.current_time() * 1e6)

                def has_capacity(self) -> bool:
                    return self.capacity_left

                @property
                def spawn(self) -> Spawn:
                    return spawn_in(tasks)

            host = Host()
            dialer = AddressRaceDriver(host, selector, "a", selector.new_race("a", host.clock()), descriptors)
            errors: list[OSError] = []

            async def dial(driver: AddressRaceDriver) -> None:
                try:
                    await driver.connect()
                except OSError as error:
                    errors.append(error)

            tasks.start_soon(dial, dialer)
            with anyio.fail_after(2.0):
                while descriptors.open < 2:
                    await anyio.sleep(0.005)
            assert list(host.address_races) == [dialer] and dialer.evict() and descriptors.open == 1
            assert not dialer.evict() and not errors
            # A driver starts no second connect while the host has no capacity.
            host.capacity_left = False
            other = AddressRaceDriver(host, selector, "a", selector.new_race("a", host.clock()), descriptors)
            tasks.start_soon(dial, other)
            await anyio.sleep(0.2)
            assert descriptors.open == 2 and len(other.race.started_us) == 1
            other.stop()
            await anyio.sleep(0.05)
            assert descriptors.open == 1 and len(errors) == 1
            errors.clear()
            dialer.stop()
            assert descriptors.open == 0
            await anyio.sleep(0.05)
            assert len(errors) == 1 and not host.address_races
            tasks.cancel_scope.cancel()

    anyio.run(run)


class ManualClock:
    """A relay as the connection race driver needs it, with a clock that only the test advances."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.limits, self.address_races, self.now_us = Limits(), dict[Evictable, None](), 1
        self.spawn: Spawn = spawn_in(tasks)

    def clock(self) -> int:
        return self.now_us

    def has_capacity(self) -> bool:
        return True

    async def pass_50_ms(self) -> None:
        self.now_us += 50_000


@pytest.mark.parametrize("first", ["unix", "ipv6"])
def test_preferred_address_is_used_until_it_refuses(first: str, tmp_path: Path) -> None:
    """Real sockets with a manual clock, so that a busy machine's connect times cannot change the ranking."""

    async def run() -> None:
        attempts = AttemptOverlaps(RuleChecker(), lambda: 0)
        backend = EmulatedBackend(
            "a",
            loopback_addresses(1, str(tmp_path), (first, "ipv4")),
            10,
            EmulatedSessionStore(100),
            attempts,
            random.Random(1),
        )
        selector = AddressSelector(AddressRules(), 1, 250_000)
        selector.update_endpoint("a", "", tuple(backend.listeners))
        async with anyio.create_task_group() as tasks:
            await tasks.start(backend.run)
            host = ManualClock(tasks)

            async def connected_families(times: int) -> set[str]:
                families_seen = set()
                for _ in range(times):
                    transport, address = await AddressRaceDriver(
                        host, selector, "a", selector.new_race("a", 1), DescriptorCount()
                    ).connect()
                    transport.close()
                    families_seen.add(address.family)
                return families_seen

            tasks.start_soon(host.pass_50_ms)  # runs between the command to connect and the connect
            assert await connected_families(1) == {first} and host.now_us == 50_001
            # The delay before the connect is not counted in the address's connect time.
            assert all(state.connect_time_us == 0 for state in selector.states_by_endpoint["a"].values())
            assert await connected_families(29) == {first} and selector.preferred_bypassed == 0
            host.now_us = 1
            backend.set_fault(next(iter(backend.listeners)), "refuse")
            # The first of the 30 connects finds out that the preferred address refuses.
            assert await connected_families(30) == {"ipv4"} and selector.preferred_bypassed == 29
            tasks.cancel_scope.cancel()

    anyio.run(run)


WITH_UNIX = [("unix", "unix"), ("ipv6", "ipv4"), ("ipv4", "unix"), ("unix", "ipv6")]
TCP_ONLY = [("ipv6", "ipv4"), ("ipv4", "ipv4")]
# The orders of events at two backends: a first line (+) or an end (-) at backend 0 or 1, a pause in which the
# kernel's clock advances (.), and a point at which everything so far is read before the rest is sent (|).
ORDERS = [
    ("+0 -0 +1", 0, WITH_UNIX),
    ("+0 +1", 1, WITH_UNIX),
    ("+0 +1 . -0", 1, TCP_ONLY),
    # The second line is read last, since backend 0 accepts both of its connections at once.
    ("+0 -0 +1 -1 +0", 0, WITH_UNIX),
    ("+0 -0 +1 +0 . -1", 1, TCP_ONLY),
    ("+0 | . -0 +1", 0, WITH_UNIX),
    ("+0 | +1 . -0", 1, TCP_ONLY),
]
# Orders that cannot be told apart if one backend has a Unix socket, for which the kernel keeps no times.
UNDECIDABLE_ORDERS = ["+0 +1 . -0", "+0 | +1 . -0", ". +0 -0 +1 ."]


def send_in_order(order: str, addresses: list[Address], open_connections: dict[str, socket.socket]) -> None:
    """Send all events of an order to the kernel. `open_connections` are those still open, by backend."""
    for step in order.split():
        if step == ".":
            time.sleep(0.05)
        elif step[0] == "-":
            open_connections.pop(step[1]).close()
        else:
            target_address = addresses[int(step[1])]
            sock = socket.socket(
                {UNIX: socket.AF_UNIX, IPV6: socket.AF_INET6}.get(target_address.family, socket.AF_INET)
            )
            sock.connect(
                target_address.host
                if target_address.family == UNIX
                else (target_address.host, target_address.port)
            )
            sock.sendall(b"OPEN 1 a c=x,d=2000,g=1\r\n")
            open_connections[step[1]] = sock


async def run_late_stand_ins(
    order: str, families: tuple[str, str], folder: str
) -> tuple[RuleChecker, AttemptOverlaps]:
    """Let two backends read each part of an order late. Returns the checker and the observed attempts."""
    checker = RuleChecker()
    checker.request_sent(1, "x", 2_000_000, True, 0)
    attempts = AttemptOverlaps(checker, lambda: 0)  # the delay monitor does not run, so all its ticks are old
    addresses = [loopback_addresses(n, folder, (family,)) for n, family in enumerate(families)]
    emulated_backends = [
        EmulatedBackend(f"b{n}", backend_addresses, 10, EmulatedSessionStore(1), attempts, random.Random(n))
        for n, backend_addresses in enumerate(addresses)
    ]
    open_connections: dict[str, socket.socket] = {}
    async with anyio.create_task_group() as tasks:
        for backend in emulated_backends:
            await tasks.start(backend.run)
        lines = 0
        for part in order.split("|"):
            send_in_order(part, [backend_addresses[0] for backend_addresses in addresses], open_connections)
            lines += part.count("+")
            with anyio.fail_after(5.0):
                while sum(sum(backend.deliveries.values()) for backend in emulated_backends) < lines:
                    await anyio.lowlevel.checkpoint()
        assert checker.traces[1].attempts == lines
        for sock in open_connections.values():
            sock.close()
        tasks.cancel_scope.cancel()
    return checker, attempts


@pytest.mark.parametrize(
    ("order", "overlaps", "families"),
    [(o, n, families) for o, n, family_pairs in ORDERS for families in family_pairs],
)
def test_late_backends_distinguish_an_end_before_the_next_line_from_an_overlap(
    order: str, overlaps: int, families: tuple[str, str], tmp_path: Path
) -> None:
    """All events of a part are in the kernel before the backends read any, so only their order counts. An end
    after the next line is recognized only between TCP connections, for which the kernel keeps times.
    """
    checker, attempts = anyio.run(run_late_stand_ins, order, families, str(tmp_path))
    assert len([text for text in checker.violations if "overlap" in text]) == overlaps, checker.violations
    assert not attempts.undecided_overlaps or UNIX in families


@pytest.mark.parametrize(
    ("order", "families"), [(o, f) for o in UNDECIDABLE_ORDERS for f in WITH_UNIX if UNIX in f]
)
def test_undecidable_overlaps_are_recorded(order: str, families: tuple[str, str], tmp_path: Path) -> None:
    """With a Unix socket, an overlap that began and ended while the loop was late is undecided."""
    checker, attempts = anyio.run(run_late_stand_ins, order, families, str(tmp_path))
    assert list(attempts.undecided_overlaps) == [1] and not checker.violations


def test_overlap_is_decided_if_the_loop_is_on_time(tmp_path: Path) -> None:
    """If the loop is not late, every pair of attempts is decided, also between Unix sockets."""
    checker = RuleChecker()
    checker.request_sent(1, "x", 2_000_000, True, 0)
    attempts = AttemptOverlaps(checker, lambda: 0)
    pairs = [socket.socketpair() for _ in range(2)]
    for peer, accepted in pairs:
        attempts.loop_delay.recent_ticks.extend([now_ms()] * TICKS_REMEMBERED)
        attempts.first_line_read(1, "a", accepted)
        time.sleep(2 * RESOLUTION_MS / 1000)
        attempts.loop_delay.recent_ticks.extend([now_ms()] * TICKS_REMEMBERED)
        peer.close()
        attempts.attempt_ended(1, accepted)
    assert not attempts.undecided_overlaps and not checker.violations
    for _, accepted in pairs:
        accepted.close()
