"""What two processes of one relay share, and what is left of one that ended."""

import errno
import fcntl
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from gannetweir.process_handover.handover import Handover

BROKEN = [b"", b"{", b"[]", b'{"out":1,"back":{}}', b'{"out":["a"],"back":{"b":"x"}}', b'{"out":["a"']


def test_a_call_at_either_holds_in_both(tmp_path: Path) -> None:
    one, two = Handover(tmp_path, "n0"), Handover(tmp_path, "n0")
    one.set_override("a", True, 1)
    two.set_override("b", True, 2)
    assert one.refresh_overrides() and not one.refresh_overrides()
    assert one.overrides == two.overrides and one.overrides.offline == {"a", "b"}
    two.set_override("a", False, 3)
    two.set_override("a", False, 9)
    assert (
        one.refresh_overrides() and one.overrides.offline == {"b"} and one.overrides.online_since == {"a": 3}
    )
    assert Handover(tmp_path, "n0").overrides == one.overrides  # the next one has it from its start
    assert not Handover(tmp_path, "n1").overrides.offline  # another relay's folder may be the same


def test_who_lives_and_what_they_hold(tmp_path: Path) -> None:
    one = Handover(tmp_path, "n0")
    assert one.refresh_peers()
    two = Handover(tmp_path, "n0")
    two.report_descriptor_count(70)
    assert not one.refresh_peers() and one.count_peer_descriptors() == 70
    two.report_descriptor_count(71)
    assert one.count_peer_descriptors() == 71
    two.close()
    assert one.count_peer_descriptors() == 0 and one.refresh_peers()


def test_what_ended_processes_left_is_cleared_away(tmp_path: Path) -> None:
    left = tmp_path / "x.gannetweir-n0.alive"
    left.write_bytes(b"\x01")
    one = Handover(tmp_path, "n0")
    assert one.refresh_peers() and not left.exists()


@pytest.mark.parametrize("raw", BROKEN)
def test_a_half_written_set_is_no_crash_and_changes_nothing(tmp_path: Path, raw: bytes) -> None:
    one = Handover(tmp_path, "n0")
    one.set_override("a", True, 1)
    (tmp_path / one.override_file_name).write_bytes(raw)
    assert not one.refresh_overrides() and one.overrides.offline == {"a"}
    assert not Handover(tmp_path, "n0").overrides.offline
    one.set_override("b", True, 1)
    assert Handover(tmp_path, "n0").overrides.offline == {"a", "b"}


def test_without_a_folder_a_relay_is_alone(tmp_path: Path) -> None:
    for one in (Handover(), Handover(tmp_path / "none", "n0")):
        one.set_override("a", True, 1)
        assert one.overrides.offline == {"a"} and one.refresh_peers() and not one.count_peer_descriptors()
        one.close()


def failing(call: Callable[..., Any], error: int, times: int = 1) -> Callable[..., Any]:
    """A call that fails so many times, then works."""
    left = [error] * times

    def wrapped(*args: Any, **named: Any) -> Any:
        if left:
            code = left.pop()
            raise OSError(code, os.strerror(code))
        return call(*args, **named)

    return wrapped


def test_a_folder_that_fails_for_a_moment_keeps_what_was_taken_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Handover(tmp_path, "n0")
    first.set_override("a", True, 1)
    for name, owner in (("mkstemp", tempfile), ("write", os), ("rename", os)):
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, failing(getattr(owner, name), errno.ENOSPC))
            one = Handover(tmp_path, "n0")  # it can't say that it lives
            assert one.overrides.offline == {"a"}, name  # and still knows what is out
            one.refresh_peers()
            assert not first.refresh_peers(), name  # and says so once it can
            one.close()
    assert first.refresh_peers()


@pytest.mark.parametrize("name", ["fsync", "replace"])
def test_a_call_that_can_not_be_kept_changes_nothing_and_the_next_one_is(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    one = Handover(tmp_path, "n0")
    monkeypatch.setattr(os, name, failing(getattr(os, name), errno.EIO))
    with pytest.raises(OSError):
        one.set_override("a", True, 1)
    assert not one.overrides.offline and not Handover(tmp_path, "n0").overrides.offline
    one.set_override("a", True, 1)
    assert one.overrides.offline == Handover(tmp_path, "n0").overrides.offline == {"a"}


def test_a_process_that_can_not_be_looked_at_is_not_taken_for_dead(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one, two = Handover(tmp_path, "n0"), Handover(tmp_path, "n0")
    assert two.liveness_file is not None
    monkeypatch.setattr(os, "open", failing(os.open, errno.EMFILE))
    assert not one.refresh_peers() and one.peers == [two.liveness_file]


def test_a_kill_in_a_write_leaves_no_more_than_one_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = Handover(tmp_path, "n0")
    one.set_override("a", True, 1)

    class KilledError(BaseException):
        """As a SIGKILL: nothing is cleared away."""

    def killed(*_: object) -> None:
        raise KilledError

    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", killed)
        for server in "bcd":
            with pytest.raises(KilledError):
                one.set_override(server, True, 1)
    assert len(list(tmp_path.glob("*.part"))) <= 1
    assert Handover(tmp_path, "n0").overrides.offline == {"a"}


def test_a_lock_that_another_process_holds_refuses_the_call(tmp_path: Path) -> None:
    one = Handover(tmp_path, "n0")
    with (tmp_path / one.lock_file_name).open("w") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        with pytest.raises(BlockingIOError):
            one.set_override("a", True, 1)
    one.set_override("a", True, 1)
    assert one.overrides.offline == {"a"}


def test_an_end_that_can_not_clear_away_is_an_end(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    one = Handover(tmp_path, "n0")
    monkeypatch.setattr(Path, "unlink", failing(Path.unlink, errno.EIO))
    one.close()
    assert Handover(tmp_path, "n0").refresh_peers()


def test_a_set_that_can_not_be_read_at_the_start_is_read_before_anything_is_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    Handover(tmp_path, "n0").set_override("a", True, 1)
    for name in ("stat", "read_bytes"):
        owner: Any = os if name == "stat" else Path
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, failing(getattr(owner, name), errno.EIO, 3))
            assert Handover(tmp_path, "n0").overrides.offline == {"a"}, name
