"""Each role at the target: its loads under some assumptions, their budgets, ratios and mechanisms."""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.role_loads import ROLES
from gannetweir.lab.scale.roles import MACHINE_CORES, MechanismState, RoleLoad
from gannetweir.lab.scale.slopes import FitRefusedError


@dataclass(frozen=True, slots=True)
class Row:
    """One load under some assumptions. A value of None needs a fit that was refused, or was not measured; a
    budget of None is not told.
    """

    role: str
    label: str
    value: float | None
    unit: str
    budget: float | None
    mechanism: str
    state: MechanismState
    source: str

    @property
    def ratio(self) -> float | None:
        """The load over its budget."""
        return None if self.value is None or not self.budget else self.value / self.budget


def _role_row(role: str, role_load: RoleLoad, load: CapacityLoad, processes: int) -> Row:
    value: float | None = None
    if role_load.value is not None:
        try:
            value = role_load.value(load, processes)
        except FitRefusedError:
            value = None
    limit = (
        load.assumptions.cores * load.assumptions.max_utilisation
        if role_load.budget is MACHINE_CORES
        else role_load.budget.limit
    )
    return Row(
        role,
        role_load.label,
        value,
        role_load.budget.unit,
        limit or None,
        role_load.mechanism,
        role_load.state,
        role_load.source,
    )


def role_rows(load: CapacityLoad) -> list[Row]:
    """Every load of every role, under the load's assumptions. Where no number of processes carries a machine,
    the figures are those of one process.
    """
    processes = load.processes() or 1
    return [
        _role_row(role, role_load, load, processes) for role, loads in ROLES.items() for role_load in loads
    ]
