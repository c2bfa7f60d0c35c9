"""The messages between the parent of a skeleton fleet and its processes: typed, one line of JSON each."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import StrEnum
from typing import Any

import orjson


class ServerMode(StrEnum):
    """The mode of a server of the fleet, which decides what its watches are sent."""

    NORMAL = "normal"
    SILENT = "silent"  # the server accepts and reads, sends nothing
    TRICKLE = "trickle"  # one byte per second to each watch
    SLOW = "slow"  # 10 KB per second to each watch
    # A control machine ends itself by SIGKILL after half of its relays were sent the next change.
    DIES = "dies"


def machine_name(number: int) -> str:
    """Return the name by which relays know a control machine."""
    return f"c{number:02}"


@dataclass(slots=True)
class Configure:
    """To a host process: the configuration of all its relays."""

    distribution: str
    servers: list[str]  # HOST:PORT
    settings: dict[str, Any]  # in the form of the platform's file
    zones: int
    epoch_ns: int  # CLOCK_MONOTONIC at the beginning of second 0 of the byte counts


@dataclass(slots=True)
class StartRelays:
    """To a host process: start these relays in waves of `wave`; answered when every relay has a list."""

    relays: list[int]
    wave: int


@dataclass(slots=True)
class RestartRelays:
    """To a host process: restart those of these relays that it runs; answered at once.

    Relays start without a list or, if `known`, with the list that each had.
    """

    relays: list[int]
    known: bool = False


@dataclass(slots=True)
class AskInForce:
    """To a host process: count the relays that have at least this version."""

    version: int


@dataclass(slots=True)
class AskRecords:
    """To a host process: return the records of all its relays."""


@dataclass(slots=True)
class SetMembership:
    """To a server: the complete membership; the server knows no earlier version."""

    version: int
    members: list[dict[str, Any]]


@dataclass(slots=True)
class Publish:
    """To a server: a change of one member, and the version that the change makes."""

    version: int
    member: dict[str, Any]


@dataclass(slots=True)
class StartMachine:
    """To a control machine: start from the store of record's first version and all changes since then."""

    version: int
    members: list[dict[str, Any]]
    settings: dict[str, Any]
    history: list[Publish]


@dataclass(slots=True)
class SetMode:
    """To a server: switch to this mode."""

    mode: str


@dataclass(slots=True)
class AskServed:
    """To a server: return what has been sent so far."""


@dataclass(slots=True)
class Done:
    """The command was carried out."""


@dataclass(slots=True)
class InForce:
    """The number of relays of a host that have the version in question."""

    count: int


@dataclass(slots=True)
class Served:
    """What a server has sent so far.

    Bytes are counted by the local address of the watches' connections; a control machine counts them by its
    name.
    """

    watches: int
    snapshots: int  # number of snapshots begun
    sent: dict[str, int]
    # Bytes by second of CLOCK_MONOTONIC; only a control machine counts them.
    by_second: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class RelayRecord:
    """The record of one relay, over all its restarts. Times are CLOCK_MONOTONIC in nanoseconds."""

    relay: int
    versions: list[int] = field(default_factory=list)  # versions that came in force, in order
    # The times at which the versions came in force, one per entry of `versions`.
    applied_ns: list[int] = field(default_factory=list)
    received: dict[int, int] = field(default_factory=dict)  # bytes by second since the epoch
    started_ns: list[int] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # errors of drivers
    watch_failures: int = 0
    unsent_probes: int = 0


@dataclass(slots=True)
class Records:
    """The records of all relays of a host."""

    relays: list[RelayRecord]


Message = (
    Configure
    | StartRelays
    | RestartRelays
    | AskInForce
    | AskRecords
    | SetMembership
    | StartMachine
    | Publish
    | SetMode
    | AskServed
    | Done
    | InForce
    | Served
    | Records
)
_TYPES: dict[str, Any] = {
    kind.__name__: kind
    for kind in (
        Configure,
        StartRelays,
        RestartRelays,
        AskInForce,
        AskRecords,
        SetMembership,
        StartMachine,
        Publish,
        SetMode,
        AskServed,
        Done,
        InForce,
        Served,
        Records,
    )
}


def encode(message: Message) -> bytes:
    """Return the message as one line."""
    body = {part.name: getattr(message, part.name) for part in fields(message)}
    return orjson.dumps([type(message).__name__, body], option=orjson.OPT_NON_STR_KEYS) + b"\n"


def decode(line: bytes) -> Message:
    """Return the message of one line. Raises `ValueError`, `KeyError` or `TypeError` for any other line."""
    name, body = orjson.loads(line)
    if name == "Records":
        return Records([_record(raw) for raw in body["relays"]])
    if "by_second" in body:
        body["by_second"] = _by_second(body["by_second"])
    if "history" in body:
        body["history"] = [Publish(**raw) for raw in body["history"]]
    message: Message = _TYPES[name](**body)
    return message


def _record(raw: dict[str, Any]) -> RelayRecord:
    raw["received"] = _by_second(raw["received"])
    return RelayRecord(**raw)


def _by_second(raw: dict[str, int]) -> dict[int, int]:
    return {int(second): count for second, count in raw.items()}
