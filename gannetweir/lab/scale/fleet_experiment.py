"""The experiment file of a skeleton fleet, in KDL.

    experiment "hollow fleet" {
        distribution "direct"           // each relay watches discovery; the other is "control"
        machines 15                     // control machines, a process each
        relays 100 300 750 1500         // one run for each size
        backends 1500                   // and for each number of backends
        hosts 12                        // processes that run the relays
        zones 13
        ask-within "10s"                // the settings' `ask-within-us`: the time to poll for a list
        true-relays 3                   // processes of `gannetweir serve`, for comparison
        within "60s"                    // timeout of a phase's last change
        phase "ordinary state" changes=200 every="200ms"
        phase "discovery killed" fault="discovery-killed" after="1s" lasts="4s" changes=10 every="1s"
    }

Phases are played in the order of the file. A fault begins `after` the start of its phase and `lasts` for the
given time; if relays are restarted in tenths, `lasts` is the interval between two tenths.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from gannetweir.config.kdl import KdlError, Node, parse_document
from gannetweir.config.kdl_values import parse_duration_us

MAX_RELAYS, MAX_BACKENDS, MAX_HOSTS, MAX_ZONES, MAX_TRUE_RELAYS, MAX_CHANGES = 2000, 20_000, 40, 64, 8, 1000
MAX_MACHINES = 40
MAX_PHASE_S = 120.0
# Entries of the lists of all relays together: at 0.74 KB an entry, less than half of a machine with 24 GB.
MAX_ENTRIES = 12_000_000
# The `registry-mode` of the relays' settings: a control plane pushes lists, so the decision module does not
# poll for them.
REGISTRY_MODES = {"direct": "on_request", "control": "pushed"}
DISTRIBUTIONS = tuple(REGISTRY_MODES)


class FleetError(ValueError):
    """An invalid experiment file or selection; the message names the line, if there is one."""


class Fault(StrEnum):
    """The fault of a phase. Faults of one control machine are faults of the first machine."""

    NONE = "none"
    DISCOVERY_KILLED = "discovery-killed"  # by SIGKILL; restarted without knowledge of earlier versions
    DISCOVERY_SILENT = "discovery-silent"  # discovery accepts and reads, sends nothing
    DISCOVERY_TRICKLES = "discovery-trickles"  # discovery sends each watch one byte a second
    ZONE_RESTARTED = "zone-restarted"  # all relays of one zone at once
    # All relays of one zone at once, while each watch is sent 10 KB a second, the budget of a relay.
    ZONE_RESTARTED_SLOW_LINK = "zone-restarted-slow-link"
    RESTARTED_IN_TENTHS = "restarted-in-tenths"  # all relays, a tenth at a time
    # Relays restart with the list that each had, as with `known` in the platform's file.
    ZONE_RESTARTED_KNOWN = "zone-restarted-known"
    RESTARTED_IN_TENTHS_KNOWN = "restarted-in-tenths-known"
    MACHINE_KILLED = "machine-killed"  # by SIGKILL; the machine is restarted
    MACHINE_SILENT = "machine-silent"  # the machine accepts and reads, sends nothing
    MACHINE_TRICKLES = "machine-trickles"  # the machine sends one byte a second on each connection
    # The machine ends itself by SIGKILL after half of its relays were sent the next change.
    MACHINE_DIES = "machine-dies-halfway"
    MACHINES_RESTARTED = "machines-restarted"  # all control machines at once


_RELAY_FAULTS = {Fault.NONE, Fault.ZONE_RESTARTED, Fault.RESTARTED_IN_TENTHS}
FAULTS: dict[str, set[Fault]] = {
    "direct": _RELAY_FAULTS
    | {
        Fault.DISCOVERY_KILLED,
        Fault.DISCOVERY_SILENT,
        Fault.DISCOVERY_TRICKLES,
        Fault.ZONE_RESTARTED_SLOW_LINK,
    },
    "control": _RELAY_FAULTS
    | {
        Fault.ZONE_RESTARTED_KNOWN,
        Fault.RESTARTED_IN_TENTHS_KNOWN,
        Fault.MACHINE_KILLED,
        Fault.MACHINE_SILENT,
        Fault.MACHINE_TRICKLES,
        Fault.MACHINE_DIES,
        Fault.MACHINES_RESTARTED,
    },
}
"""The faults that each distribution supports."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of a run: a series of changes, a fault, or both."""

    name: str
    fault: Fault = Fault.NONE
    changes: int = 0
    every_s: float = 1.0
    after_s: float = 0.0
    lasts_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetExperiment:
    """A validated experiment file."""

    name: str
    distribution: str
    relays: tuple[int, ...]
    backends: tuple[int, ...]
    hosts: int
    zones: int
    ask_within_s: float
    true_relays: int
    within_s: float
    phases: tuple[Phase, ...]
    machines: int = 15


def _numbers(node: Node, maximum: int, minimum: int = 1) -> tuple[int, ...]:
    if not node.arguments or not all(
        type(value) is int and minimum <= value <= maximum for value in node.arguments
    ):
        raise FleetError(f"line {node.line}: {node.name}: expected integers from {minimum} to {maximum}")
    return tuple(node.arguments)


def _number(node: Node, maximum: int, minimum: int = 1) -> int:
    values = _numbers(node, maximum, minimum)
    if len(values) != 1:
        raise FleetError(f"line {node.line}: {node.name}: expected one number")
    return values[0]


def _seconds(node: Node, value: Any, maximum: float = MAX_PHASE_S) -> float:
    try:
        seconds = parse_duration_us(value) / 1e6
    except ValueError as error:
        raise FleetError(f"line {node.line}: {node.name}: {error}") from None
    if seconds > maximum:
        raise FleetError(f"line {node.line}: {node.name}: {seconds:g} s exceeds {maximum:g} s")
    return seconds


def _phase(node: Node) -> Phase:
    if len(node.arguments) != 1 or not isinstance(node.arguments[0], str) or "," in node.arguments[0]:
        raise FleetError(f'line {node.line}: expected phase "NAME", with a name without a comma')
    unknown = set(node.properties) - {"fault", "changes", "every", "after", "lasts"}
    if unknown:
        raise FleetError(f"line {node.line}: phase: unknown property {', '.join(sorted(unknown))}")
    try:
        fault = Fault(node.properties.get("fault", "none"))
    except ValueError:
        known = ", ".join(fault.value for fault in Fault)
        raise FleetError(f"line {node.line}: fault: expected one of {known}") from None
    changes = node.properties.get("changes", 0)
    if type(changes) is not int or not 0 <= changes <= MAX_CHANGES:
        raise FleetError(f"line {node.line}: changes: expected an integer from 0 to {MAX_CHANGES}")
    times = {
        key: _seconds(node, node.properties[key])
        for key in ("every", "after", "lasts")
        if key in node.properties
    }
    phase = Phase(
        node.arguments[0],
        fault,
        changes,
        times.get("every", 1.0),
        times.get("after", 0.0),
        times.get("lasts", 0.0),
    )
    if changes * phase.every_s > MAX_PHASE_S:
        raise FleetError(f"line {node.line}: the changes take longer than {MAX_PHASE_S:g} s")
    if not changes and not phase.lasts_s:
        raise FleetError(f"line {node.line}: phase without effect: expected changes or lasts")
    return phase


def _one_of_names(node: Node, known: tuple[str, ...]) -> str:
    if len(node.arguments) != 1 or node.arguments[0] not in known:
        raise FleetError(f"line {node.line}: {node.name}: expected one of {', '.join(known)}")
    return str(node.arguments[0])


_READERS: dict[str, Callable[[Node], Any]] = {
    "distribution": lambda node: _one_of_names(node, DISTRIBUTIONS),
    "relays": lambda node: _numbers(node, MAX_RELAYS),
    "backends": lambda node: _numbers(node, MAX_BACKENDS),
    "hosts": lambda node: _number(node, MAX_HOSTS),
    "zones": lambda node: _number(node, MAX_ZONES),
    "machines": lambda node: _number(node, MAX_MACHINES),
    "true-relays": lambda node: _number(node, MAX_TRUE_RELAYS, 0),
    "ask-within": lambda node: _seconds(node, node.arguments[0] if node.arguments else None),
    "within": lambda node: _seconds(node, node.arguments[0] if node.arguments else None),
}
_DEFAULTS: dict[str, Any] = {
    "distribution": "direct",
    "relays": (100,),
    "backends": (1500,),
    "hosts": 4,
    "zones": 13,
    "machines": 15,
    "true-relays": 0,
    "ask-within": 10.0,
    "within": 60.0,
}


def parse_fleet(text: str) -> FleetExperiment:
    """Read an experiment file. Raises `FleetError`, which names the line."""
    try:
        nodes = parse_document(text)
    except KdlError as error:
        raise FleetError(f"line {error.line}: {error}") from None
    if len(nodes) != 1 or nodes[0].name != "experiment" or len(nodes[0].arguments) != 1:
        raise FleetError('expected exactly one `experiment "NAME" { … }`')
    values = dict(_DEFAULTS)
    phases: list[Phase] = []
    for node in nodes[0].children:
        if node.name == "phase":
            phases.append(_phase(node))
        elif node.name in _READERS:
            values[node.name] = _READERS[node.name](node)
        else:
            raise FleetError(f"line {node.line}: unknown node {node.name}")
    if not phases:
        raise FleetError("the experiment has no phase")
    if max(values["relays"]) * max(values["backends"]) > MAX_ENTRIES:
        raise FleetError(f"relays times backends exceeds {MAX_ENTRIES:,}: the lists would not fit in memory")
    if len({phase.name for phase in phases}) < len(phases):
        raise FleetError("two phases have the same name")
    for phase in phases:
        if phase.fault not in FAULTS[values["distribution"]]:
            raise FleetError(
                f"phase {phase.name!r}: fault {phase.fault} is not in distribution {values['distribution']!r}"
            )
    return FleetExperiment(
        str(nodes[0].arguments[0]),
        values["distribution"],
        values["relays"],
        values["backends"],
        values["hosts"],
        values["zones"],
        values["ask-within"],
        values["true-relays"],
        values["within"],
        tuple(phases),
        values["machines"],
    )


def _chosen_size(option: str, text: str | None, sizes: tuple[int, ...]) -> tuple[int, ...]:
    if text is None:
        return sizes
    if not text.isdecimal() or int(text) not in sizes:
        raise FleetError(f"{option}: {text!r} is not one of {', '.join(map(str, sizes))}")
    return (int(text),)


def select(
    experiment: FleetExperiment, relays: str | None, backends: str | None, phases: str | None
) -> FleetExperiment:
    """Return the experiment reduced to one size, or to some phases, separated by commas.

    Raises `FleetError` for a size or a phase that the experiment does not have.
    """
    experiment = replace(
        experiment,
        relays=_chosen_size("--relays", relays, experiment.relays),
        backends=_chosen_size("--size", backends, experiment.backends),
    )
    if phases is not None:
        names = [name.strip() for name in phases.split(",")]
        known = {phase.name: phase for phase in experiment.phases}
        if unknown := [name for name in names if name not in known]:
            raise FleetError(f"--phases: unknown phase {unknown[0]!r}; expected some of {', '.join(known)}")
        experiment = replace(experiment, phases=tuple(known[name] for name in names))
    return experiment
