"""What a soak is made of, and the faults that its seed draws: each with a time, a target and a duration."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from gannetweir.lab.soak.shim import Call


@dataclass(frozen=True, slots=True)
class RequestClassPlan:
    """One class of requests, and what a repeat of it may do."""

    name: str
    deadline_ms: int
    idempotency: str  # repeatable, by_key, once
    idempotency_scope: str  # for by_key: all, cell
    weight: float  # of its requests among all


CLASSES = (
    RequestClassPlan("free", 1500, "repeatable", "all", 0.4),
    RequestClassPlan("keyed", 2000, "by_key", "all", 0.2),
    RequestClassPlan("cell", 1200, "by_key", "cell", 0.2),
    RequestClassPlan("once", 1000, "once", "all", 0.2),
)
IDEMPOTENCY_WINDOW_US = 3_000_000  # in which a backend recognises a key
SLOW_START_INITIAL_FACTOR = 0.12  # of its capacity, that a backend has at its start
SLOW_START_DURATION_US = 8_000_000  # until it has all of it
OVERLOAD_MULTIPLE = 4.0  # of its capacity in new requests, at which a backend would break down
OVERLOAD_WINDOW_US = 1_500_000  # over which they are counted
DRAIN_GRACE_US = 500_000  # from the news of a drain until nothing new begins at the backend
CELL_COUNT = 3  # over which the backends are spread in turn
SHARED_LISTENER_INTERVAL = 3  # one relay of so many shares its listener
SHARED_LISTENER_REMAINDER = 1  # that its number leaves
MAX_ATTEMPTS = 4
SHORT_DEADLINE_SEED_INTERVAL = 4  # one seed of so many, the last, has clients with short deadlines
FIRST_FAULT_S = 0.5
LAST_FAULT_BEFORE_END_S = 1.0  # before the end
# Clients wait so long beyond the deadline. An answer that is half a second late is a lost one; the rest is
# for the time in which a busy machine gives its relay no processor.
ANSWER_WAIT_AFTER_DEADLINE_S = 10.0


class FaultKind(StrEnum):
    """What may be done to the relays and what they depend on."""

    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"  # the process is stopped for a moment
    RELOAD = "reload"  # a new configuration, with discovery at its other address
    BAD_FILE = "bad_file"  # half a configuration, then SIGHUP
    SIGNALS = "signals"  # many, in any order
    SYSTEM_CALLS = "calls"  # system calls fail
    DISK = "disk"  # writes to the shared folder fail
    WALL_CLOCK = "wall_clock"
    BACKEND_HANGS = "hang"
    BACKEND_SLOW = "slow"
    BACKEND_RESETS = "reset"
    BACKEND_ERRORS = "error"
    BACKEND_DRAINS = "drain"  # a backend drains, and one that has to warm up takes its place
    BACKEND_CRASHES = "crash"  # a backend is killed and started anew
    NETWORK_DELAY = "late"  # what a relay sends to a backend arrives late
    NETWORK_SILENT = "silent"  # a backend's network passes nothing
    NETWORK_PIECES = "pieces"
    NETWORK_RESETS = "cut"  # the network breaks connections to a backend
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_SLOW = "discovery_slow"
    DISCOVERY_INDENTED = "indented"
    IDLE_CLIENTS = "crowd"  # idle clients fill the descriptors
    OPERATOR_OVERRIDE = "operators"  # a backend is taken out of use by hand, and called back
    UPGRADE = "upgrade"  # a second process takes over the listener; others are ended and started


RELAY_FAULTS = frozenset(
    {
        FaultKind.TERM,
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.RELOAD,
        FaultKind.BAD_FILE,
        FaultKind.SIGNALS,
        FaultKind.SYSTEM_CALLS,
        FaultKind.DISK,
        FaultKind.WALL_CLOCK,
        FaultKind.IDLE_CLIENTS,
        FaultKind.OPERATOR_OVERRIDE,
        FaultKind.UPGRADE,
    }
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. `target` is the number of a relay, or a place among the backends that are free of faults."""

    kind: FaultKind
    at_s: float
    duration_s: float
    target: int
    backend: int = 0  # that the operators take offline
    rates: tuple[tuple[Call, int], ...] = ()  # of a thousand calls, how many fail
    step_s: float = 0.0  # of the wall clock


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run."""

    seed: int = 1
    seconds: float = 20.0
    relays: int = 8
    backends: int = 9
    proxies: int = 3
    client_processes: int = 3
    requests_per_s: float = 120.0
    connection_s: float = 2.0
    capacity: float = 120.0  # connections of one backend
    sockets: int = 220
    overlap: int = 3  # faults that begin together
    accepts_fail: int = 350  # of a thousand, at every other relay as all are asked to end

    @property
    def deadline_factor(self) -> float:
        """Deadlines, as a multiple of what their class says."""
        return 0.3 if self.seed % SHORT_DEADLINE_SEED_INTERVAL == SHORT_DEADLINE_SEED_INTERVAL - 1 else 1.0

    @property
    def termination_grace_s(self) -> float:
        """SIGKILL follows SIGTERM no sooner: the longest deadline, 3 s at most, and 0.7 s."""
        longest_s = self.deadline_factor * max(request_class.deadline_ms for request_class in CLASSES) / 1000
        return min(3.0, longest_s) + 0.7

    @property
    def is_membership_pushed(self) -> bool:
        """Whether the endpoint list is watched, rather than polled."""
        return self.seed % 2 == 1

    @property
    def overload_per_s(self) -> float:
        """New requests a second that overload a backend at its full capacity."""
        return OVERLOAD_MULTIPLE * self.capacity / self.connection_s


def cell_of(backend: str) -> int:
    """The cell that a backend stands in."""
    return int(backend.removeprefix("b")) % CELL_COUNT


def proxy_name(number: int) -> str:
    """Name the proxy that stands before every backend whose number leaves this remainder."""
    return f"proxy{number}"


def shares_listener(number: int) -> bool:
    """Say whether the platform holds this relay's listener, so that a second process can take over."""
    return number % SHARED_LISTENER_INTERVAL == SHARED_LISTENER_REMAINDER


def draw_faults(plan: SoakPlan, kinds: tuple[FaultKind, ...] = tuple(FaultKind)) -> list[Fault]:
    """The faults of a seed, in the order of their times. Some begin together, so that they overlap."""
    rng = random.Random(f"troubles {plan.seed}")
    faults: list[Fault] = []
    at_s = FIRST_FAULT_S
    while at_s < plan.seconds - LAST_FAULT_BEFORE_END_S:
        for kind in rng.choices(kinds, k=rng.randint(2, plan.overlap)):
            faults.append(_draw_fault(kind, at_s + rng.uniform(0.0, 0.4), plan, rng))
        at_s += rng.uniform(1.0, 2.5)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(kind: FaultKind, at_s: float, plan: SoakPlan, rng: random.Random) -> Fault:
    duration_s = rng.uniform(0.5, 3.0)
    target = rng.randrange(plan.relays if kind in RELAY_FAULTS else plan.backends)
    if kind is FaultKind.PAUSE:
        duration_s = rng.uniform(0.05, 0.15)
    rates = _draw_rates(kind, rng)
    step_s = rng.choice((-3600.0, -5.0, 5.0, 3600.0))
    return Fault(kind, at_s, duration_s, target, rng.randrange(plan.backends), rates, step_s)


def _draw_rates(kind: FaultKind, rng: random.Random) -> tuple[tuple[Call, int], ...]:
    """Which calls fail, and how many of a thousand; none for a fault of another kind."""
    if kind is FaultKind.DISK:
        return ((Call.DISK, rng.choice((300, 1000))),)
    if kind is not FaultKind.SYSTEM_CALLS:
        return ()
    rates = []
    for call in rng.sample([call for call in Call if call is not Call.DISK], 3):
        rate = 20 if call is Call.BROKEN else rng.choice((50, 150, 350))
        rates.append((call, rate))
    return tuple(rates)


def _class_settings(plan: SoakPlan, request_class: RequestClassPlan) -> dict[str, object]:
    return {
        "name": request_class.name,
        "aim-us": 300_000,
        "hard-limit-us": int(plan.deadline_factor * request_class.deadline_ms * 1000),
        "idempotency": request_class.idempotency,
        "dedup-scope": request_class.idempotency_scope,
        "window-us": IDEMPOTENCY_WINDOW_US,
        "importance": 1.0,
    }


def relay_settings(plan: SoakPlan) -> dict[str, object]:
    """Build the settings that the platform gives each relay, by the keys of the operators' page."""
    return {
        "categories": [_class_settings(plan, request_class) for request_class in CLASSES],
        "fleet-size": plan.relays,
        "zone": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "registry-mode": "pushed" if plan.is_membership_pushed else "on_request",
        "contract": {
            "ask-within-us": 2_000_000,
            "cold-from": SLOW_START_INITIAL_FACTOR,
            "warm-within-us": SLOW_START_DURATION_US,
            "fall-multiple": OVERLOAD_MULTIPLE,
        },
        "reporting": {"names": ["tps", "concurrent", "x0"], "source": "probe"},
        "family-info": {"groups": plan.seed % 3 == 0, "tells-delay": True, "message-aim-us": [100_000.0]},
        "limits": {
            "probes": True,
            "max-attempts": MAX_ATTEMPTS,
            "connect-timeout-us": 250_000,
            "max-retry-after-us": 500_000,
        },
    }
