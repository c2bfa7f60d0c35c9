"""Each role at the target: its loads under given assumptions, with budgets, ratios and mechanisms."""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.role_loads import ROLES
from gannetweir.lab.scale.roles import MACHINE_CORES, MechanismState, RoleLoad
from gannetweir.lab.scale.slopes import FitRefusedError


@dataclass(frozen=True, slots=True)
class Row:
    """A load under given assumptions. A value of None was not measured or needs a refused fit; a budget of
    None is not given.
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
        """The load divided by its budget; None if either is missing."""
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
    """Return every load of every role. Where no number of processes carries a machine's load, the loads are
    those of one process.
    """
    processes = load.processes() or 1
    return [
        _role_row(role, role_load, load, processes) for role, loads in ROLES.items() for role_load in loads
    ]
