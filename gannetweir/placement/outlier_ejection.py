"""Outlier ejection: endpoints that time out or cannot be reached get no requests for a limited time."""

from __future__ import annotations

from collections.abc import Callable

from gannetweir.placement.context import FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState

# At most a third of the endpoints is ejected: many failures at once have a shared cause (store, overload).
MAX_EJECTED_DIVISOR = 3
BASE_EJECTION_US = 500_000  # doubled with each consecutive ejection
MAX_EJECTION_DOUBLINGS = 5  # 16 s; longer ejections would leave recovered endpoints idle
# Range of the factor on an ejection's duration. It spreads the relays' first requests after an ejection.
EJECTION_JITTER = 0.75, 1.25


class OutlierEjection:
    """Ejects endpoints that time out: the load report of a hung endpoint looks ordinary.

    The only writer of `ejected_until_us` and `ejection_count`, except for the restart of an endpoint.
    """

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        on_ejected: Callable[[EndpointState], None],
    ) -> None:
        self._context = context
        self._ready = state.ready_endpoints.all
        self._on_ejected = on_ejected

    def eject(self, endpoint: EndpointState, now_us: int) -> bool:
        """Eject an endpoint with exponential backoff; return whether it is ejected now."""
        if not endpoint.is_ready or endpoint.ejected_until_us > now_us:
            return endpoint.ejected_until_us > now_us
        ejected = sum(other.ejected_until_us > now_us for other in self._ready)
        if MAX_EJECTED_DIVISOR * (ejected + 1) > len(self._ready):
            self._context.write_log("shared cause", f"{ejected} servers set aside, no more", now_us)
            return False
        endpoint.ejection_count = min(endpoint.ejection_count + 1, MAX_EJECTION_DOUBLINGS)
        backoff_us = BASE_EJECTION_US << endpoint.ejection_count
        endpoint.ejected_until_us = now_us + int(backoff_us * self._context.rng.uniform(*EJECTION_JITTER))
        self._on_ejected(endpoint)
        text = f"strike {endpoint.ejection_count}, {ejected + 1} in all"
        self._context.write_log("set aside", text, now_us)
        return True

    def succeeded(self, endpoint: EndpointState) -> None:
        """Reset the consecutive ejections of an endpoint: a connection has been established there."""
        endpoint.ejection_count = 0
