"""The drivers that keep the membership of skeleton relays up to date, by the name of the distribution.

A driver is imported when the first relay that uses it is created, so that a process of skeleton relays needs
memory for one driver only.
"""

from __future__ import annotations

from collections.abc import Callable

from gannetweir.lab.scale.skeleton_relay import MembershipDriver, SkeletonRelay


def direct_driver(relay: SkeletonRelay) -> MembershipDriver:
    """Create a driver that watches the discovery process."""
    from gannetweir.net.endpoint_watch import EndpointWatchDriver

    return EndpointWatchDriver(relay, relay.counted_transport)


def control_driver(relay: SkeletonRelay) -> MembershipDriver:
    """Create a driver that watches one of the control machines."""
    from gannetweir.lab.scale.control_relay import ControlledMembership

    return ControlledMembership(relay)


DRIVERS: dict[str, Callable[[SkeletonRelay], MembershipDriver]] = {
    "direct": direct_driver,
    "control": control_driver,
}
"""Functions that create a relay's driver, by the name of the distribution in the experiment file."""
