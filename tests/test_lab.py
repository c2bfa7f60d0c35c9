"""The lab's tools: strict parsing of experiments, stored results, and comparisons that allow for noise."""

import contextlib
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import orjson
import pytest

from gannetweir.cli import main
from gannetweir.lab.__main__ import RENAMED_COMMANDS
from gannetweir.lab.__main__ import main as lab
from gannetweir.lab.experiments import address_faults, fleet_simulation
from gannetweir.lab.experiments.experiment_run import ExperimentError, ExperimentRun, parse_experiment
from gannetweir.lab.experiments.results import compare, write_results
from gannetweir.lab.model.plan import Traffic, WorldPlan
from gannetweir.lab.model.world import World

ROOT = Path(__file__).parent.parent
LOOP_DELAY_LIMIT_MS = 100.0  # on a machine with idle cores the event loop is never this late
SMALL = """experiment "small" {
    relays 1
    nodes 2
    capacity 500
    base 50
    families "unix" "ipv4"
    rate 40
    seconds 3
    life "200ms"
    seeds 1
    variant "good" {
    }
    variant "refused" {
        at "500ms" fault="refuse" family="unix" until="2s"
        at "1s" drain="b2"
    }
}
"""


def test_experiment_in_the_repository_parses() -> None:
    experiment = parse_experiment((ROOT / "experiments/paths.kdl").read_text())
    assert len(experiment.variants) == 5 and experiment.plan.families == ("unix", "ipv6", "ipv4")


def test_sweep_multiplies_variants_by_values() -> None:
    experiment = parse_experiment(SMALL.replace("seeds 1", 'seeds 1\n    sweep "rate" 20 40.5'))
    variant_names = ["good, rate 20", "good, rate 40.5", "refused, rate 20", "refused, rate 40.5"]
    assert list(experiment.variants) == variant_names
    assert [experiment.with_swept_value(v).arrivals_per_s for v in experiment.variants] == [
        20,
        40.5,
        20,
        40.5,
    ]
    experiment = parse_experiment(SMALL.replace("seeds 1", 'seeds 1\n    sweep "nodes" 2 12'))
    assert [experiment.with_swept_value(v).plan.backends for v in experiment.variants] == [2, 12, 2, 12]
    with pytest.raises(ExperimentError, match="line 11: sweep"):
        parse_experiment(SMALL.replace("seeds 1", 'seeds 1\n    sweep "nodes" 2 1200'))


@pytest.mark.parametrize(
    ("old", "new", "expected_error"),
    [
        ("rate 40", "rate 4000", "line 7: rate"),
        ("seconds 3", "seconds 0", "line 8: seconds"),
        ('"unix" "ipv4"', '"unix" "ipv5"', "line 6: families"),
        ("nodes 2", 'nodes "x"', "line 3: nodes"),
        ('fault="refuse"', 'fault="flood"', "line 14: fault"),
        ('"500ms"', "500", "line 14"),
        ("drain=", "drown=", "line 15: at TIME"),
        ("seeds 1", "seeds 1.5", "line 10: seeds"),
        ("experiment", "experimnet", "experiment"),
        ("}\n}", "}", "line"),
        ("relays 1", "relais 1", "line 2: relais"),
    ],
)
def test_parse_error_names_the_line(old: str, new: str, expected_error: str) -> None:
    with pytest.raises(ExperimentError, match=expected_error):
        parse_experiment(SMALL.replace(old, new, 1))


def test_an_experiment_is_played_and_kept(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "small.kdl"
    file.write_text(SMALL)
    assert lab(["run", str(file), "--keep", str(tmp_path / "out")]) == 0
    data = orjson.loads((tmp_path / "out/results.json").read_bytes())
    assert [run["variant"] for run in data["runs"]] == ["good", "refused"]
    for run in data["runs"]:
        # On an overloaded machine a relay can exceed the connect timeout of 250 ms, count the attempt as
        # failed, and reject more requests while most attempts fail. So a smaller served share is accepted
        # only if attempts failed and the emulator's own event loop was late. Requests that were not served
        # must equal the relay's own counts of rejected and failed. The next test serves the same load on
        # virtual time.
        counts, figures = run["counts"], run["figures"]
        assert figures["rules broken"] == 0
        overloaded = figures["stand-ins late, ms"] > LOOP_DELAY_LIMIT_MS
        assert figures["served"] > 0.9 or (overloaded and counts["attempts failed"] > 0)
        assert (counts.get("busy", 0), counts.get("err", 0)) == (counts["rejected"], counts["failed"])
        assert sum(run["paths"]["unix"]) + sum(run["paths"]["ipv4"]) > 50
    good, refused = (sum(run["paths"]["ipv4"]) for run in data["runs"])
    # The relay ranks an address lower if it measured a much longer connect time, which can happen on a busy
    # machine, and it counts each preferred address that it passes over. There is no other reason to use IPv4.
    # tests/test_emulator.py tests this with a manual clock.
    assert good <= data["runs"][0]["counts"]["passed over"] and good < refused
    page = (tmp_path / "out/index.html").read_text()
    assert page.count("<svg") == 4 and "http://" not in page.replace("http://www.w3.org", "")
    assert "| refused |" in (tmp_path / "out/README.md").read_text()
    assert main(["lab", "compare", str(tmp_path / "out"), str(tmp_path / "out")]) == 0
    assert lab(["run", str(tmp_path / "none.kdl")]) == 2 and lab(["dance"]) == 2
    capsys.readouterr()


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("variant", ["good", "refused"])
def test_same_load_is_served_completely_on_virtual_time(variant: str, seed: int) -> None:
    """On virtual time the machine's load has no influence: no attempt fails, and no request is rejected."""
    traffic_classes = tuple(Traffic(share, 200_000.0) for share in (0.36, 0.34, 0.15, 0.15))
    plan = WorldPlan(
        seed,
        relays=1,
        backends=2,
        arrivals_per_s=40,
        capacity=500 / 0.6,
        store_calls_per_s=2000,
        addresses_per_backend=3,
        traffic=traffic_classes,
    )
    world = World(plan)

    for backend in world.backends.values():
        backend.open_connections = 50  # the experiment's `base`, connections that are not part of the load

    def set_unix_fault(fault: str) -> None:
        for backend in world.backends.values():
            backend.address_faults[list(backend.address_faults)[-1]] = fault

    def drain() -> None:
        world.backends["b1"].is_draining = True
        world.announce([world.backends["b1"]])

    if variant == "refused":
        for seconds, call in (
            (0.5, lambda: set_unix_fault("refuse")),
            (1.0, drain),
            (2.0, lambda: set_unix_fault("")),
        ):
            world.schedule(seconds, call)
    counts = world.run(3).counts
    assert not world.checker.violations and counts["first"] > 80
    assert counts["up"] == counts["first"] + counts["again"] == counts["sent"]


@pytest.mark.parametrize(("old_name", "new_name"), RENAMED_COMMANDS.items())
def test_renamed_command_runs_and_prints_its_current_name(
    old_name: str,
    new_name: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(fleet_simulation, "fleet_table", lambda _: [["kill", *"0" * 8]])
    monkeypatch.setattr(address_faults, "emulate_cases", lambda _: [["nothing", *"0" * 8]])
    monkeypatch.setattr(address_faults, "simulate_scenarios", lambda _: Counter({"days": 1}))
    rest = ["none.kdl"] if old_name == "hollow" else ["--seeds", "1"]

    codes, printed = [], []
    for command in (old_name, new_name):
        codes.append(lab([command, *rest]))
        printed.append(capsys.readouterr())

    assert codes[0] == codes[1] == (2 if old_name == "hollow" else 0)
    assert printed[0].out == printed[1].out
    assert printed[0].err == f"lab: {old_name} is now called {new_name}\n" + printed[1].err


def test_an_unreadable_file_of_budgets_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    missing = tmp_path / "none.kdl"
    assert lab(["budgets", "--file", str(missing)]) == 2
    error = capsys.readouterr().err
    assert error.startswith("lab: ") and str(missing) in error
    assert error.count("\n") == 1


def test_compare_ignores_noise(tmp_path: Path) -> None:
    def write_folder(name: str, values: list[float]) -> Path:
        runs = [ExperimentRun("v", n, {"p99, ms": value}, {}, []) for n, value in enumerate(values)]
        write_results(parse_experiment(SMALL), runs, tmp_path / name)
        return tmp_path / name

    base = write_folder("a", [10.0, 11.0, 9.0])
    assert [row[-1] for row in compare(base, write_folder("b", [10.5, 9.5, 11.5]))] == ["within noise"]
    assert [row[-1] for row in compare(base, write_folder("c", [20.0, 21.0, 19.0]))] == ["differs"]
    assert "cannot tell" in compare(base, write_folder("d", [20.0]))[0][-1]


def test_demo_ends_and_breaks_no_rule(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["demo", "--seconds", "6"]) == 0
    out = capsys.readouterr().out
    assert "b2 drains" in out and "rules broken" in out
    assert main(["demo", "--seconds", "x"]) == 2


def test_serving_imports_neither_the_lab_nor_disabled_features() -> None:
    code = (
        "import sys, gannetweir.cli, gannetweir.net.relay as r\n"
        "off = ('gannetweir.lab', 'gannetweir.addresses', 'gannetweir.routing', 'gannetweir.explain', 'ckdl',"
        " 'pygal', 'hdrh', 'gannetweir.net.dialer')\n"
        "bad = [m for m in sys.modules if m.startswith(off)]\n"
        "assert not bad, bad\n"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=60)


def child_processes(pid: int) -> set[int]:
    """Return the ids of the child processes of a process, from /proc."""
    found = set()
    for stat in Path("/proc").glob("[0-9]*/stat"):
        with contextlib.suppress(OSError):
            fields = stat.read_text().rpartition(")")[2].split()
            if int(fields[1]) == pid:
                found.add(int(stat.parent.name))
    return found


def test_ctrl_c_ends_all_processes() -> None:
    command = [sys.executable, "-u", "-m", "gannetweir", "demo", "--seconds", "15"]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT) as demo:
        assert demo.stdout is not None
        while b"silent" not in (line := demo.stdout.readline()):  # all processes run at the first fault
            assert line
        started = child_processes(demo.pid)
        assert len(started) == 2
        demo.send_signal(signal.SIGINT)
        rest = demo.stdout.read()
        assert demo.wait(timeout=20) == 130, rest
    assert not any((Path("/proc") / str(pid)).exists() for pid in started)
