"""A relay's watch of a control machine: discovery's chunked HTTP watch, with slices as its lines.

Sans-IO, as `endpoint_watch`: bytes in, events out. The body is lines of JSON (see `control_messages`),
plain or as one gzip stream. Each line is a block of that stream that needs nothing of the blocks before it,
so that a line is compressed once for all relays that get it. A `ControlWatch` belongs to the relay's
`ControlDriver` and lasts for one connection.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from functools import lru_cache
from typing import Protocol, cast
from urllib.parse import quote

from gannetweir.control.versions import NO_VERSION, Resource, Slice, Version
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings
from gannetweir.proto.control_messages import MAX_CACHED_LINES, read_slice, version_text, write_slice
from gannetweir.proto.endpoint_watch import EndpointListError, EndpointWatch, Heartbeat, WatchFailed

MAX_INFLATED_BYTES = 1 << 20  # out of one read: far above a publisher's slices, which have 12 kB each
_COMPRESSION_LEVEL = 6  # zlib's default
_GZIP_WINDOW_BITS = zlib.MAX_WBITS | 16  # as zlib has it: 16 stands for a gzip header
# The header of a gzip member: deflate, no name, no time, system unknown.
_GZIP_HEADER = b"\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff"

ControlEvent = Slice | Heartbeat | WatchFailed


@lru_cache(maxsize=MAX_CACHED_LINES)
def write_compressed_slice(part: Slice) -> bytes:
    """The line that carries a slice, as a block of a gzip stream."""
    return compress_line(write_slice(part))


def compress_line(line: bytes) -> bytes:
    """A line as a block of its own."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL, zlib.DEFLATED, -zlib.MAX_WBITS)
    return compressor.compress(line) + compressor.flush(zlib.Z_FULL_FLUSH)


def stream_header(gzip: bool) -> bytes:
    """What a watch's body begins with."""
    return _GZIP_HEADER if gzip else b""


class _Decompressor(Protocol):
    """What `zlib.decompressobj` returns."""

    @property
    def unconsumed_tail(self) -> bytes:
        """Input that was left, since its output would have been too long."""

    def decompress(self, data: bytes, max_length: int, /) -> bytes:
        """At most so many bytes of output."""


class ControlWatch(EndpointWatch):
    """One watch, from its request to its end.

    Slices come in the sender's order; whether they fit together is for the `Follower` to say.
    """

    def __init__(
        self, host: str, relay: str, applied: Mapping[Resource, Version], settings: Settings, limits: Limits
    ) -> None:
        """A watch of `host` (HOST:PORT) by `relay`, from the versions that it has applied."""
        versions = "".join(f"&{resource}={version_text(version)}" for resource, version in applied.items())
        since = applied.get(Resource.MEMBERSHIP, NO_VERSION).number
        super().__init__(host, since, settings, limits, f"&relay={quote(relay, safe='')}{versions}&gzip=1")
        self.decompressor: _Decompressor | None = None  # while the body is a gzip stream
        self.body_has_begun = False

    def events(self, data: bytes) -> list[ControlEvent]:
        """As `feed`: slices and heartbeats in their order, and at the end what broke the watch."""
        return cast("list[ControlEvent]", self.feed(data))

    def _decode_body(self, data: bytes) -> bytes:
        if not self.body_has_begun and data:
            self.body_has_begun = True
            if data[0] == _GZIP_HEADER[0]:  # no line of JSON begins with this byte
                self.decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
        if self.decompressor is None:
            return data
        return _inflate(self.decompressor, data)

    def _read_event(self, data: object) -> Slice:
        return read_slice(data)


def _inflate(decompressor: _Decompressor, data: bytes) -> bytes:
    try:
        lines = decompressor.decompress(data, MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise EndpointListError(f"not a gzip stream: {error}") from error
    if decompressor.unconsumed_tail:
        raise EndpointListError("too much out of one read")
    return lines
