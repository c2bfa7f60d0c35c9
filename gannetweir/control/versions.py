"""Versions of a resource: their identity, the messages that carry them, and a content with its digest.

A version (a revision in etcd's terms) consists of an epoch, a number that rises within the epoch, and the
digest of the content. A publisher sends a version as a snapshot (all entries) or as a delta from a base
version, split into slices; a relay answers with an ACK or a NACK, as in xDS. All types are immutable values
except `Content`, which belongs to its creator. `gannetweir.proto.control_messages` defines canonical JSON.

The limits below are part of the protocol: a limit must be raised at the relays first, because a relay rejects
messages that exceed its limits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from gannetweir.errors import GannetweirError

# A BLAKE2b digest of this length makes accidental collisions practically impossible.
DIGEST_BYTES = 16
_DIGEST_RANGE = 1 << (8 * DIGEST_BYTES)
# The limits on keys, entries and the content bound the memory of a relay.
MAX_KEY_CHARS = 200
# Bounds the body of an entry, so that a single entry stays well below the size of a slice.
MAX_ENTRY_BYTES = 8_192
# Entries of a resource. The capacity figures cover up to 15,000 backends.
MAX_ENTRIES = 40_000
# The size of all keys and bodies of a resource.
MAX_CONTENT_BYTES = 8_000_000
# Bounds the work of receiving one slice.
MAX_SLICE_ENTRIES = 1_000
# Slices of a version; bounds how much a relay waits for.
MAX_SLICES = 4_000
MAX_NUMBER = (1 << 53) - 1  # the largest integer that every JSON reader represents exactly


class Resource(StrEnum):
    """A versioned resource.

    Each resource has separate version numbers: a halted change of settings must not delay a drain.
    """

    MEMBERSHIP = "membership"
    SETTINGS = "settings"


class Reason(StrEnum):
    """Why a version or a slice is rejected. The values are part of the protocol."""

    MALFORMED = "malformed"  # wrong types, or numbers out of range
    TOO_LARGE = "too-large"
    GAP = "gap"  # a slice is missing
    WRONG_BASE = "wrong-base"  # the base of the delta is not the applied version
    # The number or the epoch is lower than the applied one; a store or machine was restored from a backup.
    OLDER = "older"
    CONFLICT = "conflict"  # the number is the applied one, the content differs
    DIGEST = "digest"  # the content does not match the sender's digest
    CHECK = "check"  # an entry, or the complete content, fails the relay's own checks


class RejectedError(GannetweirError, ValueError):
    """A version or slice is rejected, and the applied version stays.

    The NACK carries `reason` and `detail`.
    """

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else str(reason))
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True)
class Version:
    """Identifies a state of a resource.

    `epoch` is the store's incarnation, which rises whenever the store is recreated or restored; 0 means that
    the epoch is unknown. `number` rises within an epoch. `digest` is the digest of the content.
    """

    epoch: int
    number: int
    digest: int


NO_VERSION = Version(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Entry:
    """A key and its value as canonical JSON; a body of None removes the key."""

    key: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Slice:
    """Part `index` of `count` of a version.

    The version is a snapshot if `base` is None, else a delta from the version with that number.
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
    """A negative acknowledgement: the relay rejected the version and continues to use `applied`."""

    resource: Resource
    version: Version
    reason: Reason
    detail: str
    applied: Version


def entry_digest(key: str, body: bytes) -> int:
    """Return the contribution of an entry to the digest of its content."""
    return int.from_bytes(blake2b(key.encode() + b"\0" + body, digest_size=DIGEST_BYTES).digest(), "big")


def add_to_digest(digest: int, key: str, old: bytes | None, new: bytes | None) -> int:
    """Return the digest after a change of one entry.

    `old` and `new` are the entry's bodies before and after the change; None means that there is no entry. The
    digest is the sum of the entries' hashes: it does not depend on their order, and the cost of a delta is
    proportional to the changed entries. The digest detects errors, but does not protect against an attacker.
    """
    if old is not None:
        digest -= entry_digest(key, old)
    if new is not None:
        digest += entry_digest(key, new)
    return digest % _DIGEST_RANGE


class Content:
    """Entries by key, with their digest and their size (keys and bodies, in bytes).

    Only `put` may change `entries`, since `put` also updates the digest and the size.
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
        """Return the digest of the content with these changes; the content is not changed."""
        digest = self.digest
        for key, body in changes.items():
            digest = add_to_digest(digest, key, self.entries.get(key), body)
        return digest


def check_slice(part: Slice) -> None:
    """Check a slice's numbers against their valid ranges before any further processing.

    Raises `RejectedError` with `MALFORMED` or `TOO_LARGE`.
    """
    target = part.target
    numbers = (target.epoch, target.number, part.base or 0, part.index, part.count)
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise RejectedError(Reason.MALFORMED, f"expected numbers from 0 to {MAX_NUMBER}, got {numbers}")
    if not 0 <= target.digest < _DIGEST_RANGE or target.epoch == 0:
        raise RejectedError(Reason.MALFORMED, f"expected a {DIGEST_BYTES}-byte digest and an epoch above 0")
    if part.count > MAX_SLICES or len(part.entries) > MAX_SLICE_ENTRIES:
        raise RejectedError(
            Reason.TOO_LARGE,
            f"expected at most {MAX_SLICES} slices and {MAX_SLICE_ENTRIES} entries in one, "
            f"got {part.count} and {len(part.entries)}",
        )
    if part.index >= part.count:
        raise RejectedError(Reason.MALFORMED, f"slice index {part.index}, expected below {part.count}")
    if part.base is not None and part.base >= target.number:
        raise RejectedError(Reason.MALFORMED, f"delta from {part.base} to {target.number}, expected a rise")
