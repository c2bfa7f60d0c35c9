"""The records that the processes of a soak write, one JSON line each. Times are microseconds of the monotonic
clock, which all processes of one machine share.
"""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any, TypeAlias

import orjson


def now_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


@dataclass(slots=True)
class ClientObservation:
    """A request as its client observed it, written when it ends. A time of 0 means that it did not occur."""

    request: str
    relay: int
    cls: str
    line: str  # the first line as it was sent
    sent_us: int = 0  # the last byte of the first line was sent
    deadline_us: int = 0
    left_us: int = 0  # the client closed the connection
    answer: str = ""  # UP, BUSY or ERR; empty without an answer
    receipt: str = ""
    answered_us: int = 0
    gave_up_us: int = 0  # the client stopped waiting for an answer: its timeout, or the end of the run
    # When the client stopped waiting or disconnected, the relay's kernel had not acknowledged the first line.
    unheard: bool = False
    moved: bool = False  # MOVE was received
    end: str = ""  # "eof" or "reset"; empty if the client closed the connection
    ended_us: int = 0
    echo_us: int = 0  # the longest round trip of a line
    echo_at_us: int = 0  # the time at which that line was sent
    echo_wrong: bool = False  # a line was returned changed or out of order


@dataclass(slots=True)
class AttemptObservation:
    """An attempt as the proxy observed it on the relay's connection, written when it ends."""

    request: str
    backend: str
    line: str
    first_us: int  # the kernel received the first byte; the proxy may have read it later
    whole_us: int = 0  # the first line was complete
    relay_ended_us: int = 0  # the relay closed or reset the connection
    cut_us: int = 0  # the proxy reset the connection


@dataclass(slots=True)
class BackendObservation:
    """A first line that a backend received, written when its connection ends."""

    request: str
    backend: str
    arrived_us: int
    answer: str = ""
    receipt: str = ""
    ended_us: int = 0  # the backend rejected the request, sent MOVE or reset the connection


@dataclass(slots=True)
class BackendStart:
    """A backend has started. `warm_per_s` is the rate of new requests that overloads it once warmed up."""

    backend: str
    at_us: int
    warm_per_s: float


@dataclass(slots=True)
class MembershipChange:
    """Discovery changed the entry of a backend."""

    backend: str
    health: str
    born_ms: int
    at_us: int


@dataclass(slots=True)
class WatchEventSent:
    """Discovery sent the state of a backend to a relay, or the relay was started with that state."""

    relay: int
    backend: str
    health: str
    born_ms: int
    at_us: int


@dataclass(slots=True)
class LoopDelay:
    """The event loop of a stand-in was delayed: what it observed until then may have arrived earlier."""

    process: str
    at_us: int
    late_us: int


@dataclass(slots=True)
class RunQueueWait:
    """For `waited_us` of this span a process was ready to run but had no processor, by the kernel's count."""

    process: str
    from_us: int
    to_us: int
    waited_us: int


@dataclass(slots=True)
class ProcessLifetime:
    """A relay process. `how` says how the process ended: "term", "kill", "crash", "late" (killed because the
    process did not exit in time after SIGTERM), "no start" (never ready) or "soak" (the run ended); empty
    while the process runs.
    """

    relay: int
    started_us: int
    ready_us: int = 0
    asked_to_end_us: int = 0
    ended_us: int = 0
    how: str = ""
    code: int = 0  # exit code
    descriptors: int = 0  # the largest number of open descriptors that was observed


@dataclass(slots=True)
class OverrideCall:
    """An operator's call. If `out`: OFFLINE, at the time of its answer `ok`; otherwise ONLINE, at the time
    when the call was first sent.
    """

    relay: int
    backend: str
    out: bool
    at_us: int


@dataclass(slots=True)
class FaultSpan:
    """An injected fault: its kind, its target and its duration."""

    kind: str
    target: str
    from_us: int
    to_us: int


Record: TypeAlias = (
    ClientObservation
    | AttemptObservation
    | BackendObservation
    | BackendStart
    | MembershipChange
    | WatchEventSent
    | LoopDelay
    | RunQueueWait
    | ProcessLifetime
    | OverrideCall
    | FaultSpan
)
# The name of each type in a file. Records of earlier runs use these names and the names of the fields, so
# neither may change.
_NAMES_IN_FILES: dict[type[Record], str] = {
    ClientObservation: "ClientSaw",
    AttemptObservation: "ProxySaw",
    BackendObservation: "BackendSaw",
    BackendStart: "Started",
    MembershipChange: "Change",
    WatchEventSent: "Told",
    LoopDelay: "Late",
    RunQueueWait: "RunQueueWait",
    ProcessLifetime: "Life",
    OverrideCall: "Called",
    FaultSpan: "TroubleSpan",
}
_TYPES: dict[str, type[Any]] = {name: record_type for record_type, name in _NAMES_IN_FILES.items()}


class RecordFile:
    """Appends records without buffering, so a killed process loses no record that it has written."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)

    def write(self, record: Record) -> None:
        """Append a record."""
        self.file.write(orjson.dumps([_NAMES_IN_FILES[type(record)], asdict(record)]) + b"\n")


def read_records(folder: Path) -> list[Record]:
    """Return all records of a run; skips the truncated line of a process that was killed while it wrote."""
    found: list[Record] = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                name, values = orjson.loads(line)
            except ValueError:
                continue
            known = {field.name for field in fields(_TYPES[name])}
            found.append(_TYPES[name](**{k: v for k, v in values.items() if k in known}))
    return found
