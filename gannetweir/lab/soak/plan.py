"""The parameters of a soak, and the faults drawn from its seed: each has a time, a target and a duration."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from gannetweir.lab.soak.shim import Call


@dataclass(frozen=True, slots=True)
class RequestClassPlan:
    """A class of requests, and its idempotency: which retries are permitted."""

    name: str
    deadline_ms: int
    idempotency: str  # "repeatable", "by_key" or "once"
    idempotency_scope: str  # used with "by_key": "all" or "cell"
    weight: float  # share of all requests


CLASSES = (
    RequestClassPlan("free", 1500, "repeatable", "all", 0.4),
    RequestClassPlan("keyed", 2000, "by_key", "all", 0.2),
    RequestClassPlan("cell", 1200, "by_key", "cell", 0.2),
    RequestClassPlan("once", 1000, "once", "all", 0.2),
)
# A backend recognises a repeated idempotency key for this long.
IDEMPOTENCY_WINDOW_US = 3_000_000
SLOW_START_INITIAL_FACTOR = 0.12  # fraction of its capacity that a backend has when it starts
SLOW_START_DURATION_US = 8_000_000  # time from the start of a backend to its full capacity
# A backend is overloaded by this multiple of the new requests that its capacity sustains, counted over the
# window below.
OVERLOAD_MULTIPLE = 4.0
OVERLOAD_WINDOW_US = 1_500_000
# A relay starts no attempt at a draining backend once this time has passed since it was notified.
DRAIN_GRACE_US = 500_000
CELL_COUNT = 3  # backends are assigned to cells round-robin
# Relays whose number leaves this remainder, when divided by the interval, use a shared listener.
SHARED_LISTENER_INTERVAL = 3
SHARED_LISTENER_REMAINDER = 1
MAX_ATTEMPTS = 4
# The last seed of every group of this size has clients with short deadlines.
SHORT_DEADLINE_SEED_INTERVAL = 4
FIRST_FAULT_S = 0.5
LAST_FAULT_BEFORE_END_S = 1.0
# Clients wait this long after the deadline. An answer counts as lost when it is half a second late; the rest
# of the wait covers the time for which a busy machine gives the relay no processor.
ANSWER_WAIT_AFTER_DEADLINE_S = 10.0


class FaultKind(StrEnum):
    """The kinds of fault, injected into relays and their dependencies. The values appear in records."""

    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"  # SIGSTOP, and SIGCONT shortly afterwards
    RELOAD = "reload"  # a new configuration with the other address of discovery, then SIGHUP
    BAD_FILE = "bad_file"  # a truncated configuration, then SIGHUP
    SIGNALS = "signals"  # a burst of SIGUSR1 and SIGHUP in random order
    SYSTEM_CALLS = "calls"  # system calls fail
    DISK = "disk"  # file operations fail: write, fsync, rename and flock
    WALL_CLOCK = "wall_clock"  # the wall clock is stepped
    BACKEND_HANGS = "hang"
    BACKEND_SLOW = "slow"
    BACKEND_RESETS = "reset"
    BACKEND_ERRORS = "error"
    BACKEND_DRAINS = "drain"  # a backend drains, and is replaced by one in slow start
    BACKEND_CRASHES = "crash"  # a backend is killed and restarted in slow start
    NETWORK_DELAY = "late"  # new connections to a backend carry data only after a delay
    NETWORK_SILENT = "silent"  # connections to a backend carry no data
    NETWORK_PIECES = "pieces"  # data is delivered a few bytes at a time
    NETWORK_RESETS = "cut"  # connections to a backend are reset
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_SLOW = "discovery_slow"
    DISCOVERY_INDENTED = "indented"  # discovery sends indented JSON
    IDLE_CLIENTS = "crowd"  # idle client connections exhaust the descriptors
    OPERATOR_OVERRIDE = "operators"  # an operator takes a backend offline, and online again
    # A second process takes over the listener; a relay without a shared listener is restarted.
    UPGRADE = "upgrade"


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
    """A drawn fault. `target` is the number of a relay, or an index into the backends without a fault."""

    kind: FaultKind
    at_s: float
    duration_s: float
    target: int
    backend: int = 0  # number of the backend that OPERATOR_OVERRIDE takes offline
    rates: tuple[tuple[Call, int], ...] = ()  # failures per thousand calls
    step_s: float = 0.0  # step of the wall clock, in seconds


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The parameters of one run."""

    seed: int = 1
    seconds: float = 20.0
    relays: int = 8
    backends: int = 9
    proxies: int = 3
    client_processes: int = 3
    requests_per_s: float = 120.0
    connection_s: float = 2.0  # mean duration of an established connection
    capacity: float = 120.0  # connections of one backend
    sockets: int = 220  # descriptor limit of a relay
    overlap: int = 3  # maximum number of faults that begin together
    # Failures per thousand calls of accept, at every other relay, while all relays shut down.
    accepts_fail: int = 350

    @property
    def deadline_factor(self) -> float:
        """The factor that is applied to the deadline of each request class."""
        return 0.3 if self.seed % SHORT_DEADLINE_SEED_INTERVAL == SHORT_DEADLINE_SEED_INTERVAL - 1 else 1.0

    @property
    def termination_grace_s(self) -> float:
        """The minimum time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, plus 0.7 s."""
        longest_s = self.deadline_factor * max(request_class.deadline_ms for request_class in CLASSES) / 1000
        return min(3.0, longest_s) + 0.7

    @property
    def is_membership_pushed(self) -> bool:
        """Whether relays watch the endpoint list, instead of polling it."""
        return self.seed % 2 == 1

    @property
    def overload_per_s(self) -> float:
        """The rate of new requests, per second, that overloads a backend at its full capacity."""
        return OVERLOAD_MULTIPLE * self.capacity / self.connection_s


def cell_of(backend: str) -> int:
    """Return the cell of a backend."""
    return int(backend.removeprefix("b")) % CELL_COUNT


def proxy_name(number: int) -> str:
    """Return the name of a proxy. Proxy `number` carries every backend whose number has this remainder."""
    return f"proxy{number}"


def shares_listener(number: int) -> bool:
    """Return whether the platform owns this relay's listener, so that a second process can take it over."""
    return number % SHARED_LISTENER_INTERVAL == SHARED_LISTENER_REMAINDER


def draw_faults(plan: SoakPlan, kinds: tuple[FaultKind, ...] = tuple(FaultKind)) -> list[Fault]:
    """Draw the faults of the plan's seed, ordered by time. Several begin together, so that faults overlap."""
    # The seed string and the order of the draws stay as they are: both decide which faults a seed gives.
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
    """Draw which calls fail and their rates per thousand; empty for a fault of any other kind."""
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
    """Build the settings that the platform gives each relay, with the keys that operators use."""
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
