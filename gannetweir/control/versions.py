"""Versions of a resource: their identity, the messages that carry them, and a content with its digest.

A version (a revision in etcd's words) is an epoch, a number that rises within the epoch, and the digest of
the content. A publisher sends it as a snapshot (everything) or as a delta from a base version, cut into
slices; a relay answers with an ACK or a NACK, as in xDS. All types are immutable values but `Content`,
which belongs to whoever made it. What `canonical` JSON is, `gannetweir.proto.control_messages` defines.

The limits below are part of the protocol: raise one only at the relays first, since they reject what
exceeds theirs.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from gannetweir.errors import GannetweirError

DIGEST_BYTES = 16  # of BLAKE2b: two contents do not get the same digest by accident
_DIGEST_RANGE = 1 << (8 * DIGEST_BYTES)
MAX_KEY_BYTES = 200  # of an entry's key: bounds a relay's memory
MAX_ENTRY_BYTES = 8_192  # of an entry's body: an entry must be far from filling a slice by itself
MAX_ENTRIES = 40_000  # of a resource: bounds a relay's memory; costs were measured up to 15,000 backends
MAX_CONTENT_BYTES = 8_000_000  # of a resource, keys and bodies: bounds a relay's memory
MAX_SLICE_ENTRIES = 1_000  # in one slice: bounds the work that receiving one takes
MAX_SLICES = 4_000  # of one version: bounds what a relay waits for
MAX_NUMBER = (1 << 53) - 1  # the largest integer that every JSON reader represents exactly


class Resource(StrEnum):
    """What is versioned. Each has its own numbers: a halted change of settings must not delay a drain."""

    MEMBERSHIP = "membership"
    SETTINGS = "settings"


class Reason(StrEnum):
    """Why a version or a slice is rejected. The values are the protocol's."""

    MALFORMED = "malformed"  # ill-typed, or figures that no publisher can mean
    TOO_LARGE = "too-large"
    GAP = "gap"  # a slice is missing
    WRONG_BASE = "wrong-base"  # a delta on another version than the applied one
    OLDER = "older"  # a lower number, or an epoch before this one: a store or machine restored from a copy
    CONFLICT = "conflict"  # the applied number with another content
    DIGEST = "digest"  # the content is not what its sender says
    CHECK = "check"  # an entry, or the version as such, fails the relay's own checks


class RejectedError(GannetweirError, ValueError):
    """A version or slice is rejected, and the applied version stays.

    `reason` and `detail` go into the NACK.
    """

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else str(reason))
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True)
class Version:
    """One state of a resource.

    `epoch` is the store's incarnation, raised whenever it is created anew or restored, and 0 where it is not
    known; numbers rise within an epoch; `digest` is the content's.
    """

    epoch: int
    number: int
    digest: int


NO_VERSION = Version(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Entry:
    """One key and its value as canonical JSON; a body of None removes the key."""

    key: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Slice:
    """Part `index` of `count` of a version.

    Of a snapshot where `base` is None, else of a delta from the version of that number.
    """

    resource: Resource
    target: Version
    base: int | None
    index: int
    count: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """An acknowledgement: the relay has applied the version."""

    resource: Resource
    version: Version


@dataclass(frozen=True, slots=True)
class Nack:
    """A negative acknowledgement: the relay rejected the version and goes on with `applied`."""

    resource: Resource
    version: Version
    reason: Reason
    detail: str
    applied: Version


def entry_digest(key: str, body: bytes) -> int:
    """What one entry contributes to its content's digest."""
    return int.from_bytes(blake2b(key.encode() + b"\0" + body, digest_size=DIGEST_BYTES).digest(), "big")


def add_to_digest(digest: int, key: str, old: bytes | None, new: bytes | None) -> int:
    """The digest after one entry's change.

    `old` and `new` are the entry's bodies, None where there is none. The sum of the entries' hashes depends
    on no order and on no entry that stays, so a delta costs what it changes. It finds mistakes; it does not
    withstand an attacker.
    """
    if old is not None:
        digest -= entry_digest(key, old)
    if new is not None:
        digest += entry_digest(key, new)
    return digest % _DIGEST_RANGE


class Content:
    """Entries by key, with their digest and size (keys and bodies, in bytes) always up to date.

    Change `entries` by `put` only.
    """

    def __init__(self, entries: Iterable[Entry] = ()) -> None:
        self.entries: dict[str, bytes] = {}
        self.digest = 0
        self.size_bytes = 0
        for entry in entries:
            self.put(entry.key, entry.body)

    def put(self, key: str, body: bytes | None) -> None:
        """Set an entry; a body of None removes it."""
        old = self.entries.pop(key, None)
        self.digest = add_to_digest(self.digest, key, old, body)
        if old is not None:
            self.size_bytes -= len(key) + len(old)
        if body is not None:
            self.entries[key] = body
            self.size_bytes += len(key) + len(body)

    def digest_after(self, changes: Mapping[str, bytes | None]) -> int:
        """The digest that these changes would lead to; nothing is changed."""
        digest = self.digest
        for key, body in changes.items():
            digest = add_to_digest(digest, key, self.entries.get(key), body)
        return digest


def check_slice(part: Slice) -> None:
    """Reject numbers that no publisher can mean, before any work is done on them.

    Raises `RejectedError` with `MALFORMED` or `TOO_LARGE`.
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
