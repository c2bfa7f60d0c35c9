"""What two processes of one relay share, and what is left of one that ended."""

from pathlib import Path

import pytest

from gannetweir.handover import Handover

BROKEN = [b"", b"{", b"[]", b'{"out":1,"back":{}}', b'{"out":["a"],"back":{"b":"x"}}', b'{"out":["a"']


def test_a_call_at_either_holds_in_both(tmp_path: Path) -> None:
    one, two = Handover(tmp_path, "n0"), Handover(tmp_path, "n0")
    one.call("a", True, 1)
    two.call("b", True, 2)
    assert one.refresh() and not one.refresh()
    assert one.hand == two.hand and one.hand.out == {"a", "b"}
    two.call("a", False, 3)
    two.call("a", False, 9)
    assert one.refresh() and one.hand.out == {"b"} and one.hand.back == {"a": 3}
    assert Handover(tmp_path, "n0").hand == one.hand  # the next one has it from its start
    assert not Handover(tmp_path, "n1").hand.out  # another relay's folder may be the same


def test_who_lives_and_what_they_hold(tmp_path: Path) -> None:
    one = Handover(tmp_path, "n0")
    assert one.look_round()
    two = Handover(tmp_path, "n0")
    two.tell_held(70)
    assert not one.look_round() and one.others_hold() == 70
    two.tell_held(71)
    assert one.others_hold() == 71
    two.close()
    assert one.others_hold() == 0 and one.look_round()


def test_what_ended_processes_left_is_cleared_away(tmp_path: Path) -> None:
    left = tmp_path / "x.gannetweir-n0.alive"
    left.write_bytes(b"\x01")
    one = Handover(tmp_path, "n0")
    assert one.look_round() and not left.exists()


@pytest.mark.parametrize("raw", BROKEN)
def test_a_half_written_set_is_no_crash_and_changes_nothing(tmp_path: Path, raw: bytes) -> None:
    one = Handover(tmp_path, "n0")
    one.call("a", True, 1)
    (tmp_path / one.out).write_bytes(raw)
    assert not one.refresh() and one.hand.out == {"a"}
    assert not Handover(tmp_path, "n0").hand.out
    one.call("b", True, 1)
    assert Handover(tmp_path, "n0").hand.out == {"a", "b"}


def test_without_a_folder_a_relay_is_alone(tmp_path: Path) -> None:
    for one in (Handover(), Handover(tmp_path / "none", "n0")):
        one.call("a", True, 1)
        assert one.hand.out == {"a"} and one.look_round() and not one.others_hold()
        one.close()
