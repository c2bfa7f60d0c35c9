"""Tests of the size of the placement modules, and of the time limits of a drain."""

from pathlib import Path

import pytest

from gannetweir.limits import Limits

PLACEMENT = Path(__file__).parent.parent / "gannetweir" / "placement"


@pytest.mark.parametrize("module", sorted(PLACEMENT.glob("*.py")), ids=lambda module: module.stem)
def test_placement_modules_stay_within_the_size_limit(module: Path) -> None:
    lines = module.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= (150 if module.name == "balancer.py" else 250)
    assert max(map(len, lines)) <= 110


@pytest.mark.parametrize("deadline_ms", [20, 100, 300, 700, 900, 1_200, 2_000, 3_000, 9_000, 3_600_000])
def test_a_drain_is_over_before_the_platform_kills(deadline_ms: int) -> None:
    limits = Limits().with_drain_before_kill(deadline_ms * 1000)
    kill_us = min(deadline_ms * 1000, 3_000_000) + 700_000
    assert limits.drain_end_us + limits.linger_us <= kill_us - 100_000
    assert limits.linger_us > 100_000
    assert limits.drain_migration_us >= 0
    assert limits.drain_end_us > 300_000
    if limits.drain_migration_us:  # the last migrations are sent before the end of the drain
        assert limits.drain_grace_us + limits.drain_migration_us < limits.drain_end_us
