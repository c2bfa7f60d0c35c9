"""Experiments on the emulator, written in KDL: the fleet, its load, and variants with timed events.

    experiment "one path of three" {
        relays 1; nodes 4; families "unix" "ipv6" "ipv4"
        rate 100; seconds 15; life "1s"; seeds 1 2 3
        sweep "rate" 50 100          // or "nodes", "relays": runs each variant with each value
        variant "good" {
        }
        variant "hole" {
            at "3s" fault="hole" family="unix" until="9s"
            at "5s" drain="b2"
            at "8s" restart="b1"
            at "9s" kill=0              // or term=0 for SIGTERM; the relay is restarted
        }
    }

All random draws come from the seed. Real sockets are not deterministic, so figures differ a little between
runs of the same seed.
"""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import anyio
from hdrh.histogram import HdrHistogram

from gannetweir.addresses.address import FAMILIES
from gannetweir.config.kdl import KdlError, Node, parse_document
from gannetweir.config.kdl_values import parse_duration_us
from gannetweir.lab.emulator.address_listener import FAULTS
from gannetweir.lab.emulator.emulator import Emulator
from gannetweir.lab.emulator.plan import EmulatorPlan
from gannetweir.lab.emulator.script import Script, ScriptedEvent, run_script

FAULT_DESCRIPTIONS = {
    "": "recovers",
    "refuse": "refuses",
    "hole": "is a black hole",
    "stall": "goes silent",
    "reset": "resets every connection",
    "slow": "is slow",
}
# The relays' counters that are added up under each name in a run's counts.
RELAY_COUNTERS = {
    "passed over": ("addresses.bypassed",),
    "rejected": ("rejected",),
    "failed": ("failed",),
    "attempts failed": ("attempts.connect_failed", "attempts.timeout", "attempts.reset", "attempts.error"),
}
SWEEPABLE = "rate", "nodes", "relays"
MAX_SECONDS, MAX_ARRIVALS_PER_S, MAX_BACKENDS, MAX_RELAYS, MAX_RUNS = 300.0, 500.0, 1024, 1024, 50


class ExperimentError(ValueError):
    """An error in an experiment's file; the message names the line where there is one."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """A parsed experiment."""

    name: str
    plan: EmulatorPlan
    arrivals_per_s: float
    seconds: float
    mean_duration_s: float
    seeds: tuple[int, ...]
    variants: dict[str, list[dict[str, Any]]]
    # The swept setting and its values. The name of each variant includes its value.
    sweep: tuple[str, tuple[float, ...]] = ("", ())

    def with_swept_value(self, variant: str) -> Experiment:
        """Return the experiment with the swept setting at the value in the variant's name."""
        name, values = self.sweep
        value = next((v for v in values if variant.endswith(f", {name} {v:g}")), None)
        if value is None:
            return self
        if name == "rate":
            return replace(self, arrivals_per_s=value)
        plan, count = self.plan, int(value)
        swept = replace(plan, backends=count) if name == "nodes" else replace(plan, relays=count)
        return replace(self, plan=swept)


@dataclass(slots=True)
class ExperimentRun:
    """The results of a run. Times are in milliseconds since the request was due."""

    variant: str
    seed: int
    figures: dict[str, float]
    counts: dict[str, int]
    broken: list[str]
    line: list[tuple[float, float, float]] = field(default_factory=list)  # second, served, p99
    paths: dict[str, list[int]] = field(default_factory=dict)  # first lines a second, by family


def _number(node: Node, raw_value: Any, convert: Callable[[Any], Any], maximum: float) -> Any:
    """Return the converted value. Raises `ExperimentError` unless it is over 0 and at most `maximum`."""
    try:
        value = convert(raw_value)
    except (TypeError, ValueError) as error:
        raise ExperimentError(f"line {node.line}: {node.name}: {error}") from None
    if not 0 < value <= maximum:
        raise ExperimentError(
            f"line {node.line}: {node.name}: found {value:g}, expected over 0 and at most {maximum:g}"
        )
    return value


def parse_experiment(text: str, base: Path | None = None) -> Experiment:
    """Parse an experiment. The path of its operators' file is relative to `base`.

    Raises `ExperimentError`, which names the line, and `OSError` if the operators' file cannot be read.
    """
    try:
        nodes = parse_document(text)
    except KdlError as error:
        raise ExperimentError(f"line {error.line}: {error}") from None
    if len(nodes) != 1 or nodes[0].name != "experiment" or len(nodes[0].arguments) != 1:
        raise ExperimentError('expected one `experiment "NAME" { … }`')
    options: dict[str, Any] = {
        "relays": 1,
        "nodes": 4,
        "base": 0,
        "capacity": 400,
        "rate": 50.0,
        "seconds": 10.0,
        "life": 1.0,
    }
    families: tuple[str, ...] = ("ipv4",)
    seeds: tuple[int, ...] = (1,)
    variants: dict[str, list[dict[str, Any]]] = {}
    operators = ""
    sweep: tuple[str, tuple[float, ...]] = ("", ())
    numbers: dict[str, tuple[Callable[[Any], Any], float]] = {
        "relays": (int, MAX_RELAYS),
        "nodes": (int, MAX_BACKENDS),
        "base": (int, 1e6),
        "capacity": (int, 1e6),
        "rate": (float, MAX_ARRIVALS_PER_S),
        "seconds": (float, MAX_SECONDS),
        "life": (lambda v: parse_duration_us(v) / 1e6, MAX_SECONDS),
    }
    for node in nodes[0].children:
        if node.name in numbers:
            options[node.name] = _number(
                node, node.arguments[0] if len(node.arguments) == 1 else "", *numbers[node.name]
            )
        elif node.name == "families" and node.arguments and set(node.arguments) <= set(FAMILIES):
            families = tuple(node.arguments)
        elif node.name == "seeds" and node.arguments and all(type(seed) is int for seed in node.arguments):
            seeds = tuple(node.arguments)
        elif node.name == "operators" and len(node.arguments) == 1:
            operators = ((base or Path()) / str(node.arguments[0])).read_text()
        elif node.name == "sweep" and len(node.arguments) > 1 and node.arguments[0] in SWEEPABLE:
            name, *values = node.arguments
            sweep = str(name), tuple(_number(node, value, *numbers[str(name)]) for value in values)
        elif node.name == "variant" and len(node.arguments) == 1:
            variants[str(node.arguments[0])] = [_read_step(child) for child in node.children]
        else:
            raise ExperimentError(f"line {node.line}: {node.name}: unknown node, or invalid values")
    if sweep[1]:  # each variant runs with each value
        base_variants = variants or {"plain": []}
        variants = {
            f"{name}, {sweep[0]} {v:g}": steps for name, steps in base_variants.items() for v in sweep[1]
        }
    if len(seeds) * max(1, len(variants)) > MAX_RUNS:
        raise ExperimentError(f"variants and seeds make more than {MAX_RUNS} runs")
    plan = EmulatorPlan(
        relays=options["relays"],
        backends=options["nodes"],
        families=families,
        operators_file=operators,
        other_connections=options["base"],
        capacity=options["capacity"],
    )
    name = str(nodes[0].arguments[0])
    variants = variants or {"plain": []}
    return Experiment(
        name, plan, options["rate"], options["seconds"], options["life"], seeds, variants, sweep
    )


def _read_step(node: Node) -> dict[str, Any]:
    """Return the properties of an `at` line, with its times in seconds. Raises `ExperimentError`."""
    known = {"fault", "family", "node", "until", "drain", "restart", "kill", "term", "store"}
    if node.name != "at" or len(node.arguments) != 1 or not node.properties or set(node.properties) - known:
        raise ExperimentError(
            f"line {node.line}: at TIME: expected properties among {', '.join(sorted(known))}"
        )
    if node.properties.get("fault", "") not in FAULTS:
        raise ExperimentError(f"line {node.line}: fault: expected one of {', '.join(filter(None, FAULTS))}")
    try:
        times = {"at": parse_duration_us(node.arguments[0]) / 1e6}
        if "until" in node.properties:
            times["until"] = parse_duration_us(node.properties["until"]) / 1e6
    except ValueError as error:
        raise ExperimentError(f"line {node.line}: {error}") from None
    return {**node.properties, **times}


def scripted_events(step: dict[str, Any]) -> list[ScriptedEvent]:
    """Return the events of an `at` line: its action, and the end of a fault."""

    def matching_listeners(emulator: Emulator) -> list[tuple[str, str]]:
        return [
            (name, text)
            for name, backend in emulator.backends.items()
            if step.get("node", name) == name
            for text, listener in backend.listeners.items()
            if step.get("family", listener.address.family) == listener.address.family
        ]

    async def apply_fault(emulator: Emulator, fault: str) -> None:
        for name, text in matching_listeners(emulator):
            emulator.backends[name].set_fault(text, fault)

    async def set_store_slowdown(emulator: Emulator, slowdown: float) -> None:
        emulator.store.slowdown = slowdown

    async def restart_relay(emulator: Emulator, signal_number: signal.Signals) -> None:
        relay = emulator.relays[int(step["kill" if signal_number == signal.SIGKILL else "term"])]
        await relay.stop(signal_number)
        relay.start()
        await relay.wait_ready()

    scripted: list[ScriptedEvent] = []

    def add(at: float, action: Callable[[Emulator], Awaitable[None]], description: str) -> None:
        scripted.append(ScriptedEvent(at, action, description))

    if "fault" in step:
        faulty_addresses = f"{step.get('node', 'every node')}, {step.get('family', 'every address')}"
        add(
            step["at"],
            lambda emulator: apply_fault(emulator, step["fault"]),
            f"{faulty_addresses} {FAULT_DESCRIPTIONS[step['fault']]}",
        )
        if "until" in step:
            add(step["until"], lambda emulator: apply_fault(emulator, ""), f"{faulty_addresses} recovers")
    if "drain" in step:
        add(
            step["at"], lambda emulator: emulator.drain_backend(str(step["drain"])), f"{step['drain']} drains"
        )
    if "restart" in step:
        name = str(step["restart"])
        add(
            step["at"],
            lambda emulator: emulator.restart_backend(name),
            f"{name} is killed and restarts in slow start",
        )
    if "store" in step:
        add(
            step["at"],
            lambda emulator: set_store_slowdown(emulator, float(step["store"])),
            "the session store slows down",
        )
        add(
            step.get("until", step["at"] + 5),
            lambda emulator: set_store_slowdown(emulator, 1.0),
            "the session store recovers",
        )
    if "kill" in step:
        add(
            step["at"],
            lambda emulator: restart_relay(emulator, signal.SIGKILL),
            f"relay {step['kill']} killed",
        )
    if "term" in step:
        add(
            step["at"],
            lambda emulator: restart_relay(emulator, signal.SIGTERM),
            f"relay {step['term']} restarts",
        )
    return scripted


async def run_variant(
    experiment: Experiment, variant: str, seed: int, progress: Callable[[float], None] = lambda share: None
) -> ExperimentRun:
    """Run a variant with a seed and return its results. `progress` is called with the share of the
    load's duration that has passed.
    """
    experiment = experiment.with_swept_value(variant)
    plan = replace(experiment.plan, seed=seed)
    first_lines_per_s: dict[str, list[int]] = {family: [] for family in plan.families}
    async with Emulator(plan) as emulator:

        async def count_first_lines() -> None:
            last = dict.fromkeys(first_lines_per_s, 0)
            while True:
                await anyio.sleep(1.0)
                for family in first_lines_per_s:
                    now = sum(
                        listener.first_lines
                        for backend in emulator.backends.values()
                        for listener in backend.listeners.values()
                        if listener.address.family == family
                    )
                    first_lines_per_s[family].append(now - last[family])
                    last[family] = now

        events = [
            event for parsed_step in experiment.variants[variant] for event in scripted_events(parsed_step)
        ]
        async with anyio.create_task_group() as background:
            background.start_soon(count_first_lines)
            await run_script(
                emulator,
                Script(experiment.arrivals_per_s, experiment.seconds, experiment.mean_duration_s, events),
                progress,
            )
            background.cancel_scope.cancel()
        rule_violations = emulator.violations()
        for relay in emulator.relays:
            counted = await relay.counters()
            for name, counters in RELAY_COUNTERS.items():
                emulator.clients.counts[name] += sum(counted[counter] for counter in counters)
        return _figures(experiment, variant, seed, emulator, rule_violations, first_lines_per_s)


def _figures(
    experiment: Experiment,
    variant: str,
    seed: int,
    emulator: Emulator,
    rule_violations: Sequence[str],
    first_lines_per_s: dict[str, list[int]],
) -> ExperimentRun:
    all_durations = HdrHistogram(1, 60_000_000, 3)
    seconds: dict[int, HdrHistogram] = {}
    for served in emulator.clients.answered:
        if served.answer == "up":
            duration_us = max(1, int(served.duration_s * 1e6))
            all_durations.record_value(duration_us)
            seconds.setdefault(int(served.due_s), HdrHistogram(1, 60_000_000, 3)).record_value(duration_us)
    answered_count = max(1, len(emulator.clients.answered))
    figures = {
        "served": all_durations.get_total_count() / answered_count,
        "p50, ms": all_durations.get_value_at_percentile(50) / 1000,
        "p99, ms": all_durations.get_value_at_percentile(99) / 1000,
        "most, ms": all_durations.get_max_value() / 1000,
        "attempts a request": sum(s.attempts for s in emulator.checker.traces.values()) / answered_count,
        "rules broken": float(len(rule_violations)),
        "overlap not judged": float(emulator.undecided_overlaps()),
        "stand-ins late, ms": emulator.attempt_overlaps.loop_delay.largest_delay_ms,
    }
    line = [
        (float(second), float(histogram.get_total_count()), histogram.get_value_at_percentile(99) / 1000)
        for second, histogram in sorted(seconds.items())
        if 0 <= second < experiment.seconds
    ]
    return ExperimentRun(
        variant,
        seed,
        figures,
        dict(emulator.clients.counts),
        list(rule_violations[:20]),
        line,
        first_lines_per_s,
    )
