"""Tests that each operator's call is answered with one line, however its bytes arrive."""

import pytest

from gannetweir.limits import Limits
from gannetweir.proto.admin import AdminCall, AdminCallError


class StubOperations:
    def health(self) -> str:
        raise AdminCallError("starting")

    def offline(self, endpoint: str) -> str:
        return f"{endpoint} out"

    def online(self, endpoint: str) -> str:
        return f"{endpoint} in use"


@pytest.mark.parametrize(
    ("raw", "answer"),
    [
        (b"HEALTH\r\n", b"fail starting\r\n"),
        (b"OFFLINE s-1\r\n", b"ok s-1 out\r\n"),
        (b"ONLINE s-1\n", b"ok s-1 in use\r\n"),
        (b"ONLINE s-1\r\nHEALTH\r\n", b"ok s-1 in use\r\n"),
        (b"ONLINE s-1", b""),
        (b"HEALTH now\r\n", b"fail "),
        (b"OFFLINE\r\n", b"fail "),
        (b"OFFLINE a b\r\n", b"fail "),
        (b"health\r\n", b"fail "),
        (b"\xff\x00\r\n", b"fail "),
        (b"\r\n", b"fail "),
        (b"x" * 5000, b"fail line too long\r\n"),
    ],
)
@pytest.mark.parametrize("step", [1, 3, 9999])
def test_a_call_is_answered_with_one_line(raw: bytes, answer: bytes, step: int) -> None:
    call, received = AdminCall(Limits()), b""
    for start in range(0, len(raw), step):
        received = received or call.feed(raw[start : start + step], StubOperations())
    assert received.startswith(answer)
    assert bool(received) == bool(answer)
    assert received.count(b"\r\n") == bool(answer)
