"""What a soak is made of, and the troubles that its seed draws: each with a time, a target and a length."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from gannetweir.lab.soak.shim import Call


@dataclass(frozen=True, slots=True)
class Effect:
    """One class of requests, and what a repeat of it may do."""

    name: str
    wait_ms: int
    repeat: str
    scope: str
    share: float


CLASSES = (
    Effect("free", 1500, "repeatable", "all", 0.4),
    Effect("keyed", 2000, "by_key", "all", 0.2),
    Effect("cell", 1200, "by_key", "cell", 0.2),
    Effect("once", 1000, "once", "all", 0.2),
)
WINDOW_US = 3_000_000
COLD_FROM, WARM_US, FALL_MULTIPLE, FALL_US = 0.12, 8_000_000, 4.0, 1_500_000
GRACE_US = 500_000
MAX_ATTEMPTS = 4
# Clients wait so long beyond the deadline. An answer that is half a second late is a lost one; the rest is
# for the time in which a busy machine gives its relay no processor.
PATIENCE_S = 10.0


class Kind(StrEnum):
    """What may be done to the relays and what they depend on."""

    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"  # the process is stopped for a moment
    RELOAD = "reload"  # a new configuration, with discovery at its other address
    BAD_FILE = "bad_file"  # half a configuration, then SIGHUP
    SIGNALS = "signals"  # many, in any order
    CALLS = "calls"  # system calls fail
    DISK = "disk"  # writes to the shared folder fail
    WALL_CLOCK = "wall_clock"
    HANG = "hang"
    SLOW = "slow"
    RESET = "reset"
    ERROR = "error"
    DRAIN = "drain"  # a backend leaves, and one that is cold takes its place
    CRASH = "crash"  # a backend is killed and started anew
    LATE = "late"  # what a relay sends to a backend arrives late
    SILENT = "silent"  # a backend's network passes nothing
    PIECES = "pieces"
    CUT = "cut"  # the network breaks connections to a backend
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_SLOW = "discovery_slow"
    INDENTED = "indented"
    CROWD = "crowd"  # idle clients fill the descriptors
    OPERATORS = "operators"  # a backend is taken out of use by hand, and called back
    UPGRADE = "upgrade"  # a second process takes over the listener; others are ended and started


OF_RELAYS = frozenset(
    {
        Kind.TERM,
        Kind.KILL,
        Kind.PAUSE,
        Kind.RELOAD,
        Kind.BAD_FILE,
        Kind.SIGNALS,
        Kind.CALLS,
        Kind.DISK,
        Kind.WALL_CLOCK,
        Kind.CROWD,
        Kind.OPERATORS,
        Kind.UPGRADE,
    }
)
OF_DISCOVERY = frozenset({Kind.DISCOVERY_DOWN, Kind.DISCOVERY_SILENT, Kind.DISCOVERY_SLOW, Kind.INDENTED})


@dataclass(frozen=True, slots=True)
class Trouble:
    """One of them. `rates`: of a thousand calls, how many fail."""

    kind: Kind
    at_s: float
    length_s: float
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
    life_s: float = 2.0
    capacity: float = 120.0  # connections of one backend
    sockets: int = 220
    overlap: int = 3  # troubles that begin together
    accepts_fail: int = 350  # of a thousand, at every other relay as all are told to end

    @property
    def patience(self) -> float:
        """How long clients wait, as a multiple of what their class says."""
        return 0.3 if self.seed % 4 == 3 else 1.0

    @property
    def killed_after_s(self) -> float:
        """SIGKILL follows SIGTERM no sooner: the longest deadline, 3 s at most, and 0.7 s."""
        return min(3.0, self.patience * max(effect.wait_ms for effect in CLASSES) / 1000) + 0.7

    @property
    def pushed(self) -> bool:
        """Is the list pushed, rather than asked for?"""
        return self.seed % 2 == 1

    @property
    def warm_per_s(self) -> float:
        """First lines a second that tip a warm backend."""
        return FALL_MULTIPLE * self.capacity / self.life_s


def proxy_name(number: int) -> str:
    """Of the proxy before every backend whose number leaves this remainder, divided by the plan's proxies."""
    return f"proxy{number}"


def shares_listener(number: int) -> bool:
    """Does the platform hold this relay's listener, so that a second process can take over?"""
    return number % 3 == 1


def draw_troubles(plan: SoakPlan, kinds: tuple[Kind, ...] = tuple(Kind)) -> list[Trouble]:
    """The troubles of a seed, in the order of their times. Some begin together, so that they overlap."""
    rng = random.Random(f"troubles {plan.seed}")
    found: list[Trouble] = []
    at = 0.5
    while at < plan.seconds - 1.0:
        for kind in rng.choices(kinds, k=rng.randint(2, plan.overlap)):
            found.append(_trouble(kind, at + rng.uniform(0.0, 0.4), plan, rng))
        at += rng.uniform(1.0, 2.5)
    return sorted(found, key=lambda trouble: trouble.at_s)


def _trouble(kind: Kind, at_s: float, plan: SoakPlan, rng: random.Random) -> Trouble:
    length = rng.uniform(0.5, 3.0)
    target = rng.randrange(plan.relays if kind in OF_RELAYS else plan.backends)
    if kind is Kind.PAUSE:
        length = rng.uniform(0.05, 0.15)
    rates: tuple[tuple[Call, int], ...] = ()
    if kind is Kind.CALLS:
        calls = rng.sample([call for call in Call if call is not Call.DISK], 3)
        rates = tuple((call, 20 if call is Call.BROKEN else rng.choice((50, 150, 350))) for call in calls)
    elif kind is Kind.DISK:
        rates = ((Call.DISK, rng.choice((300, 1000))),)
    step = rng.choice((-3600.0, -5.0, 5.0, 3600.0))
    return Trouble(kind, at_s, length, target, rng.randrange(plan.backends), rates, step)


def settings(plan: SoakPlan) -> dict[str, Any]:
    """What the platform tells each relay."""
    return {
        "categories": [
            {
                "name": effect.name,
                "aim-us": 300_000,
                "hard-limit-us": int(plan.patience * effect.wait_ms * 1000),
                "idempotency": effect.repeat,
                "dedup-scope": effect.scope,
                "window-us": WINDOW_US,
                "importance": 1.0,
            }
            for effect in CLASSES
        ],
        "fleet-size": plan.relays,
        "zone": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "registry-mode": "pushed" if plan.pushed else "on_request",
        "contract": {
            "ask-within-us": 2_000_000,
            "cold-from": COLD_FROM,
            "warm-within-us": WARM_US,
            "fall-multiple": FALL_MULTIPLE,
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
