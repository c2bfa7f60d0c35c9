"""The simulator's adapter: answers frames from standard input, with a `Balancer` for each instance."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from gannetweir import wire
from gannetweir.config import ConfigError, parse_settings_json
from gannetweir.placement.balancer import Balancer


class Host:
    """Owns the balancers of the instances in this process; instances share no state."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._faulted: set[int] = set()  # instances with invalid settings; their further records are ignored

    def answer(self, count: int, now_us: int, body: memoryview) -> bytes:
        """Return the reply to one frame of `count` records.

        Raises:
            WireError: a record is malformed, or names an instance that does not exist.
        """
        records_bytes = count * wire.EVENT_BYTES
        if records_bytes > len(body):
            raise wire.WireError(f"{count} records need {records_bytes} bytes, the frame holds {len(body)}")
        tail = body[records_bytes:]
        reply = wire.Reply()
        for number in range(count):
            start = number * wire.EVENT_BYTES
            try:
                self._answer_record(body[start : start + wire.EVENT_BYTES], tail, now_us, reply)
            except wire.WireError as error:
                raise wire.WireError(f"record {number}: {error}") from error
        return reply.frame()

    def _answer_record(self, record: memoryview, tail: memoryview, now_us: int, reply: wire.Reply) -> None:
        code = record[0]
        if code == wire.CREATE:
            self._create(record, tail, now_us, reply)
        elif code == wire.TEARDOWN:
            self._tear_down(record)
        elif code in wire.EVENTS:
            self._handle(wire.EVENTS[code], record, tail, now_us, reply)
        else:
            raise wire.WireError(f"unknown event code {code}")

    def _create(self, record: memoryview, tail: memoryview, now_us: int, reply: wire.Reply) -> None:
        instance, seed, offset, size = wire.CREATE_LAYOUT.unpack_from(record, 1)
        text = bytes(wire.tail_slice(tail, offset, size))
        try:
            self._balancers[instance] = Balancer(parse_settings_json(text), seed, now_us)
            self._faulted.discard(instance)
        except ConfigError as error:
            self._faulted.add(instance)
            reply.add_text(wire.FAULT, instance, str(error))

    def _tear_down(self, record: memoryview) -> None:
        (instance,) = wire.TEARDOWN_LAYOUT.unpack_from(record, 1)
        if self._balancers.pop(instance, None) is None and instance not in self._faulted:
            raise wire.WireError(f"Teardown for instance {instance}, which does not exist")

    def _handle(
        self,
        event_record: wire.EventRecord,
        record: memoryview,
        tail: memoryview,
        now_us: int,
        reply: wire.Reply,
    ) -> None:
        instance, *fields = event_record.layout.unpack_from(record, 1)
        balancer = self._balancers.get(instance)
        if balancer is None:
            if instance in self._faulted:
                return
            raise wire.WireError(f"{event_record.wire_name} for instance {instance}, which does not exist")
        event = event_record.decode(tail, *fields)
        try:
            actions = balancer.handle(event, now_us)
        # The wire has a record for any fault of a balancer; the record ends the instance.
        except Exception as error:  # noqa: BLE001 - reported to the simulator
            traceback.print_exc()
            reply.add_text(wire.FAULT, instance, f"{event_record.wire_name}: {type(error).__name__}: {error}")
            return
        reply.add(instance, actions)


def _read_exactly(source: BinaryIO, size: int, position: str) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError(f"{position}: input ended after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends after a complete frame.

    Raises:
        WireError: the input is malformed or ends within a frame.
    """
    host = Host()
    frames = 0
    while first_byte := source.read(1):
        position = f"frame {frames}"
        header = first_byte + _read_exactly(source, wire.FRAME_HEADER.size - 1, position)
        length, count, now_us = wire.FRAME_HEADER.unpack(header)
        if not wire.FRAME_HEADER.size <= length <= wire.MAX_FRAME_BYTES:
            raise wire.WireError(f"{position}: length {length} is outside 16 to {wire.MAX_FRAME_BYTES}")
        body = memoryview(_read_exactly(source, length - wire.FRAME_HEADER.size, position))
        try:
            sink.write(host.answer(count, now_us, body))
        except wire.WireError as error:
            raise wire.WireError(f"{position}, {error}") from error
        sink.flush()
        frames += 1


def main() -> int:
    """Run the adapter and return its exit code: 0 at a clean end of input, 2 on malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"gannetweir: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
