"""Each role at the target: its loads, their budgets and ratios, and what carries them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from gannetweir.lab.scale import target as t
from gannetweir.lab.scale.model import Load
from gannetweir.lab.scale.slopes import FitRefusedError


class Carrier(Enum):
    """Is the mechanism there that carries a load?"""

    PRESENT = "present"
    NEW = "new"  # there, but not in the state in which the slopes were measured
    MISSING = "missing"
    UNMEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Budget:
    """What a load may be, in its unit; 0 if that is not told."""

    unit: str
    most: float = 0.0


CORE = Budget("ms/s", t.CONTROL_CORE * 1000)
BYTES = Budget("KB/s", t.CONTROL_BYTES_S / 1000)
MEMORY = Budget("MB", t.CONTROL_MB)
LATENCY = Budget("ms", t.DELIVERY_MS)
IN_FORCE = Budget("ms", t.IN_FORCE_S * 1000)
MACHINE_CORES = Budget("cores")  # the assumptions say how many


@dataclass(frozen=True, slots=True)
class RoleLoad:
    """One load of one role, as a formula over the model and the processes of a relay machine."""

    what: str
    value: Callable[[Load, int], float] | None  # None: not measured
    budget: Budget
    mechanism: str
    carrier: Carrier
    source: str  # keys of the record


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


def _row(role: str, of: RoleLoad, load: Load, processes: int) -> Row:
    value: float | None = None
    if of.value is not None:
        try:
            value = of.value(load, processes)
        except FitRefusedError:
            value = None
    most = load.a.cores * load.a.busy if of.budget is MACHINE_CORES else of.budget.most
    return Row(role, of.what, value, of.budget.unit, most or None, of.mechanism, of.carrier, of.source)


def rows(load: Load) -> list[Row]:
    """Every load of every role, under the load's assumptions. Where no number of processes carries a machine,
    the figures are those of one process.
    """
    from gannetweir.lab.scale.role_loads import ROLES

    processes = load.processes() or 1
    return [_row(role, of, load, processes) for role, loads in ROLES.items() for of in loads]
