"""The servers of each distribution, by its name in the experiment's file; the relays' side of each is in
`membership_drivers.DRIVERS`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gannetweir.lab.scale.control_distribution import ControlPlane
from gannetweir.lab.scale.direct_distribution import Direct
from gannetweir.lab.scale.distribution import Distribution, Store
from gannetweir.lab.scale.fleet_experiment import FleetExperiment


def _control(store: Store, experiment: FleetExperiment, settings: dict[str, Any]) -> Distribution:
    return ControlPlane(store, experiment.machines, settings)


FACTORIES: dict[str, Callable[[Store, FleetExperiment, dict[str, Any]], Distribution]] = {
    "direct": lambda store, experiment, settings: Direct(store, experiment.true_relays),
    "control": _control,
}
"""What starts the servers of each distribution, by its name in the experiment's file."""
