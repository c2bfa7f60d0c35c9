"""Checks and refusal of fits, the capacity model, and the committed page against its record."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from gannetweir.lab.__main__ import main
from gannetweir.lab.scale import fanout, lists, page, run, target
from gannetweir.lab.scale.charts import draw
from gannetweir.lab.scale.flips import CONCLUSIONS, Conclusion, crossover, evaluate
from gannetweir.lab.scale.model import CapacityLoad, max_entries_per_change
from gannetweir.lab.scale.processes import backend
from gannetweir.lab.scale.record import GROUPS, Record, read_record
from gannetweir.lab.scale.role_table import role_rows
from gannetweir.lab.scale.slopes import Cost, FitRefusedError, Sample, fit
from gannetweir.lab.scale.target import Assumptions, swept_assumptions

ROOT = Path(__file__).parent.parent
COMMITTED_FOLDER = ROOT / run.RECORD_FOLDER
SIZES = (10, 20, 80, 160)


def make_cost(
    key: str, value: float | Callable[[int], float], check: float = 0.0, sizes: tuple[int, ...] = SIZES
) -> Cost:
    """Return a cost with three equal rounds of a function of the size. A check of 0 means the function's
    value.
    """

    def value_at(size: int) -> float:
        return value(size) if callable(value) else value

    samples = [Sample(size, [value_at(size)] * 3) for size in sizes]
    return Cost(key, key, "µs", "entries", samples, Sample(400, [check or value_at(400)] * 3))


def committed_record() -> Record:
    return read_record(COMMITTED_FOLDER)


def with_costs(record: Record, **costs: Cost) -> Record:
    """Return the record with some costs replaced. In a keyword, two underscores stand for the dot of a
    key.
    """
    replacements = {key.replace("__", "."): value for key, value in costs.items()}
    return Record({**record.costs, **replacements}, record.groups)


def test_fit_finds_the_line_and_predicts_larger_sizes() -> None:
    line = fit([(size, 7.0 + 0.5 * size) for size in SIZES])
    assert (line.fixed, line.per_unit) == pytest.approx((7.0, 0.5))
    # No line goes through all three points; 0.5 is the slope by least squares.
    assert fit([(0, 0.0), (1, 2.0), (2, 1.0)]).per_unit == pytest.approx(0.5)
    linear = make_cost("c", lambda n: 7.0 + 0.5 * n)
    assert not linear.refusal and linear.error == pytest.approx(0.0)
    assert linear.at(100_000) == pytest.approx(50_007.0)
    with pytest.raises(ValueError, match="two sizes"):
        fit([(5, 1.0), (5, 2.0)])


def test_one_slow_round_does_not_refuse_the_fit() -> None:
    slow = make_cost("c", lambda n: 3.0 * n)
    slow.samples[3].values[0] *= 4
    slow.check.values[1] *= 9
    assert slow.samples[3].median == 480.0 and not slow.refusal


@pytest.mark.parametrize(("off", "refused"), [(1.149, False), (0.875, False), (1.19, True), (0.8, True)])
def test_fit_with_a_prediction_error_over_15_percent_is_refused(off: float, refused: bool) -> None:
    cost = make_cost("c", lambda n: 2.0 * n, check=800.0 / off)
    assert cost.error == pytest.approx(off - 1)
    assert bool(cost.refusal) is refused
    assert cost.at(80) == 160.0 and cost.at(400) == 800.0 / off  # a measured size gives the measured value
    if refused:
        assert cost.at(50) == pytest.approx(100.0)  # interpolated between measured sizes
        for unknown in (5, 401):
            with pytest.raises(FitRefusedError, match="off by"):
                cost.at(unknown)
        with pytest.raises(FitRefusedError):
            _ = cost.accepted_line


@pytest.mark.parametrize(
    ("sizes", "reason"),
    [((25, 100, 400), "3 sizes"), ((20, 40, 80, 160), "factor of 8"), ((20, 40, 80, 800), "no larger")],
)
def test_fit_needs_four_sizes_a_16_fold_range_and_a_larger_check(sizes: tuple[int, ...], reason: str) -> None:
    assert reason in make_cost("c", lambda n: 2.0 * n, sizes=sizes).refusal


def test_list_group_measures_every_cost_it_names(monkeypatch: pytest.MonkeyPatch) -> None:
    small = replace(lists.TIME_SWEEP, sizes=(10, 20, 80, 160), check=200, rounds=2)
    monkeypatch.setattr(lists, "TIME_SWEEP", small)
    monkeypatch.setattr(lists, "MEMORY_SWEEP", replace(small, rounds=1))
    steps: list[None] = []
    measured = {cost.key: cost for cost in lists.measure(lambda: steps.append(None))}
    assert len(steps) == 15 and len(measured) == 8
    assert all(
        len(sample.values) in (1, 2) for cost in measured.values() for sample in (*cost.samples, cost.check)
    )
    assert not measured["list.wire"].refusal and measured["list.wire"].at(200) == len(
        lists.snapshot_line(200)
    )


# ---- the model


def test_crossover_is_where_the_ratio_reaches_1() -> None:
    assert crossover(lambda n: n / 1000, 100, 10_000) == pytest.approx(1000)
    assert crossover(lambda n: 1000 / n, 100, 10_000) == pytest.approx(1000)
    assert crossover(lambda n: n / 1000, 2000, 10_000) is None

    def refused(n: float) -> float:
        if n not in (100, 10_000):
            raise FitRefusedError("c")
        return n / 1000

    assert crossover(refused, 100, 10_000) is None


def test_sweep_covers_all_pairs_and_crossovers_match_the_computed_ones() -> None:
    record = committed_record()
    names = [case.name for case in swept_assumptions()]
    assert len(set(names)) == len(target.BACKENDS) * len(target.CONNECTION_LIFETIMES_S) == 9
    by_backends = evaluate(Conclusion("c", lambda load: load.assumptions.backends / 3000), record)
    assert (
        by_backends.depends_on_assumptions
        and by_backends.crossover_backends == pytest.approx(3000, abs=1)
        and by_backends.crossover_lifetime_s is None
    )
    assert list(by_backends.ratios) == names
    by_lifetime = evaluate(Conclusion("c", lambda load: 100.0 / load.assumptions.lifetime_s), record)
    assert by_lifetime.crossover_lifetime_s == pytest.approx(100.0) and by_lifetime.crossover_backends is None
    assert not evaluate(
        Conclusion("c", lambda load: load.assumptions.backends / 1e6), record
    ).depends_on_assumptions
    transfer_time = evaluate(CONCLUSIONS[0], record)
    assert transfer_time.ratios[Assumptions().name] == pytest.approx(
        CapacityLoad(record, Assumptions()).snapshot_bytes() / target.CHANGE_BYTES
    )


def test_values_that_need_a_refused_fit_are_missing() -> None:
    record = committed_record()
    assert (
        max_entries_per_change(with_costs(record, list__wire=make_cost("list.wire", lambda n: 100.0 * n)))
        == 1200
    )
    quadratic = make_cost("connection.memory.relay", lambda n: 0.001 * n * n)
    broken = with_costs(record, connection__memory__relay=quadratic)
    memory = next(
        row for row in role_rows(CapacityLoad(broken, Assumptions())) if row.source == quadratic.key
    )
    assert memory.value is None and memory.ratio is None
    page_text = page.render(broken)
    assert "| resident memory | - |" in page_text
    assert quadratic.key in page_text.split("Refused: ")[1].split("What follows")[0]
    unknown = Conclusion("c", lambda load: quadratic.at(load.assumptions.backends))
    assert set(evaluate(unknown, record).ratios.values()) == {None}


def test_fewest_processes_that_carry_a_relay_machine() -> None:
    load = CapacityLoad(committed_record(), Assumptions())
    count = load.processes()
    assert count is not None

    def used(processes: int) -> float:
        per_process = load.control_cores(processes) + load.delivery_cores(processes)
        return (per_process + load.setup_cores()) / processes

    assert used(count) <= load.assumptions.max_utilisation < used(count - 1)
    unsorted = load.processes(sorted_order=False)
    assert unsorted is not None and unsorted <= count
    # The fixed cost of a process alone exceeds its share of a core.
    lines = make_cost("line.push.relay", lambda n: 900_000.0 + n)
    assert CapacityLoad(with_costs(load.record, line__push__relay=lines), Assumptions()).processes() is None


def test_every_load_names_sources_in_the_record() -> None:
    record = committed_record()
    assert set(record.groups) == set(GROUPS)
    for row in role_rows(CapacityLoad(record, Assumptions())):
        for source in row.source.split(", "):
            assert source in record.costs or source.startswith(("told", "processes", "-")), source


# ---- the page


def test_committed_page_and_charts_match_the_record() -> None:
    record = committed_record()
    assert (ROOT / run.PAGE).read_text() == page.render(record)
    charts = draw(record)
    assert {path.name for path in COMMITTED_FOLDER.glob("*.svg")} == set(charts)
    for name, svg in charts.items():
        assert (COMMITTED_FOLDER / name).read_text() == svg, name


def test_command_regenerates_the_page_and_rejects_unknown_groups(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["capacity", "--page", "--keep", str(tmp_path)]) == 2  # there is no record yet
    committed_record().save(tmp_path)
    assert main(["capacity", "--page", "--keep", str(tmp_path)]) == 0
    assert (tmp_path / "CAPACITY.md").read_text() == (ROOT / run.PAGE).read_text()
    assert main(["capacity", "--only", "lists,nonsense"]) == 2
    assert "nonsense: not one of lists, decisions" in capsys.readouterr().err


def test_measured_load_probes_are_answered() -> None:
    with backend() as port:
        assert asyncio.run(fanout._measure_probes(port, 3)) > 0.0
