"""What brings a hollow relay its membership, by the distribution's name in the experiment's file.

Each driver is imported when a relay of its kind is made: a process of hollow relays has memory for one kind.
"""

from __future__ import annotations

from collections.abc import Callable

from gannetweir.lab.scale.skeleton_relay import MembershipDriver, SkeletonRelay


def direct_driver(relay: SkeletonRelay) -> MembershipDriver:
    """Today's way: a watch on the one discovery."""
    from gannetweir.net.endpoint_watch import EndpointWatchDriver

    return EndpointWatchDriver(relay, relay.counted_transport)


def control_driver(relay: SkeletonRelay) -> MembershipDriver:
    """A watch on one of the control machines."""
    from gannetweir.lab.scale.control_relay import ControlledMembership

    return ControlledMembership(relay)


DRIVERS: dict[str, Callable[[SkeletonRelay], MembershipDriver]] = {
    "direct": direct_driver,
    "control": control_driver,
}
"""How a hollow relay's driver is built, by the name of the distribution in the experiment's file."""
