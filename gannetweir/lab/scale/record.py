"""The record of a capacity run: the measured values of all costs as JSON, and the groups of costs."""

from __future__ import annotations

import os
import platform
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson

from gannetweir.lab.scale import fanout, fleets, lists, module, relays
from gannetweir.lab.scale.measure import ProgressCallback
from gannetweir.lab.scale.slopes import Cost, Sample

RECORD_FILE = "record.json"


@dataclass(frozen=True, slots=True)
class CostGroup:
    """Costs that are measured together, and the number of progress steps that this takes."""

    measure: Callable[[ProgressCallback], list[Cost]]
    steps: int


GROUPS: dict[str, CostGroup] = {
    "lists": CostGroup(lists.measure, lists.STEPS),
    "decisions": CostGroup(module.measure_decisions, module.BACKEND_SWEEP.steps),
    "upkeep": CostGroup(
        module.measure_maintenance, module.MAINTENANCE_SWEEP.steps + module.CONNECTION_SWEEP.steps
    ),
    "connections": CostGroup(relays.measure_connections, 2 * relays.CONNECTION_SWEEP.steps),
    "lines": CostGroup(relays.measure_lines, relays.LINE_SWEEP.steps),
    "starts": CostGroup(relays.measure_starts, relays.START_SWEEP.steps),
    "stalls": CostGroup(relays.measure_stalls, relays.STALL_SWEEP.steps),
    "fanout": CostGroup(fanout.measure, fanout.WATCHER_SWEEP.steps + fanout.PROBE_SWEEP.steps),
    "fleets": CostGroup(fleets.measure, (len(fleets.SIZES) + 1) * len(fleets.SEEDS)),
}


@dataclass(slots=True)
class Record:
    """All measured costs by key, and the conditions under which each group was measured."""

    costs: dict[str, Cost] = field(default_factory=dict)
    groups: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __getitem__(self, key: str) -> Cost:
        return self.costs[key]

    def add(self, group: str, costs: Iterable[Cost], seconds: float) -> None:
        """Add the costs of a group; they replace the group's earlier costs of the same keys."""
        costs_by_key = {cost.key: cost for cost in costs}
        self.costs |= costs_by_key
        self.groups[group] = {
            "costs": list(costs_by_key),
            "seconds": round(seconds, 1),
            "python": platform.python_version(),
            "processors": os.cpu_count(),
            "load_average": round(os.getloadavg()[0], 1),
        }

    def save(self, folder: Path) -> None:
        """Write the record into a folder, which is created if needed."""
        folder.mkdir(parents=True, exist_ok=True)
        data = {"groups": self.groups, "costs": [asdict(cost) for cost in self.costs.values()]}
        (folder / RECORD_FILE).write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2) + b"\n")


def read_record(folder: Path) -> Record:
    """Read the record of a folder. Raises `OSError` if there is no file, `ValueError` if it is not a
    record.
    """
    data = orjson.loads((folder / RECORD_FILE).read_bytes())
    try:
        costs = [_cost(entry) for entry in data["costs"]]
        return Record({cost.key: cost for cost in costs}, data["groups"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"{folder / RECORD_FILE}: not a capacity record: {error!r}") from None


def _cost(entry: dict[str, Any]) -> Cost:
    samples = [Sample(**sample) for sample in entry["samples"]]
    return Cost(**{**entry, "samples": samples, "check": Sample(**entry["check"])})
