"""The servers of each distribution; the drivers for relays are in `membership_drivers.DRIVERS`."""

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
"""Functions that create the servers of a distribution, by its name in the experiment file."""
