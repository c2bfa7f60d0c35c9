"""What a load of one role at the target is: a formula, its budget, and what carries it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import CapacityLoad


class MechanismState(Enum):
    """Is the mechanism there that carries a load?"""

    PRESENT = "present"
    NEW = "new"  # there, but not in the state in which the slopes were measured
    MISSING = "missing"
    UNMEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Budget:
    """What a load may be, in its unit; 0 if that is not told."""

    unit: str
    limit: float = 0.0


CORE_TIME = Budget("ms/s", target.CONTROL_CORE * 1000)
BANDWIDTH = Budget("KB/s", target.CONTROL_BYTES_S / 1000)
MEMORY = Budget("MB", target.CONTROL_MB)
LATENCY = Budget("ms", target.DELIVERY_MS)
CHANGE_TIME = Budget("ms", target.IN_FORCE_S * 1000)
MACHINE_CORES = Budget("cores")  # the assumptions say how many


@dataclass(frozen=True, slots=True)
class RoleLoad:
    """One load of one role, as a formula over the model and the processes of a relay machine."""

    label: str
    value: Callable[[CapacityLoad, int], float] | None  # None: not measured
    budget: Budget
    mechanism: str
    state: MechanismState
    source: str  # keys of the record
