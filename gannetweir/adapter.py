"""Stdin to stdout: one `Balancer` for each instance on the simulator's wire."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from gannetweir import wire
from gannetweir.config import ConfigError, parse_settings_json
from gannetweir.placement.balancer import Balancer


class Host:
    """The instances of one process; they share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.faulted: set[int] = set()  # their day is over; what still comes for them is not an error

    def batch(self, count: int, now_us: int, body: memoryview) -> bytes:
        """Answer one frame's records."""
        size = count * wire.EVENT_SIZE
        if size > len(body):
            raise wire.WireError(f"{count} records need {size} bytes, the frame holds {len(body)}")
        tail = body[size:]
        reply = wire.Reply()
        for at in range(0, size, wire.EVENT_SIZE):
            try:
                self._event(body, at, tail, now_us, reply)
            except wire.WireError as error:
                raise wire.WireError(f"record {at // wire.EVENT_SIZE}: {error}") from None
        return reply.frame()

    def _event(self, body: memoryview, at: int, tail: memoryview, now_us: int, reply: wire.Reply) -> None:
        code = body[at]
        if code == wire.CREATE:
            instance, seed, offset, length = wire.CREATE_LAYOUT.unpack_from(body, at + 1)
            text = bytes(wire.tail_slice(tail, offset, length))
            try:
                self.instances[instance] = Balancer(parse_settings_json(text), seed, now_us)
                self.faulted.discard(instance)
            except ConfigError as error:
                self.faulted.add(instance)
                reply.text(wire.FAULT, instance, str(error))
            return
        if code == wire.TEARDOWN:
            (instance,) = wire.INSTANCE.unpack_from(body, at + 1)
            if self.instances.pop(instance, None) is None and instance not in self.faulted:
                raise wire.WireError(f"Teardown for instance {instance}, which does not exist")
            return
        row = wire.EVENTS.get(code)
        if row is None:
            raise wire.WireError(f"unknown event code {code}")
        name, layout, make = row
        instance, *fields = layout.unpack_from(body, at + 1)
        balancer = self.instances.get(instance)
        if balancer is None and instance in self.faulted:
            return
        if balancer is None:
            raise wire.WireError(f"{name} for instance {instance}, which does not exist")
        event = make(tail, *fields)
        try:
            actions = balancer.handle(event, now_us)
        except Exception as error:  # the wire has an action for it; the day ends with this text
            traceback.print_exc()
            reply.text(wire.FAULT, instance, f"{name}: {type(error).__name__}: {error}")
            return
        if actions:
            reply.add(instance, actions)


def _exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.WireError(f"{what}: input ended after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends between two of them."""
    host = Host()
    frames = 0
    while first := source.read(1):
        where = f"frame {frames}"
        header = first + _exactly(source, wire.HEADER.size - 1, where)
        length, count, now_us = wire.HEADER.unpack(header)
        if not wire.HEADER.size <= length <= wire.FRAME_LIMIT:
            raise wire.WireError(f"{where}: length {length} is outside 16 to {wire.FRAME_LIMIT}")
        body = memoryview(_exactly(source, length - wire.HEADER.size, where))
        try:
            sink.write(host.batch(count, now_us, body))
        except wire.WireError as error:
            raise wire.WireError(f"{where}, {error}") from None
        sink.flush()
        frames += 1


def main() -> int:
    """Run the adapter; 0 at a clean end of input, 2 on malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"gannetweir: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
