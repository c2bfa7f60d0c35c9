"""A relay's watch of a control machine: the chunked HTTP watch of discovery, with a slice per line.

The parser does no I/O, like `endpoint_watch`: it takes bytes and returns events. The body consists of JSON
lines (see `control_messages`), either plain or as one gzip stream. Each line is a block of that stream that
does not refer to earlier blocks, so that a line is compressed only once for all relays. A `ControlWatch`
belongs to the relay's `ControlDriver` and lasts for one connection.
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

# Limits the decompressed size of a single read; a publisher's slices of 12 kB each are far smaller.
MAX_INFLATED_BYTES = 1 << 20
_COMPRESSION_LEVEL = 6  # zlib's default
# In zlib's encoding, adding 16 to the window bits selects the gzip format.
_GZIP_WINDOW_BITS = zlib.MAX_WBITS | 16
# The header of a gzip member: deflate, no file name, no timestamp, unknown operating system.
_GZIP_HEADER = b"\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff"

ControlEvent = Slice | Heartbeat | WatchFailed


@lru_cache(maxsize=MAX_CACHED_LINES)
def write_compressed_slice(part: Slice) -> bytes:
    """Return the line of a slice as a block of a gzip stream."""
    return compress_line(write_slice(part))


def compress_line(line: bytes) -> bytes:
    """Compress a line to a block that does not depend on other blocks."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL, zlib.DEFLATED, -zlib.MAX_WBITS)
    return compressor.compress(line) + compressor.flush(zlib.Z_FULL_FLUSH)


def stream_header(gzip: bool) -> bytes:
    """Return the bytes at the start of a watch's body: the gzip header, or nothing."""
    return _GZIP_HEADER if gzip else b""


class _Decompressor(Protocol):
    """What `zlib.decompressobj` returns."""

    @property
    def unconsumed_tail(self) -> bytes:
        """Input that was not processed because the output reached its maximum length."""

    def decompress(self, data: bytes, max_length: int, /) -> bytes:
        """Decompress data to at most `max_length` bytes."""


class ControlWatch(EndpointWatch):
    """Reads a watch from its request to its end.

    Slices are returned in the sender's order; the `Follower` checks whether they form a version.
    """

    def __init__(
        self, host: str, relay: str, applied: Mapping[Resource, Version], settings: Settings, limits: Limits
    ) -> None:
        """Create a watch of `host` (HOST:PORT) by `relay`, starting from its applied versions."""
        versions = "".join(f"&{resource}={version_text(version)}" for resource, version in applied.items())
        since = applied.get(Resource.MEMBERSHIP, NO_VERSION).number
        super().__init__(host, since, settings, limits, f"&relay={quote(relay, safe='')}{versions}&gzip=1")
        self.decompressor: _Decompressor | None = None  # None for a plain body
        self.body_has_begun = False

    def events(self, data: bytes) -> list[ControlEvent]:
        """Process received bytes, as `feed` does.

        Returns slices and heartbeats in the order of arrival; if the watch failed, the last event is
        `WatchFailed`.
        """
        return cast("list[ControlEvent]", self.feed(data))

    def _decode_body(self, data: bytes) -> bytes:
        if not self.body_has_begun and data:
            self.body_has_begun = True
            if data[0] == _GZIP_HEADER[0]:  # a JSON line never begins with this byte
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
        raise EndpointListError(f"too much data in a read: over {MAX_INFLATED_BYTES} bytes decompressed")
    return lines
