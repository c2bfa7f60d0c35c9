"""What a soak is made of, and the faults that its seed draws: each with a time, a target and a length."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from gannetweir.lab.soak.shim import Call


@dataclass(frozen=True, slots=True)
class RequestClassPlan:
    """One class of requests, and what a repeat of it may do."""

    name: str
    deadline_ms: int
    idempotency: str
    idempotency_scope: str
    weight: float


CLASSES = (
    RequestClassPlan("free", 1500, "repeatable", "all", 0.4),
    RequestClassPlan("keyed", 2000, "by_key", "all", 0.2),
    RequestClassPlan("cell", 1200, "by_key", "cell", 0.2),
    RequestClassPlan("once", 1000, "once", "all", 0.2),
)
IDEMPOTENCY_WINDOW_US = 3_000_000
SLOW_START_FROM, SLOW_START_US, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US = 0.12, 8_000_000, 4.0, 1_500_000
DRAIN_GRACE_US = 500_000
CELLS = 3
MAX_ATTEMPTS = 4
# Clients wait so long beyond the deadline. An answer that is half a second late is a lost one; the rest is
# for the time in which a busy machine gives its relay no processor.
ANSWER_WAIT_S = 10.0


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
    BACKEND_DRAINS = "drain"  # a backend leaves, and one that is cold takes its place
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
OF_DISCOVERY = frozenset(
    {
        FaultKind.DISCOVERY_DOWN,
        FaultKind.DISCOVERY_SILENT,
        FaultKind.DISCOVERY_SLOW,
        FaultKind.DISCOVERY_INDENTED,
    }
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One of them. `rates`: of a thousand calls, how many fail."""

    kind: FaultKind
    at_s: float
    duration_s: float
    target: int
    backend: int = 0  # that the operators take out
    rates: tuple[tuple[Call, int], ...] = ()
    step_s: float = 0.0


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
    accepts_fail: int = 350  # of a thousand, at every other relay as all are told to end

    @property
    def deadline_factor(self) -> float:
        """How long clients wait, as a multiple of what their class says."""
        return 0.3 if self.seed % 4 == 3 else 1.0

    @property
    def termination_grace_s(self) -> float:
        """SIGKILL follows SIGTERM no sooner: the longest deadline, 3 s at most, and 0.7 s."""
        return min(3.0, self.deadline_factor * max(effect.deadline_ms for effect in CLASSES) / 1000) + 0.7

    @property
    def is_membership_pushed(self) -> bool:
        """Is the list pushed, rather than asked for?"""
        return self.seed % 2 == 1

    @property
    def overload_per_s(self) -> float:
        """First lines a second that tip a warm backend."""
        return OVERLOAD_MULTIPLE * self.capacity / self.connection_s


def cell_of(backend: str) -> int:
    """The cell that a backend stands in."""
    return int(backend.removeprefix("b")) % CELLS


def proxy_name(number: int) -> str:
    """Of the proxy before every backend whose number leaves this remainder, divided by the plan's proxies."""
    return f"proxy{number}"


def shares_listener(number: int) -> bool:
    """Does the platform hold this relay's listener, so that a second process can take over?"""
    return number % 3 == 1


def draw_faults(plan: SoakPlan, kinds: tuple[FaultKind, ...] = tuple(FaultKind)) -> list[Fault]:
    """The faults of a seed, in the order of their times. Some begin together, so that they overlap."""
    rng = random.Random(f"troubles {plan.seed}")
    found: list[Fault] = []
    at = 0.5
    while at < plan.seconds - 1.0:
        for kind in rng.choices(kinds, k=rng.randint(2, plan.overlap)):
            found.append(_draw_fault(kind, at + rng.uniform(0.0, 0.4), plan, rng))
        at += rng.uniform(1.0, 2.5)
    return sorted(found, key=lambda fault: fault.at_s)


def _draw_fault(kind: FaultKind, at_s: float, plan: SoakPlan, rng: random.Random) -> Fault:
    length = rng.uniform(0.5, 3.0)
    target = rng.randrange(plan.relays if kind in RELAY_FAULTS else plan.backends)
    if kind is FaultKind.PAUSE:
        length = rng.uniform(0.05, 0.15)
    rates: tuple[tuple[Call, int], ...] = ()
    if kind is FaultKind.SYSTEM_CALLS:
        calls = rng.sample([call for call in Call if call is not Call.DISK], 3)
        rates = tuple((call, 20 if call is Call.BROKEN else rng.choice((50, 150, 350))) for call in calls)
    elif kind is FaultKind.DISK:
        rates = ((Call.DISK, rng.choice((300, 1000))),)
    step = rng.choice((-3600.0, -5.0, 5.0, 3600.0))
    return Fault(kind, at_s, length, target, rng.randrange(plan.backends), rates, step)


def relay_settings(plan: SoakPlan) -> dict[str, Any]:
    """What the platform tells each relay."""
    return {
        "categories": [
            {
                "name": effect.name,
                "aim-us": 300_000,
                "hard-limit-us": int(plan.deadline_factor * effect.deadline_ms * 1000),
                "idempotency": effect.idempotency,
                "dedup-scope": effect.idempotency_scope,
                "window-us": IDEMPOTENCY_WINDOW_US,
                "importance": 1.0,
            }
            for effect in CLASSES
        ],
        "fleet-size": plan.relays,
        "zone": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "registry-mode": "pushed" if plan.is_membership_pushed else "on_request",
        "contract": {
            "ask-within-us": 2_000_000,
            "cold-from": SLOW_START_FROM,
            "warm-within-us": SLOW_START_US,
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
