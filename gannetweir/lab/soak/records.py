"""What the processes of a soak write down, a JSON line each. Times are microseconds of the monotonic clock,
which all processes of one machine share.
"""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any, TypeAlias

import orjson


def now_us() -> int:
    """The monotonic clock."""
    return time.monotonic_ns() // 1000


@dataclass(slots=True)
class ClientObservation:
    """One request from its client's side, written at its end. A time of 0 means that it did not happen."""

    request: str
    relay: int
    cls: str
    line: str  # the first line as it was sent
    sent_us: int = 0  # its last byte
    deadline_us: int = 0
    left_us: int = 0  # the client has ended the connection
    answer: str = ""  # UP, BUSY, ERR; empty: none
    receipt: str = ""
    answered_us: int = 0
    gave_up_us: int = 0  # it waited no longer for an answer: the end of its patience, or of the run
    unheard: bool = False  # when it gave up, the relay's kernel had not even taken its line
    moved: bool = False
    end: str = ""  # eof or reset; empty: the client ended it
    ended_us: int = 0
    echo_us: int = 0  # the longest that a line took to come back
    echo_at_us: int = 0
    echo_wrong: bool = False  # a line came back changed or in another order


@dataclass(slots=True)
class AttemptObservation:
    """One attempt as it came from a relay, written at its end."""

    request: str
    backend: str
    line: str
    first_us: int  # its first byte came to this machine, whenever it was read
    whole_us: int = 0
    relay_ended_us: int = 0
    cut_us: int = 0  # the proxy broke it


@dataclass(slots=True)
class BackendObservation:
    """One first line at a backend, written at its end."""

    request: str
    backend: str
    arrived_us: int
    answer: str = ""
    receipt: str = ""
    ended_us: int = 0  # the backend ended or broke it


@dataclass(slots=True)
class BackendStart:
    """A backend has started. `warm_per_s`: new requests a second that overload it once it has warmed up."""

    backend: str
    at_us: int
    warm_per_s: float


@dataclass(slots=True)
class MembershipChange:
    """Discovery learnt something of a backend."""

    backend: str
    health: str
    born_ms: int
    at_us: int


@dataclass(slots=True)
class WatchEventSent:
    """Discovery wrote a state to a relay."""

    relay: int
    backend: str
    health: str
    born_ms: int
    at_us: int


@dataclass(slots=True)
class LoopDelay:
    """A stand-in's loop was delayed: what it saw until then may have come earlier."""

    process: str
    at_us: int
    late_us: int


@dataclass(slots=True)
class RunQueueWait:
    """A process was ready to run and had no processor, for so much of this time, by the kernel's count."""

    process: str
    from_us: int
    to_us: int
    waited_us: int


@dataclass(slots=True)
class ProcessLifetime:
    """One relay process. `how`: term, kill or crash; empty while it runs."""

    relay: int
    started_us: int
    ready_us: int = 0
    asked_to_end_us: int = 0
    ended_us: int = 0
    how: str = ""
    code: int = 0
    descriptors: int = 0  # the most seen at once


@dataclass(slots=True)
class OverrideCall:
    """An operator's call was answered `ok`. Taken out: from the answer on; back: from the call on."""

    relay: int
    backend: str
    out: bool
    at_us: int


@dataclass(slots=True)
class FaultSpan:
    """What was done to whom, and when."""

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
# Each type's name in a file. Kept records of earlier runs have these names and the fields' names: both stay.
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
    """Appends records; each is on disk before the call returns, so a killed process loses none."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)

    def write(self, record: Record) -> None:
        """Write one record."""
        self.file.write(orjson.dumps([_NAMES_IN_FILES[type(record)], asdict(record)]) + b"\n")


def read_records(folder: Path) -> list[Record]:
    """All records of a run; half a line, of a process that was killed as it wrote, is skipped."""
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
