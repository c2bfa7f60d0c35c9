"""Versions of a resource: what identifies one, the messages that carry it, and what it stands for."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

DIGEST_BYTES = 16
_DIGEST_RANGE = 1 << (8 * DIGEST_BYTES)
MAX_KEY_BYTES = 200
MAX_ENTRY_BYTES = 8_192  # so that an entry is far from filling a slice by itself
MAX_ENTRIES = 40_000
MAX_CONTENT_BYTES = 8_000_000
MAX_SLICE_ENTRIES = 1_000
MAX_SLICES = 4_000
MAX_NUMBER = (1 << 53) - 1  # what every JSON reader holds exactly


class Resource(StrEnum):
    """What is versioned. Each counts for itself: a held change of settings must not hold back a drain."""

    MEMBERSHIP = "membership"
    SETTINGS = "settings"


class Reason(StrEnum):
    """Why a version or a slice is turned down."""

    MALFORMED = "malformed"  # ill-typed, or figures that no publisher can mean
    TOO_LARGE = "too-large"
    GAP = "gap"  # a slice is missing
    WRONG_BASE = "wrong-base"  # a delta on another version than the one held
    OLDER = "older"  # a lower number, or an epoch before this one: a store or machine restored from a copy
    CONFLICT = "conflict"  # the number that is held, with another content
    DIGEST = "digest"  # the content is not what its sender says
    CHECK = "check"  # an entry or the whole fails the relay's own checks


class RejectedError(ValueError):
    """A version or slice that is not taken; what was held stays."""

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else str(reason))
        self.reason, self.detail = reason, detail


@dataclass(frozen=True, slots=True)
class Version:
    """One state of a resource. `epoch` is the store's incarnation, raised whenever it is created anew or
    restored, and 0 where it is not known; numbers rise within an epoch; `digest` is the content's.
    """

    epoch: int
    number: int
    digest: int


NO_VERSION = Version(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Entry:
    """One key and its value as canonical JSON; None removes it."""

    key: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Slice:
    """A part of a snapshot (`base` is None) or of a delta from the version numbered `base`."""

    resource: Resource
    target: Version
    base: int | None
    index: int
    count: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """The version is in force at the relay."""

    resource: Resource
    version: Version


@dataclass(frozen=True, slots=True)
class Nack:
    """The version was turned down; the relay goes on with `held`."""

    resource: Resource
    version: Version
    reason: Reason
    detail: str
    applied: Version


def entry_digest(key: str, body: bytes) -> int:
    """An entry's share of the digest."""
    return int.from_bytes(blake2b(key.encode() + b"\0" + body, digest_size=DIGEST_BYTES).digest(), "big")


def add_to_digest(digest: int, key: str, old: bytes | None, new: bytes | None) -> int:
    """The digest after one entry's change.

    The sum of the entries' hashes needs no order and no second look at what stays, so a delta costs what it
    changes. It finds mistakes; it does not withstand an attacker.
    """
    if old is not None:
        digest -= entry_digest(key, old)
    if new is not None:
        digest += entry_digest(key, new)
    return digest % _DIGEST_RANGE


class Content:
    """Entries by key, with their digest and size in bytes kept up to date."""

    def __init__(self, entries: Iterable[Entry] = ()) -> None:
        self.entries: dict[str, bytes] = {}
        self.digest = self.size_bytes = 0
        for entry in entries:
            self.put(entry.key, entry.body)

    def put(self, key: str, body: bytes | None) -> None:
        """Set an entry, or remove it."""
        old = self.entries.pop(key, None)
        self.digest = add_to_digest(self.digest, key, old, body)
        if old is not None:
            self.size_bytes -= len(key) + len(old)
        if body is not None:
            self.entries[key] = body
            self.size_bytes += len(key) + len(body)

    def digest_after(self, changes: Mapping[str, bytes | None]) -> int:
        """The digest that the changes would lead to."""
        digest = self.digest
        for key, body in changes.items():
            digest = add_to_digest(digest, key, self.entries.get(key), body)
        return digest


def check_slice(part: Slice) -> None:
    """Figures that no publisher can mean are turned down before any work is done on them.

    Raises `RejectedError`.
    """
    target = part.target
    numbers = (target.epoch, target.number, part.base or 0, part.index, part.count)
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise RejectedError(Reason.MALFORMED, "a number out of range")
    if not 0 <= target.digest < _DIGEST_RANGE or target.epoch == 0:
        raise RejectedError(Reason.MALFORMED, "no digest or epoch")
    if part.count > MAX_SLICES or len(part.entries) > MAX_SLICE_ENTRIES:
        raise RejectedError(Reason.TOO_LARGE, f"{part.count} slices, {len(part.entries)} entries in one")
    if part.index >= part.count:
        raise RejectedError(Reason.MALFORMED, f"slice {part.index} of {part.count}")
    if part.base is not None and part.base >= target.number:
        raise RejectedError(Reason.MALFORMED, f"a delta from {part.base} to {target.number}")
