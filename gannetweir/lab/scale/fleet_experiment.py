"""The experiment file of a hollow fleet, in KDL.

    experiment "hollow fleet" {
        distribution "direct"           // each relay watches the one discovery; or "control"
        machines 15                     // of the control plane, a process each
        relays 100 300 750 1500         // a run for each
        backends 1500                   // and for each of these
        hosts 12                        // processes that hold the relays
        zones 13
        ask-within "10s"                // the settings' time for asking for the list
        true-relays 3                   // processes that serve, beside the hollow relays
        within "60s"                    // how long a phase may wait for its last change
        phase "ordinary state" changes=200 every="200ms"
        phase "discovery killed" fault="discovery-killed" after="1s" lasts="4s" changes=10 every="1s"
    }

Phases are played in their order. A fault begins `after` so long in its phase and `lasts` so long; relays that
are restarted in tenths have that long between two tenths.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from gannetweir.config.kdl import KdlError, Node, parse_document
from gannetweir.config.kdl_values import parse_duration_us

MAX_RELAYS, MAX_BACKENDS, MAX_HOSTS, MAX_ZONES, MAX_TRUE, MAX_CHANGES = 2000, 20_000, 40, 64, 8, 1000
MAX_MACHINES = 40
MAX_PHASE_S = 120.0
MAX_ENTRIES = 12_000_000  # of all lists together: under half of a machine of 24 GB, at 0.74 KB an entry
# How the relays' settings say that lists come: a control plane pushes them, and the module does not ask.
REGISTRY_MODES = {"direct": "on_request", "control": "pushed"}
DISTRIBUTIONS = tuple(REGISTRY_MODES)


class FleetError(ValueError):
    """What is wrong with an experiment's file, with the line."""


class Fault(StrEnum):
    """What happens in a phase."""

    NONE = "none"
    DISCOVERY_KILLED = "discovery-killed"  # SIGKILL, and started again without knowledge of earlier versions
    DISCOVERY_SILENT = "discovery-silent"  # accepts, reads, and says nothing
    DISCOVERY_TRICKLES = "discovery-trickles"  # a byte a second to each watch
    ZONE_RESTARTED = "zone-restarted"  # every relay of one zone, at once
    ZONE_RESTARTED_SLOW_LINK = (
        "zone-restarted-slow-link"  # the same where each relay gets 10 KB a second, its budget
    )
    RESTARTED_IN_TENTHS = "restarted-in-tenths"  # all relays
    ZONE_RESTARTED_KNOWN = "zone-restarted-known"  # each with the list that it had, as the platform's `known`
    RESTARTED_IN_TENTHS_KNOWN = "restarted-in-tenths-known"
    MACHINE_KILLED = "machine-killed"  # the first control machine: SIGKILL, and started again
    MACHINE_SILENT = "machine-silent"  # it accepts, reads, and says nothing
    MACHINE_TRICKLES = "machine-trickles"  # a byte a second on each connection
    MACHINE_DIES = "machine-dies-halfway"  # by SIGKILL, once half of its relays were sent the next change
    MACHINES_RESTARTED = "machines-restarted"  # all of them at once


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
"""What each distribution can play."""


@dataclass(frozen=True, slots=True)
class Phase:
    """One part of a run. Times in seconds."""

    name: str
    fault: Fault = Fault.NONE
    changes: int = 0
    every_s: float = 1.0
    after_s: float = 0.0
    lasts_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetExperiment:
    """One file, checked. Times in seconds."""

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
        raise FleetError(f"line {node.line}: {node.name}: whole numbers from {minimum} to {maximum}")
    return tuple(node.arguments)


def _number(node: Node, maximum: int, minimum: int = 1) -> int:
    values = _numbers(node, maximum, minimum)
    if len(values) != 1:
        raise FleetError(f"line {node.line}: {node.name}: one number")
    return values[0]


def _seconds(node: Node, value: Any, maximum: float = MAX_PHASE_S) -> float:
    try:
        seconds = parse_duration_us(value) / 1e6
    except ValueError as error:
        raise FleetError(f"line {node.line}: {node.name}: {error}") from None
    if seconds > maximum:
        raise FleetError(f"line {node.line}: {node.name}: {seconds:g} s is over {maximum:g} s")
    return seconds


def _phase(node: Node) -> Phase:
    if len(node.arguments) != 1 or not isinstance(node.arguments[0], str) or "," in node.arguments[0]:
        raise FleetError(f'line {node.line}: phase "NAME", without a comma')
    unknown = set(node.properties) - {"fault", "changes", "every", "after", "lasts"}
    if unknown:
        raise FleetError(f"line {node.line}: phase: unknown {', '.join(sorted(unknown))}")
    try:
        fault = Fault(node.properties.get("fault", "none"))
    except ValueError:
        known = ", ".join(fault.value for fault in Fault)
        raise FleetError(f"line {node.line}: fault: one of {known}") from None
    changes = node.properties.get("changes", 0)
    if type(changes) is not int or not 0 <= changes <= MAX_CHANGES:
        raise FleetError(f"line {node.line}: changes: a whole number from 0 to {MAX_CHANGES}")
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
        raise FleetError(f"line {node.line}: the changes take over {MAX_PHASE_S:g} s")
    if not changes and not phase.lasts_s:
        raise FleetError(f"line {node.line}: nothing happens: neither changes nor lasts")
    return phase


def _one_of_names(node: Node, known: tuple[str, ...]) -> str:
    if len(node.arguments) != 1 or node.arguments[0] not in known:
        raise FleetError(f"line {node.line}: {node.name}: one of {', '.join(known)}")
    return str(node.arguments[0])


_READERS: dict[str, Callable[[Node], Any]] = {
    "distribution": lambda node: _one_of_names(node, DISTRIBUTIONS),
    "relays": lambda node: _numbers(node, MAX_RELAYS),
    "backends": lambda node: _numbers(node, MAX_BACKENDS),
    "hosts": lambda node: _number(node, MAX_HOSTS),
    "zones": lambda node: _number(node, MAX_ZONES),
    "machines": lambda node: _number(node, MAX_MACHINES),
    "true-relays": lambda node: _number(node, MAX_TRUE, 0),
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
    """Read an experiment; `FleetError` names the line."""
    try:
        nodes = parse_document(text)
    except KdlError as error:
        raise FleetError(f"line {error.line}: {error}") from None
    if len(nodes) != 1 or nodes[0].name != "experiment" or len(nodes[0].arguments) != 1:
        raise FleetError('one `experiment "NAME" { … }`')
    values = dict(_DEFAULTS)
    phases: list[Phase] = []
    for node in nodes[0].children:
        if node.name == "phase":
            phases.append(_phase(node))
        elif node.name in _READERS:
            values[node.name] = _READERS[node.name](node)
        else:
            raise FleetError(f"line {node.line}: unknown {node.name}")
    if not phases:
        raise FleetError("no phase")
    if max(values["relays"]) * max(values["backends"]) > MAX_ENTRIES:
        raise FleetError(f"relays times backends is over {MAX_ENTRIES:,}: the lists would not fit the memory")
    if len({phase.name for phase in phases}) < len(phases):
        raise FleetError("two phases of one name")
    for phase in phases:
        if phase.fault not in FAULTS[values["distribution"]]:
            raise FleetError(f"phase {phase.name!r}: no {phase.fault} with {values['distribution']!r}")
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
        raise FleetError(f"{option}: {text!r} is none of {', '.join(map(str, sizes))}")
    return (int(text),)


def select(
    experiment: FleetExperiment, relays: str | None, backends: str | None, phases: str | None
) -> FleetExperiment:
    """Only one of its sizes, or some of its phases by name; `FleetError` if it has no such ones."""
    experiment = replace(
        experiment,
        relays=_chosen_size("--relays", relays, experiment.relays),
        backends=_chosen_size("--backends", backends, experiment.backends),
    )
    if phases is not None:
        names = [name.strip() for name in phases.split(",")]
        known = {phase.name: phase for phase in experiment.phases}
        if unknown := [name for name in names if name not in known]:
            raise FleetError(f"--phases: no phase {unknown[0]!r}; there are {', '.join(known)}")
        experiment = replace(experiment, phases=tuple(known[name] for name in names))
    return experiment
