"""What an engine may be started with beside its configuration."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gannetweir.core.request_log import RequestEvent
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.placement.actions import Action
from gannetweir.placement.events import Event

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.rules import AddressRules
    from gannetweir.routing.route_admission import RouteAdmission

PlacementTrace = Callable[[int, Event, Sequence[Action]], None]


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Parts of an engine that a relay may do without; by default it has none of them."""

    operator_overrides: OperatorOverrides | None = None  # those that are in force at the start
    replaces_process: bool = False  # another process of this relay still has clients, who return here
    route_admission: RouteAdmission | None = None  # admission by the operators' routes
    address_rules: AddressRules | None = None  # the operators' choice between an endpoint's addresses
    placement_trace: PlacementTrace | None = None  # called with every event for the balancer and its actions
    request_trace: Callable[[RequestEvent], None] | None = None  # called with every step of a request
    wall_clock_ahead_us: int | None = None  # ahead of the engine's clock; None: there is none to compare with
