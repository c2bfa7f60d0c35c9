"""The watch of a control machine: the chunked HTTP watch of discovery's list, with fields for versions.

Each line is an object as discovery's watch has them, and names its version beside it:

    {"seq":43,"whole":false,"hosts":[...],"resource":"membership","epoch":3,"digest":"...","base":41,
     "index":0,"count":1}

`base` is missing in a snapshot. Settings are an object `settings` in place of `hosts`; null removes a key.
ACK and NACK are objects too, each the body of a POST.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from functools import lru_cache
from typing import Any, cast
from urllib.parse import quote

import orjson

from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import (
    DIGEST_BYTES,
    MAX_NUMBER,
    MAX_SLICE_ENTRIES,
    NO_VERSION,
    Ack,
    Entry,
    Nack,
    Reason,
    Resource,
    Slice,
    Version,
)
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings
from gannetweir.proto.endpoint_watch import EndpointListError, EndpointWatch, Heartbeat, WatchFailed

ACK_TARGET = "/control/answers"
MAX_ANSWER_BYTES = 4_096
MAX_INFLATED_BYTES = 1 << 20  # out of one read: a publisher's slices are 12 kB each
# A gzip member's head, for a stream of blocks that are compressed one by one: each can go to many relays.
_GZIP_HEAD = b"\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff"

ControlEvent = Slice | Heartbeat | WatchFailed


def canonical_json(value: Any) -> bytes:
    """The one form of a JSON value over which digests are taken. Raises `TypeError` for what JSON lacks."""
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    return bytes(memoryview(data))  # a copy: behind what orjson returns stays its whole buffer, 4 KB an entry


def _number(data: Mapping[str, Any], name: str) -> int:
    value = data[name]
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise EndpointListError(f"{name}: not a number in range")
    return value


def _digest(text: Any) -> int:
    if not isinstance(text, str) or len(text) != 2 * DIGEST_BYTES or not text.isascii() or not text.isalnum():
        raise EndpointListError("digest: ill-typed")
    try:
        return int(text, 16)
    except ValueError:
        raise EndpointListError("digest: not hexadecimal") from None


def _host_entry(data: Any) -> Entry:
    host = data["host"] if isinstance(data, dict) else None
    if not isinstance(host, str):
        raise EndpointListError("hosts: an entry without a name")
    return Entry(host, None if data.get("health") == "Gone" else canonical_json(data))


def _entries(data: Mapping[str, Any], resource: Resource) -> tuple[Entry, ...]:
    if resource is Resource.MEMBERSHIP:
        hosts = data["hosts"]
        if not isinstance(hosts, list) or len(hosts) > MAX_SLICE_ENTRIES:
            raise EndpointListError("hosts: not a list, or too long")
        return tuple(map(_host_entry, hosts))
    settings = data["settings"]
    if not isinstance(settings, dict) or len(settings) > MAX_SLICE_ENTRIES:
        raise EndpointListError("settings: not an object, or too long")
    return tuple(Entry(key, None if v is None else canonical_json(v)) for key, v in settings.items())


def read_slice(data: Any) -> Slice:
    """One object of a control machine's. Raises `PoolError` for what is missing, ill-typed or too long."""
    try:
        resource = Resource(data["resource"])
        version = Version(_number(data, "epoch"), _number(data, "seq"), _digest(data["digest"]))
        base = None if data["whole"] is True else _number(data, "base")
        index, count = _number(data, "index"), _number(data, "count")
        return Slice(resource, version, base, index, count, _entries(data, resource))
    except (KeyError, TypeError, AttributeError, ValueError, RecursionError) as error:
        raise EndpointListError(f"not a slice: {type(error).__name__}: {error}"[:200]) from None


@lru_cache(maxsize=256)
def write_slice(part: Slice) -> bytes:
    """The line that carries a slice."""
    target = part.target
    head: dict[str, Any] = {
        "seq": target.number,
        "whole": part.base is None,
        "resource": part.resource,
        "epoch": target.epoch,
        "digest": f"{target.digest:032x}",
        "index": part.index,
        "count": part.count,
    }
    if part.base is not None:
        head["base"] = part.base
    if part.resource is Resource.MEMBERSHIP:
        gone = [b'{"host":%s,"health":"Gone"}' % orjson.dumps(e.key) for e in part.entries if e.body is None]
        body = b'"hosts":[%s]' % b",".join([*(e.body for e in part.entries if e.body is not None), *gone])
    else:
        pairs = (b"%s:%s" % (orjson.dumps(e.key), e.body or b"null") for e in part.entries)
        body = b'"hosts":[],"settings":{%s}' % b",".join(pairs)
    return orjson.dumps(head)[:-1] + b"," + body + b"}\n"


@lru_cache(maxsize=256)
def write_compressed_slice(part: Slice) -> bytes:
    """The same as a block of a gzip stream, which needs nothing of the blocks before it."""
    return compress_line(write_slice(part))


def compress_line(line: bytes) -> bytes:
    """A line as a block of its own."""
    packer = zlib.compressobj(6, zlib.DEFLATED, -zlib.MAX_WBITS)
    return packer.compress(line) + packer.flush(zlib.Z_FULL_FLUSH)


def stream_head(gzip: bool) -> bytes:
    """What a body begins with."""
    return _GZIP_HEAD if gzip else b""


def version_text(version: Version) -> str:
    """`EPOCH.NUMBER.DIGEST`."""
    return f"{version.epoch}.{version.number}.{version.digest:032x}"


def read_version(text: str) -> Version:
    """`EPOCH.NUMBER.DIGEST`. Raises `PoolError`."""
    epoch, _, rest = text.partition(".")
    number, _, digest = rest.partition(".")
    if not all(part.isascii() and part.isdecimal() and len(part) < 17 for part in (epoch, number)):
        raise EndpointListError("held: not a version")
    return Version(int(epoch), int(number), _digest(digest))


class ControlWatch(EndpointWatch):
    """One watch of a control machine, from its request to its end. Slices come in the sender's order; what
    they may follow is for the follower to say.
    """

    def __init__(
        self, host: str, relay: str, applied: Mapping[Resource, Version], settings: Settings, limits: Limits
    ) -> None:
        versions = "".join(f"&{resource}={version_text(version)}" for resource, version in applied.items())
        since = applied.get(Resource.MEMBERSHIP, NO_VERSION).number
        super().__init__(host, since, settings, limits, f"&relay={quote(relay, safe='')}{versions}&gzip=1")
        self.decompressor: Any = None
        self.body_has_begun = False  # the body has

    def events(self, data: bytes) -> list[ControlEvent]:
        """As `feed`: slices and heartbeats in their order, and at the end what broke the watch."""
        return cast("list[ControlEvent]", self.feed(data))

    def _decode_body(self, data: bytes) -> bytes:
        if (
            not self.body_has_begun and data
        ):  # a gzip stream begins with a byte that no line of JSON begins with
            self.body_has_begun = True
            self.decompressor = zlib.decompressobj(zlib.MAX_WBITS | 16) if data[0] == _GZIP_HEAD[0] else None
        if self.decompressor is None:
            return data
        try:
            lines = self.decompressor.decompress(data, MAX_INFLATED_BYTES)
        except zlib.error as error:
            raise EndpointListError(f"not a gzip stream: {error}") from None
        if self.decompressor.unconsumed_tail:
            raise EndpointListError("too much out of one read")
        return bytes(lines)

    def _read_event(self, data: Any) -> Any:
        return read_slice(data)


def write_answer(relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> bytes:
    """The body of an ACK or NACK, with what the relay has served so far."""
    version = answer.version
    data: dict[str, Any] = {"relay": relay, "resource": answer.resource, "version": version_text(version)}
    if isinstance(answer, Nack):
        data |= {"reason": answer.reason, "detail": answer.detail, "held": version_text(answer.applied)}
    if totals is not None:
        data |= {"served": totals.served, "failed": totals.failed}
    return orjson.dumps(data)


def read_answer(body: bytes) -> tuple[str, Ack | Nack, ServiceTotals | None]:
    """The relay, its answer, and what it has served so far. Raises `PoolError`."""
    try:
        data = orjson.loads(body)
        relay, resource, version = data["relay"], Resource(data["resource"]), read_version(data["version"])
        if not isinstance(relay, str) or not relay:
            raise EndpointListError("relay: ill-typed")
        totals = ServiceTotals(_number(data, "served"), _number(data, "failed")) if "served" in data else None
        if "reason" not in data:
            return relay, Ack(resource, version), totals
        detail = str(data["detail"])[:200]
        return (
            relay,
            Nack(resource, version, Reason(data["reason"]), detail, read_version(data["held"])),
            totals,
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise EndpointListError(f"not an answer: {type(error).__name__}: {error}"[:200]) from None
