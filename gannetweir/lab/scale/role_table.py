"""Each role at the target: its loads under some assumptions, their budgets, ratios and mechanisms."""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.role_loads import ROLES
from gannetweir.lab.scale.roles import MACHINE_CORES, Carrier, RoleLoad
from gannetweir.lab.scale.slopes import FitRefusedError


@dataclass(frozen=True, slots=True)
class Row:
    """One load under some assumptions. A value of None needs a fit that was refused, or was not measured; a
    budget of None is not told.
    """

    role: str
    what: str
    value: float | None
    unit: str
    budget: float | None
    mechanism: str
    carrier: Carrier
    source: str

    @property
    def ratio(self) -> float | None:
        """The load over its budget."""
        return None if self.value is None or not self.budget else self.value / self.budget


def _row(role: str, of: RoleLoad, load: CapacityLoad, processes: int) -> Row:
    value: float | None = None
    if of.value is not None:
        try:
            value = of.value(load, processes)
        except FitRefusedError:
            value = None
    most = load.assumptions.cores * load.assumptions.busy if of.budget is MACHINE_CORES else of.budget.most
    return Row(role, of.what, value, of.budget.unit, most or None, of.mechanism, of.carrier, of.source)


def rows(load: CapacityLoad) -> list[Row]:
    """Every load of every role, under the load's assumptions. Where no number of processes carries a machine,
    the figures are those of one process.
    """
    processes = load.processes() or 1
    return [_row(role, of, load, processes) for role, loads in ROLES.items() for of in loads]
