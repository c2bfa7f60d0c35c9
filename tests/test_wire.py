"""The adapter's wire format: frames built by hand from the documented layouts, and malformed input."""

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from gannetweir import wire
from gannetweir.adapter import Host, serve
from gannetweir.config import parse_settings_json
from gannetweir.placement.actions import (
    Action,
    FailRequest,
    MigrateConnection,
    ProbeLoad,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionMetric,
    ConnectionResumed,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    LoadProbeResult,
    MetricKind,
    PeerMessage,
    RequestArrived,
    TimerExpired,
    UpdateKind,
)

SERVER = bytes.fromhex("0a124a07c32b")
OTHER = bytes.fromhex("0a9011f2ec2b")
SETTINGS = {
    "categories": [{"name": "a", "idempotency": "repeatable", "hard-limit-us": 1800000, "aim-us": 300000}],
    "limits": {"probes": True, "max-attempts": 3, "retry-after": True},
    "reporting": {"source": "probe", "names": ["concurrent", "x0"]},
    "registry-mode": "on_request",
    "contract": {"fall-multiple": 2.5},
    "fleet-size": 1,
    "something-new": {"x": [1, None]},
}


def record(code: int, body: str) -> bytes:
    return (bytes([code]) + bytes.fromhex(body.replace(" ", ""))).ljust(48, b"\0")


def decode(raw: bytes, tail: bytes = b"") -> Event:
    _, layout, make = wire.EVENTS[raw[0]]
    instance, *fields = layout.unpack_from(raw, 1)
    assert instance == 3
    return make(memoryview(tail), *fields)


def frame(records: list[bytes], tail: bytes = b"", now: int = 1000) -> bytes:
    body = b"".join(records) + tail
    return struct.pack("<IIQ", 16 + len(body), len(records), now) + body


def create(instance: int = 3, settings: object = SETTINGS) -> bytes:
    text = json.dumps(settings).encode()
    entry = SERVER + struct.pack("<HHHBfQ", 0, 0, 0, 1, 1.0, 0)
    first = b"\x10" + struct.pack("<HQII", instance, 77, 0, len(text))
    listed = b"\x11" + struct.pack("<HBIII", instance, 3, 41, len(text), 1)
    return frame([first.ljust(48, b"\0"), listed.ljust(48, b"\0")], text + entry)


def replies_to(*frames: bytes) -> list[tuple[int, bytes]]:
    """Return, for each reply, the number of its records and the bytes after its header."""
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(frames)), sink)
    out, data = [], sink.getvalue()
    while data:
        length, count = struct.unpack_from("<II", data)
        out.append((count, data[8:length]))
        data = data[length:]
    return out


ID = "c4913a5d18270c00"


@pytest.mark.parametrize(
    ("raw", "event"),
    [
        (
            record(18, f"0300 {ID} 00 0000 640ad2557c3bf091 80a90300 e02e0000 107cf3d901648e2b 01"),
            RequestArrived(0x0C27185D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240000, 12000, 0x2B8E6401D9F37C10, 1),
        ),
        (record(21, f"0300 {ID}"), ClientDisconnected(0x0C27185D3A91C4)),
        (record(22, "0300 4d00000000000000"), TimerExpired(0x4D)),
        (
            record(19, f"0300 {ID} 00 0a124a07c32b 22240000"),
            ConnectionEstablished(0x0C27185D3A91C4, 0, SERVER, 9250),
        ),
        (
            record(20, f"0300 {ID} 00 0a00 01 0a124a07c32b 44480000"),
            AttemptEnded(0x0C27185D3A91C4, 0, AttemptStatus.OK, 1, SERVER, 18500, ()),
        ),
        (
            record(23, "0300 0a9011f2ec2b 0a00 78050000 03 0000e040 00000c43 cdcccc3e"),
            # 0.4 in single precision
            LoadProbeResult(OTHER, AttemptStatus.OK, 1400, (7.0, 140.0, 0.4000000059604645)),
        ),
        (
            record(27, f"0300 {ID} 00 0a124a07c32b 01 0000003f"),
            ConnectionMetric(0x0C27185D3A91C4, 0, SERVER, MetricKind.LOAD, 0.5),
        ),
        (
            record(
                26, f"0300 {ID} e02e0000 80a90300 107cf3d901648e2b 640ad2557c3bf091 0200 0a9011f2ec2b 01 04"
            ),
            ConnectionResumed(
                0x0C27185D3A91C4, 12000, 240000, 0x2B8E6401D9F37C10, 0x91F03B7C55D20A64, 2, OTHER, 1, 4
            ),
        ),
    ],
)
def test_events(raw: bytes, event: Event) -> None:
    assert decode(raw) == event


def test_list_and_peer_events_are_decoded_from_the_tail() -> None:
    tail = bytes.fromhex(
        "0a124a07 c32b 0000 0000 0000 01 0000803f 0000000000000000"
        "0a9011f2 ec2b 0100 0000 0000 02 0000c03f 20145d0000000000".replace(" ", "")
    )
    event = decode(record(17, "0300 03 29000000 00000000 02000000"), tail)
    assert event == EndpointListUpdate(
        UpdateKind.CACHED,
        41,
        [
            EndpointEntry(SERVER, 0, 0, 0, EndpointStatus.READY, 1.0, 0),
            EndpointEntry(OTHER, 1, 0, 0, EndpointStatus.DRAINING, 1.5, 6100000),
        ],
    )
    assert decode(record(24, "0300 02000000 00000000 04000000"), b"hi 7") == PeerMessage(2, b"hi 7")
    with pytest.raises(wire.WireError, match="tail"):
        decode(record(24, "0300 02000000 02000000 04000000"), b"hi 7")


@pytest.mark.parametrize(
    ("action", "raw"),
    [
        (StartAttempt(0x0C27185D3A91C4, SERVER, 80000), f"10 0300 {ID} 0a124a07c32b 80380100 000000"),
        (RejectRequest(0x0C27185D3A91C4, 250000), f"11 0300 {ID} 90d00300 000000000000000000"),
        (FailRequest(0x0C27185D3A91C4), f"12 0300 {ID} 00000000000000000000000000"),
        (SetTimer(0x4D, 500000), "14 0300 4d00000000000000 20a10700 000000000000000000"),
        (ProbeLoad(OTHER), "15 0300 0a9011f2ec2b 000000000000000000000000000000"),
        (WatchEndpoints(1), "1a 0300 01 0000000000000000000000000000000000000000"),
        (MigrateConnection(0x0C27185D3A91C4), f"1c 0300 {ID} 00000000000000000000000000"),
    ],
)
def test_actions(action: Action, raw: str) -> None:
    reply = wire.Reply()
    reply.add(3, [action])
    assert reply.frame()[8:] == bytes.fromhex(raw.replace(" ", ""))
    assert len(reply.frame()) == 32


def test_texts_of_log_lines_are_stored_in_the_tail() -> None:
    reply = wire.Reply()
    reply.add(3, [WriteLog("one"), WriteLog("three")])
    data = reply.frame()
    assert data[8:19] == bytes.fromhex("18030000000000 03000000".replace(" ", ""))
    assert data[32:43] == bytes.fromhex("18030003000000 05000000".replace(" ", ""))
    assert data[56:] == b"onethree"


def test_settings_are_read_and_missing_ones_take_defaults() -> None:
    parsed = parse_settings_json(json.dumps(SETTINGS).encode())
    assert (
        parsed.polls_endpoint_list,
        parsed.load_probes_enabled,
        parsed.max_attempts,
        parsed.overload_multiple,
    ) == (
        True,
        True,
        3,
        2.5,
    )
    assert parsed.classes[0].idempotency == "repeatable"
    assert parsed.load_report_fields == ["concurrent", "x0"]
    bare = parse_settings_json(b'{"categories": [{}]}')
    assert (
        bare.load_probes_enabled,
        bare.max_attempts,
        bare.classes[0].idempotency,
        bare.polls_endpoint_list,
    ) == (
        False,
        1,
        "once",
        False,
    )


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"categories": None}, "categories"),
        ({"categories": [3]}, "categories"),
        ({"fleet-size": "many"}, "fleet-size"),
        ({"limits": 4}, "limits.probes"),
        ({"limits": {"probes": 1}}, "limits.probes"),
        ({"zone": True}, "zone"),
    ],
)
def test_a_bad_setting_is_named_in_the_fault(change: dict[str, object], named: str) -> None:
    (count, body), after = replies_to(create(settings=SETTINGS | change), frame([record(22, "0300 01")]))
    assert count == 1
    assert body[0] == wire.FAULT
    assert named.encode() in body
    assert after == (0, b"")


def test_a_request_is_answered_and_a_recreated_instance_keeps_no_state() -> None:
    request = record(18, f"0300 {ID} 00 0000 0000000000000000 80a90300 00000000 0000000000000000 00")
    probed = record(23, "0300 0a124a07c32b 0a00 78050000 02 0000e040 cdcccc3e")
    replies = replies_to(
        create(), frame([probed, request]), frame([record(25, "0300")]), create(), frame([request])
    )
    assert [body[k * 24] for count, body in replies[1:2] for k in range(count)].count(16) == 1
    assert replies[2] == (0, b"")
    assert replies[3][1] == replies[0][1]  # the same seed gives the same first actions


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame([])[:9], "frame 0: input ended"),
        (frame([record(22, "0300 01")])[:40], "input ended after"),
        (struct.pack("<IIQ", 4, 0, 0), "length 4"),
        (struct.pack("<IIQ", 1 << 31, 0, 0), "length"),
        (struct.pack("<IIQ", 16, 5, 0), "5 records"),
        (create() + frame([record(99, "0300")]), "frame 1, record 0: unknown event code 99"),
        (frame([record(22, "0900 01")]), "DeadlineHit for instance 9, which does not exist"),
        (frame([record(25, "0900")]), "Teardown for instance 9"),
    ],
)
def test_malformed_input_is_reported_in_one_line_with_a_non_zero_exit_code(data: bytes, message: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "gannetweir.adapter"],
        input=data,
        capture_output=True,
        check=False,
        cwd=Path(__file__).parent.parent,
    )
    lines = process.stderr.decode().splitlines()
    assert process.returncode != 0
    assert len(lines) == 1
    assert message in lines[0]


def test_clean_end_of_input() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "gannetweir.adapter"],
        input=create(),
        capture_output=True,
        check=False,
        cwd=Path(__file__).parent.parent,
    )
    assert process.returncode == 0
    assert process.stderr == b""
    assert process.stdout


@pytest.mark.parametrize("seed", ["0", "1", "4242"])
def test_replies_do_not_depend_on_the_hash_seed(seed: str) -> None:
    request = record(18, f"0300 {ID} 00 0000 0000000000000000 80a90300 00000000 0000000000000000 00")
    data = create() + frame([request])
    process = subprocess.run(
        [sys.executable, "-m", "gannetweir.adapter"],
        input=data,
        capture_output=True,
        check=True,
        cwd=Path(__file__).parent.parent,
        env={"PYTHONHASHSEED": seed},
    )
    sink = io.BytesIO()
    serve(io.BytesIO(data), sink)
    assert process.stdout == sink.getvalue()


def test_an_exception_in_the_balancer_is_reported_as_a_fault(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(self: Balancer, event: Event, now_us: int) -> list[Action]:
        raise IndexError("index out of range")

    host = Host()
    data = create()
    host.answer(2, 1000, memoryview(data)[16:])
    monkeypatch.setattr(Balancer, "handle", broken)
    reply = host.answer(1, 2000, memoryview(record(22, "0300 01")))
    assert reply[8] == wire.FAULT
    assert b"index out of range" in reply
    assert "Traceback" in capsys.readouterr().err
