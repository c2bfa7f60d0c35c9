"""The loads of roles at the target: a formula, a budget and the mechanism that carries the load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import CapacityLoad


class MechanismState(Enum):
    """Whether the mechanism that carries a load exists."""

    PRESENT = "present"
    # The mechanism exists, but the slopes were measured without it.
    NEW = "new"
    MISSING = "missing"
    UNMEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Budget:
    """The limit of a load and its unit; a limit of 0 means that none is given."""

    unit: str
    limit: float = 0.0


CORE_TIME = Budget("ms/s", target.CONTROL_CORES * 1000)
BANDWIDTH = Budget("KB/s", target.CONTROL_BYTES_PER_S / 1000)
MEMORY = Budget("MB", target.CONTROL_MB)
LATENCY = Budget("ms", target.DELIVERY_MS)
CHANGE_TIME = Budget("ms", target.IN_FORCE_S * 1000)
MACHINE_CORES = Budget("cores")  # the limit follows from the assumptions


@dataclass(frozen=True, slots=True)
class RoleLoad:
    """A load of a role, as a formula over the model and the number of processes of a relay machine."""

    label: str
    value: Callable[[CapacityLoad, int], float] | None  # None means not measured
    budget: Budget
    mechanism: str
    state: MechanismState
    source: str  # keys of costs in the record
