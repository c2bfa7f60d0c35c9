"""The files that two processes of one relay share, and the files that an ended process left behind."""

import contextlib
import errno
import fcntl
import os
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import ParamSpec, TypeVar

import pytest

from gannetweir.process_handover.handover import Handover

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")

# File names of a relay named n0, which processes of other releases of this program use as well.
OVERRIDE_FILE = "gannetweir-n0.out"
LOCK_FILE = "gannetweir-n0.lock"
LIVENESS_FILES = "*.gannetweir-n0.alive"

MALFORMED_FILES = {
    "empty": b"",
    "cut short in the object": b"{",
    "a list": b"[]",
    "offline is a number": b'{"out":1,"back":{}}',
    "a time is a string": b'{"out":["a"],"back":{"b":"x"}}',
    "cut short after a part": b'{"out":["a"]',
}


def failing_first(
    call: Callable[Parameters, Result], error: int, times: int = 1
) -> Callable[Parameters, Result]:
    """Return a call that raises `OSError` the first `times` times and works afterwards."""
    failures = [error] * times

    def wrapped(*args: Parameters.args, **named: Parameters.kwargs) -> Result:
        if failures:
            code = failures.pop()
            raise OSError(code, os.strerror(code))
        return call(*args, **named)

    return wrapped


@contextlib.contextmanager
def locked(path: Path) -> Iterator[None]:
    """Hold the lock of a file, as another process would."""
    with path.open("r+b") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def test_an_override_set_by_either_process_holds_in_both(tmp_path: Path) -> None:
    one, two = Handover(tmp_path, "n0"), Handover(tmp_path, "n0")
    one.set_override("a", True, 1)
    two.set_override("b", True, 2)
    assert one.refresh_overrides()
    assert not one.refresh_overrides()
    assert one.overrides == two.overrides
    assert one.overrides.offline == {"a", "b"}
    two.set_override("a", False, 3)
    two.set_override("a", False, 9)
    assert one.refresh_overrides()
    assert one.overrides.offline == {"b"}
    assert one.overrides.online_since == {"a": 3}
    # A new process reads the overrides at its start.
    assert Handover(tmp_path, "n0").overrides == one.overrides
    assert not Handover(tmp_path, "n1").overrides.offline  # another relay may use the same folder


def test_files_of_earlier_releases_are_read_and_written_in_the_same_form(tmp_path: Path) -> None:
    (tmp_path / OVERRIDE_FILE).write_bytes(b'{"out":["a","b"],"back":{"c":12345678}}')
    (tmp_path / LOCK_FILE).write_bytes(b"")
    peer_file = tmp_path / "tmpk3x0_q9z.gannetweir-n0.alive"
    peer_file.write_bytes(b"\x46\x00\x00\x00")
    with locked(peer_file):
        one = Handover(tmp_path, "n0")
        assert one.overrides.offline == {"a", "b"}
        assert one.overrides.online_since == {"c": 12345678}
        assert one.peers == [peer_file]
        assert one.count_peer_descriptors() == 70
        (own_file,) = set(tmp_path.glob(LIVENESS_FILES)) - {peer_file}
        assert own_file.read_bytes() == b"\x00\x00\x00\x00"
        one.report_descriptor_count(258)
        assert own_file.read_bytes() == b"\x02\x01\x00\x00"
        one.set_override("a", False, 23456789)
    assert (tmp_path / OVERRIDE_FILE).read_bytes() == b'{"out":["b"],"back":{"c":12345678,"a":23456789}}'
    assert (tmp_path / LOCK_FILE).read_bytes() == b""
    one.close()
    assert {path.name for path in tmp_path.iterdir()} == {OVERRIDE_FILE, LOCK_FILE, peer_file.name}


def test_processes_know_their_living_peers_and_the_descriptors_of_those(tmp_path: Path) -> None:
    one = Handover(tmp_path, "n0")
    assert one.refresh_peers()
    two = Handover(tmp_path, "n0")
    two.report_descriptor_count(70)
    assert not one.refresh_peers()
    assert one.count_peer_descriptors() == 70
    two.report_descriptor_count(71)
    assert one.count_peer_descriptors() == 71
    two.close()
    assert one.count_peer_descriptors() == 0
    assert one.refresh_peers()


def test_what_ended_processes_left_is_removed(tmp_path: Path) -> None:
    abandoned = tmp_path / "x.gannetweir-n0.alive"
    abandoned.write_bytes(b"\x01")
    one = Handover(tmp_path, "n0")
    assert one.refresh_peers()
    assert not abandoned.exists()


@pytest.mark.parametrize("content", MALFORMED_FILES.values(), ids=MALFORMED_FILES.keys())
def test_a_malformed_file_of_overrides_changes_nothing(tmp_path: Path, content: bytes) -> None:
    one = Handover(tmp_path, "n0")
    one.set_override("a", True, 1)
    (tmp_path / OVERRIDE_FILE).write_bytes(content)
    assert not one.refresh_overrides()
    assert one.overrides.offline == {"a"}
    assert not Handover(tmp_path, "n0").overrides.offline
    one.set_override("b", True, 1)
    assert Handover(tmp_path, "n0").overrides.offline == {"a", "b"}


def test_without_a_usable_folder_a_process_is_alone(tmp_path: Path) -> None:
    for one in (Handover(), Handover(tmp_path / "none", "n0")):
        one.set_override("a", True, 1)
        assert one.overrides.offline == {"a"}
        assert one.refresh_peers()
        assert not one.count_peer_descriptors()
        one.close()


def test_a_folder_that_fails_for_a_moment_loses_no_override_and_no_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Handover(tmp_path, "n0")
    first.set_override("a", True, 1)
    for name, owner in (("mkstemp", tempfile), ("write", os), ("rename", os)):
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, failing_first(getattr(owner, name), errno.ENOSPC))
            one = Handover(tmp_path, "n0")  # its first attempt to write a liveness file fails
            assert one.overrides.offline == {"a"}, name
            one.refresh_peers()
            assert not first.refresh_peers(), name
            one.close()
    assert first.refresh_peers()


@pytest.mark.parametrize("name", ["fsync", "replace"])
def test_an_override_that_can_not_be_written_changes_nothing_and_the_next_one_is_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    one = Handover(tmp_path, "n0")
    monkeypatch.setattr(os, name, failing_first(getattr(os, name), errno.EIO))
    with pytest.raises(OSError, match=os.strerror(errno.EIO)):
        one.set_override("a", True, 1)
    assert not one.overrides.offline
    assert not Handover(tmp_path, "n0").overrides.offline
    one.set_override("a", True, 1)
    assert one.overrides.offline == Handover(tmp_path, "n0").overrides.offline == {"a"}


def test_a_process_whose_file_can_not_be_opened_is_not_taken_for_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = Handover(tmp_path, "n0")
    one_files = set(tmp_path.glob(LIVENESS_FILES))
    _two = Handover(tmp_path, "n0")
    monkeypatch.setattr(os, "open", failing_first(os.open, errno.EMFILE))
    assert not one.refresh_peers()
    assert set(one.peers) == set(tmp_path.glob(LIVENESS_FILES)) - one_files
    assert len(one.peers) == 1


def test_a_kill_in_a_write_leaves_no_more_than_one_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = Handover(tmp_path, "n0")
    one.set_override("a", True, 1)

    class KilledError(BaseException):
        """Simulates SIGKILL: no handler catches this error, so nothing is cleaned up."""

    def kill(*_: object) -> None:
        raise KilledError

    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", kill)
        for endpoint_id in "bcd":
            with pytest.raises(KilledError):
                one.set_override(endpoint_id, True, 1)
    assert len(list(tmp_path.glob("*.part"))) <= 1
    assert Handover(tmp_path, "n0").overrides.offline == {"a"}


def test_an_override_is_refused_while_another_process_keeps_the_lock(tmp_path: Path) -> None:
    one = Handover(tmp_path, "n0")
    (tmp_path / LOCK_FILE).touch()
    with locked(tmp_path / LOCK_FILE), pytest.raises(BlockingIOError) as refused:
        one.set_override("a", True, 1)
    assert refused.value.strerror == os.strerror(errno.EAGAIN)  # the text that operators receive
    one.set_override("a", True, 1)
    assert one.overrides.offline == {"a"}


def test_a_process_whose_file_can_not_be_removed_still_counts_as_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = Handover(tmp_path, "n0")
    monkeypatch.setattr(Path, "unlink", failing_first(Path.unlink, errno.EIO))
    one.close()
    assert Handover(tmp_path, "n0").refresh_peers()


def test_overrides_that_can_not_be_read_at_the_start_are_read_before_anything_is_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    Handover(tmp_path, "n0").set_override("a", True, 1)
    owners: dict[str, object] = {"stat": os, "read_bytes": Path}
    for name, owner in owners.items():
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, failing_first(getattr(owner, name), errno.EIO, 3))
            assert Handover(tmp_path, "n0").overrides.offline == {"a"}, name
