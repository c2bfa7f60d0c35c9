"""What the parent of a hollow fleet and its processes say to each other: one JSON object a line, typed."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import StrEnum
from typing import Any

import orjson


class ServerMode(StrEnum):
    """How a server of the fleet treats its watches."""

    NORMAL = "normal"
    SILENT = "silent"  # accepts and reads, sends nothing
    TRICKLE = "trickle"  # one byte a second to each watch
    SLOW = "slow"  # 10 KB a second to each watch
    DIES = "dies"  # a control machine, by SIGKILL, once half of its relays were sent the next change


def machine_name(number: int) -> str:
    """What relays know a control machine by."""
    return f"c{number:02}"


@dataclass(slots=True)
class Configure:
    """To a host process: what all of its relays are told."""

    distribution: str
    servers: list[str]  # HOST:PORT
    settings: dict[str, Any]  # as the platform's configuration tells them
    zones: int
    epoch_ns: int  # CLOCK_MONOTONIC at which the second 0 of the byte counts begins


@dataclass(slots=True)
class StartRelays:
    """Start these relays, at most `wave` at a time without a list; answered once each has one."""

    relays: list[int]
    wave: int


@dataclass(slots=True)
class RestartRelays:
    """End those of these relays that are here, and start them again, without a list or with the one that each
    had; answered at once.
    """

    relays: list[int]
    known: bool = False


@dataclass(slots=True)
class AskInForce:
    """How many relays have at least this version?"""

    version: int


@dataclass(slots=True)
class AskRecords:
    """All that was recorded of each relay."""


@dataclass(slots=True)
class SetMembership:
    """To a server: the whole membership, of which it knows no earlier state."""

    version: int
    members: list[dict[str, Any]]


@dataclass(slots=True)
class Publish:
    """To a server: one member has changed; the version after the change."""

    version: int
    member: dict[str, Any]


@dataclass(slots=True)
class StartMachine:
    """To a control machine: begin from the store of record, whose log reaches back to its first version."""

    version: int
    members: list[dict[str, Any]]
    settings: dict[str, Any]
    history: list[Publish]


@dataclass(slots=True)
class SetMode:
    """To a server: treat the watches like this from now on."""

    mode: str


@dataclass(slots=True)
class AskServed:
    """To a server: what was sent so far."""


@dataclass(slots=True)
class Done:
    """The command was carried out."""


@dataclass(slots=True)
class InForce:
    """So many relays of a host have the version that was asked for."""

    count: int


@dataclass(slots=True)
class Served:
    """What a server has sent, in bytes, by its own address that the watches came to."""

    watches: int
    snapshots: int  # whole lists begun
    sent: dict[str, int]
    by_second: dict[int, int] = field(default_factory=dict)  # a control machine's


@dataclass(slots=True)
class RelayRecord:
    """What was recorded of one relay. Times are CLOCK_MONOTONIC in nanoseconds."""

    relay: int
    versions: list[int] = field(default_factory=list)  # each that came in force, in order
    applied_ns: list[int] = field(default_factory=list)  # and when
    received: dict[int, int] = field(default_factory=dict)  # bytes, by second since the epoch
    started_ns: list[int] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # drivers that failed
    watch_failures: int = 0
    unsent_probes: int = 0


@dataclass(slots=True)
class Records:
    """The records of one host's relays."""

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
    """One line."""
    body = {part.name: getattr(message, part.name) for part in fields(message)}
    return orjson.dumps([type(message).__name__, body], option=orjson.OPT_NON_STR_KEYS) + b"\n"


def decode(line: bytes) -> Message:
    """The message of one line; `ValueError` or `KeyError` if it is none."""
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
