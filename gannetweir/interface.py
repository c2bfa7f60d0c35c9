"""The types that a caller of `Balancer` needs: settings, events, actions.

Times are integer microseconds. Server ids are opaque hashable values, request ids integers; both come
back unchanged in the actions. Field order is the order of the wire's records, which `wire.py` relies on.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import TypeAlias

ServerId: TypeAlias = Hashable

# How an attempt or a probe ended.
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = 10, 20, 30, 40, 50, 60, 70, 80
NEVER_RAN = frozenset({FULL, CONNECT_FAILED, MOOT})
# State of a listed server.
GONE, READY, DRAINING = 0, 1, 2
# Kind of a server list.
LIST_FULL, LIST_FAILED, LIST_DELTA, LIST_CACHED = 0, 1, 2, 3
# Request flags.
HINT_VALID, CLIENT_RETRY, MID_FLOW, RETURNED = 1, 2, 8, 16
# Kinds of note.
NOTE_LOAD, NOTE_DELAY = 1, 2


@dataclass(slots=True)
class RequestClass:
    """One class of requests, and what a repeat of it may do."""

    name: str = ""
    aim_us: int = 300_000
    deadline_us: int = 1_800_000
    worth: float = 1.0
    repeat: str = "once"  # repeatable | by_key | once
    scope: str = "cell"  # for by_key: all | zone | cell
    window_us: int = 0
    # The operators' timing, where a route of theirs states it; 0 or empty: the module's own holds.
    route: str = ""  # set in what `timing` derives from a class; the platform names none
    give_up_us: int = 0  # the relay's final answer is due by then
    connect_us: int = 0
    attempt_us: int = 0  # from the first line's last byte
    attempts: int = 0
    waits: tuple[int, ...] = ()  # the longest before the second attempt, the third, ...
    every: bool = False  # those count from the start of the attempt before
    jitter: bool = False  # anything from 0 to the wait
    ran_again: bool = True  # an attempt that may have run may be followed by another, where `repeat` allows
    at_backend: int = 0  # set-ups under way at one server

    @property
    def harmless(self) -> bool:
        """Wherever a repeat goes, it does no harm."""
        return self.repeat == "repeatable" or (self.repeat == "by_key" and self.scope == "all")

    def wait_us(self, attempts: int, sent_us: int, now_us: int, draw: Callable[[], float]) -> int:
        """How long the next attempt waits after so many; `draw` gives a random number from 0 to 1."""
        if not 0 < attempts <= len(self.waits):
            return 0
        wait = self.waits[attempts - 1]
        return max(0, sent_us + wait - now_us) if self.every else int(wait * (draw() if self.jitter else 1.0))


@dataclass(slots=True)
class Settings:
    """What an instance is told at its start; every default is the cautious reading of a missing key."""

    classes: list[RequestClass]
    gateways: int = 1
    zone: int = 0
    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)
    ask_list: bool = False  # the list answers only when asked
    ask_within_us: int = 10_000_000
    cold_from: float = 0.1
    warm_within_us: int = 30_000_000
    fall_multiple: float = 2.0
    report_names: list[str] = field(default_factory=list)
    report_source: str = "none"
    probes: bool = False
    max_attempts: int = 1
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 1_000_000
    retry_after: bool = True  # a refusal may say when to come again
    message_aim_us: list[float] = field(default_factory=list)
    groups: bool = False  # connections of one group share work: each server that holds any pays for it once
    tells_load: bool = False
    tells_delay: bool = False
    fee_cross_zone: float = 0.0
    may_duplicate: bool = False  # two attempts of one request may be out together
    marks_retry: bool = True  # clients mark their own retries


# ---- events


@dataclass(slots=True)
class ServerEntry:
    """One line of a server list."""

    server: ServerId
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: int = READY
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True)
class ServerList:
    """A whole list, changes to it, or word that asking for it failed."""

    kind: int
    version: int
    entries: list[ServerEntry]


@dataclass(slots=True)
class Request:
    """A client wants a connection; one final answer is owed."""

    request: int
    cls: int = 0
    tenant: int = 0
    key: int = 0
    budget_us: int = 0
    hint_us: int = 0
    group: int = 0
    flags: int = 0


@dataclass(slots=True)
class Resumed:
    """A connection that was already open through this instance when it started."""

    request: int
    hint_us: int
    budget_us: int
    group: int
    key: int
    tenant: int
    server: ServerId
    flags: int = 0
    cls: int = 0


@dataclass(slots=True)
class Established:
    """The connection stands."""

    request: int
    attempt: int
    server: ServerId
    elapsed_us: int


@dataclass(slots=True)
class Outcome:
    """An attempt ended; `closed` says that the request did too. `report` follows `report_names`."""

    request: int
    attempt: int
    status: int
    closed: int
    server: ServerId
    elapsed_us: int
    report: tuple[float, ...] = ()
    path_fault: bool = False  # the way there failed, not the server


@dataclass(slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    request: int


@dataclass(slots=True)
class ProbeResult:
    """The answer to one probe."""

    server: ServerId
    status: int
    elapsed_us: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Note:
    """News of an open connection: its load, or how long a message takes at its server."""

    request: int
    attempt: int
    server: ServerId
    kind: int
    value: float


@dataclass(slots=True)
class TimerDue:
    """A timer that the instance set has fallen due."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another instance; instances share nothing here, so they are ignored."""

    sender: int
    data: bytes


Event = (
    ServerList
    | Request
    | Resumed
    | Established
    | Outcome
    | ClientGone
    | ProbeResult
    | Note
    | TimerDue
    | PeerMessage
)

# ---- actions


@dataclass(slots=True)
class Send:
    """Start the request's next attempt; a time-out of 0 lasts until the client gives up."""

    request: int
    server: ServerId
    timeout_us: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, trying again is harmless."""

    request: int
    retry_after_us: int


@dataclass(slots=True)
class Fail:
    """Final answer: not served, nothing promised."""

    request: int


@dataclass(slots=True)
class Probe:
    """Ask a server for its load."""

    server: ServerId


@dataclass(slots=True)
class Move:
    """End an open connection politely; its client comes again."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerDue`."""

    token: int
    after_us: int


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list."""

    on: int


@dataclass(slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Probe | Move | SetTimer | Watch | Log
